#pragma once

// State of one request while an entry handles it.

#include "plumspoke/entry/server.hpp"

#include <optional>

namespace plumspoke::entry
{

struct call_context
{
    static constexpr std::size_t max_recorded_body =
        64 * 1024; // bytes of an answer's body that are stored with a claim

    call_context(const http::request& request, time_point now, std::uint64_t request_number)
        : received(request), started(now), number(request_number)
    {
    }

    /// Copies the needed data from a route, so that the RCU read section can end.
    void set_route(const service_route& route, duration within, int max_attempts);

    /// Hash of method, path, query and body; equal for repetitions of the same request.
    [[nodiscard]] std::string digest() const;

    /// Unique request id, which the endpoint may echo.
    [[nodiscard]] std::string id(const std::string& entry, const std::string& incarnation) const;

    [[nodiscard]] http::response
    refusal_response(refusal reason, outcome reported_outcome, duration retry_after, int status) const;

    const http::request& received;
    time_point started;
    std::uint64_t number;
    std::string service;
    std::string endpoint_target; // path and query sent to the endpoint
    std::string idempotency_key;
    service_pointer state;
    bool safe = false;
    duration max_answer_time{}; // time limit of the service for an answer
    bool latency_critical = true;
    std::optional<request_flow> flow;
    std::vector<const endpoint_state*> tried;
    std::vector<endpoint_pointer> tried_owners; // keeps the objects in `tried` alive
    outcome reported = outcome::not_run;
};

} // namespace plumspoke::entry
