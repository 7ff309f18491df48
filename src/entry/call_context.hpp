#pragma once

// One request on its way through an entry.

#include "plumspoke/entry/server.hpp"

#include <optional>

namespace plumspoke::entry
{

struct call_context
{
    static constexpr std::size_t max_recorded_body = 64 * 1024; // of an answer that a claim keeps

    call_context(const http::request& request, time_point now, std::uint64_t request_number)
        : received(request), started(now), number(request_number)
    {
    }

    /// Copies what is needed from a route, so that the read section can end.
    void take(const service_route& route, duration within, int max_attempts);

    /// What two sendings of one request have in common.
    [[nodiscard]] std::string digest() const;

    /// A name for this request that its endpoint may echo.
    [[nodiscard]] std::string id(const std::string& entry, const std::string& incarnation) const;

    [[nodiscard]] http::response
    refusal_response(refusal reason, outcome reported_outcome, duration retry_after, int status) const;

    const http::request& received;
    time_point started;
    std::uint64_t number;
    std::string service;
    std::string rest; // the endpoint's path and query
    std::string key;
    service_pointer state;
    bool safe = false;
    duration longest{}; // that an answer of the service may take
    bool latency_critical = true;
    std::optional<request_flow> flow;
    std::vector<const endpoint_state*> tried;
    std::vector<endpoint_pointer> tried_owners; // keeps what `tried` points to
    outcome reported = outcome::not_run;
};

} // namespace plumspoke::entry
