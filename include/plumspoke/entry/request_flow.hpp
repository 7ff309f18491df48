#pragma once

/// @file
/// @brief Decides after each attempt whether to retry, forward the answer or abandon the request, and which
/// outcome to report.

#include "plumspoke/endpoint/connection.hpp"
#include "plumspoke/entry/reason.hpp"
#include "plumspoke/entry/retry_budget.hpp"

#include <variant>

namespace plumspoke::entry
{

/// @brief Result of one attempt, as input for the retry decision.
struct attempt_result
{
    endpoint::progress reached = endpoint::progress::nothing_sent;
    std::error_code error;
    int status = 0;
    bool endpoint_refused = false; // the endpoint stated that the request did not run
};

struct retry_attempt
{
    retry_reason reason = retry_reason::connect_refused;
};

/// @brief Forward the endpoint's answer to the caller.
struct forward_answer
{
    outcome reported = outcome::done;
};

/// @brief Stop without an answer from an endpoint.
struct abandon_request
{
    outcome reported = outcome::not_run;
    refusal reason = refusal::deadline_passed;
};

using retry_decision = std::variant<retry_attempt, forward_answer, abandon_request>;

/// @brief Tracks the attempts of one request and decides on retries.
class request_flow
{
  public:
    request_flow(bool safe, int max_attempts, time_point deadline) noexcept
        : safe_(safe), max_attempts_(max_attempts), deadline_(deadline)
    {
    }

    /// @brief Counts an attempt; checks that an unsafe request which may have run is not sent again.
    void begin_attempt();

    /// @brief Decides what follows an attempt; a retry is charged to `budget`.
    [[nodiscard]] retry_decision decide(time_point now, const attempt_result& end, retry_budget& budget);

    /// @brief Outcome to report if no further attempt is made.
    [[nodiscard]] outcome outcome_if_abandoned() const noexcept
    {
        return may_have_run_ ? outcome::unknown : outcome::not_run;
    }

    [[nodiscard]] int attempts() const noexcept
    {
        return attempts_;
    }
    [[nodiscard]] time_point deadline() const noexcept
    {
        return deadline_;
    }

  private:
    bool safe_;
    int max_attempts_;
    time_point deadline_;
    int attempts_ = 0;
    bool may_have_run_ = false;
};

/// @brief Whether an attempt counts as a failure of its endpoint.
[[nodiscard]] bool is_failure(const attempt_result& end) noexcept;

} // namespace plumspoke::entry
