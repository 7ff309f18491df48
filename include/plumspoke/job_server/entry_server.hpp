#pragma once

/// @file
/// @brief The entry role for jobs made of steps: forwards callers' requests to the leader. It is stateless:
///        queues, jobs and the configuration are read from the leader, so an entry is never out of date.

#include "plumspoke/http/server.hpp"
#include "plumspoke/job_server/leader_client.hpp"
#include "plumspoke/metrics/metrics.hpp"
#include "plumspoke/protocol/protocol.hpp"
#include "plumspoke/settings/job_settings.hpp"

#include <array>
#include <atomic>
#include <functional>

namespace grpc
{
class ClientContext;
}

namespace plumspoke::job_server
{

/// @brief Requests by outcome.
struct entry_counts
{
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> bad_requests{0};
    std::atomic<std::uint64_t> refused_stopping{0};        // after the grace period of a drain
    std::atomic<std::uint64_t> queued_too_long{0};         // no time was left once a thread was free
    std::atomic<std::int64_t> longest_refused_wait_us{0};  // of those, for a thread
    std::array<std::atomic<std::uint64_t>, 10> outcomes{}; // indexed by jobs::outcome
};

/// @brief One entry process.
class entry_server
{
  public:
    entry_server(const settings::job_settings& settings,
                 std::function<std::vector<std::string>()> seeds,
                 const protocol::caller_protocol& callers);
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;
    ~entry_server();

    [[nodiscard]] std::error_code start();

    /// @brief Reports not ready and answers all requests until the drain ends, including those that arrive on
    ///        open connections.
    void stop();

  private:
    struct job_answer;

    void count_refused(duration queued_for) noexcept;

    /// @brief The time until an answer must be sent, of a request that a thread has just taken.
    [[nodiscard]] static duration time_left(const protocol::caller_request& parsed) noexcept;
    [[nodiscard]] http::response handle(const http::request& received);
    [[nodiscard]] protocol::caller_answer forward(const protocol::caller_request& parsed,
                                                  const protocol::submit_call& call,
                                                  std::size_t body_bytes);
    [[nodiscard]] protocol::caller_answer
    forward(const protocol::caller_request& parsed, const protocol::read_call& call, std::size_t body_bytes);
    [[nodiscard]] protocol::caller_answer forward(const protocol::caller_request& parsed,
                                                  const protocol::cancel_call& call,
                                                  std::size_t body_bytes);
    [[nodiscard]] protocol::caller_answer
    call_leader(const protocol::caller_request& parsed,
                bool is_mutation,
                const std::function<job_answer(control_channel&, grpc::ClientContext&, duration)>& send);
    [[nodiscard]] bool ready() const;
    [[nodiscard]] http::response metrics_response() const;
    [[nodiscard]] time_point deadline_of(const protocol::caller_request& parsed) const;

    settings::job_settings settings_;
    const protocol::caller_protocol& callers_;
    leader_client leader_client_;
    std::unique_ptr<http::server> http_;
    std::unique_ptr<http::server> readiness_http_;
    std::unique_ptr<http::server> metrics_http_;
    entry_counts counts_;
    metrics::latency_histogram answer_times_;
    time_point answer_deadline_{}; // valid while draining; written before draining_ is set
    std::atomic<bool> draining_{false};
    std::atomic<bool> refusing_{false}; // requests that arrive now are not forwarded
    std::atomic<bool> stopped_{false};
};

} // namespace plumspoke::job_server
