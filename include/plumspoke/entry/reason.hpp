#pragma once

/// @file
/// @brief Request outcomes, and reasons for refusals and retries. Each reason has a counter.

#include <array>
#include <cstdint>
#include <string_view>

namespace plumspoke::entry
{

/// @brief Outcome of a request as reported to the caller.
enum class outcome : std::uint8_t
{
    done,    // the endpoint answered completely, without a server error
    not_run, // it certainly did not run
    unknown, // it may have run
};
inline constexpr std::size_t outcome_count = 3;
[[nodiscard]] std::string_view to_string(outcome value) noexcept;

/// @brief Why a request was refused or abandoned.
enum class refusal : std::uint8_t
{
    unknown_service,
    not_serving, // no lease from control
    draining,    // the entry is stopping
    over_quota,  // the service's limit of requests in flight is reached
    queue_full,  // the service's limit of waiting requests is reached
    cannot_meet_deadline,
    no_slots,    // control has granted this entry no slots
    no_endpoint, // all endpoints are leaving or excluded by their guards
    deadline_passed,
    attempts_used_up,
    retry_budget_empty,
    unsafe_not_repeated, // an unsafe request may have run, so it is not retried
    claim_in_progress,
    claim_mismatch,
    claim_unknown,
    claim_not_possible, // control is unavailable or refused the claim
};
inline constexpr std::size_t refusal_count = 16;
[[nodiscard]] std::string_view to_string(refusal value) noexcept;

/// @brief Why a request was retried.
enum class retry_reason : std::uint8_t
{
    connect_refused,
    connect_timeout,
    write_failed,
    answer_timeout,
    closed_before_answer,
    truncated_answer,
    garbled_answer,
    endpoint_refused,
    server_error,
};
inline constexpr std::size_t retry_reason_count = 9;
[[nodiscard]] std::string_view to_string(retry_reason value) noexcept;

} // namespace plumspoke::entry
