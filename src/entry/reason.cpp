#include "plumspoke/entry/reason.hpp"

namespace plumspoke::entry
{

namespace
{

constexpr std::array<std::string_view, outcome_count> outcome_names = {"done", "not-run", "unknown"};

constexpr std::array<std::string_view, refusal_count> refusal_names = {
    "unknown_service",
    "not_serving",
    "draining",
    "over_quota",
    "queue_full",
    "cannot_meet_deadline",
    "no_slots",
    "no_endpoint",
    "deadline_passed",
    "attempts_used_up",
    "retry_budget_empty",
    "unsafe_not_repeated",
    "claim_in_progress",
    "claim_mismatch",
    "claim_unknown",
    "claim_not_possible",
};

constexpr std::array<std::string_view, retry_reason_count> retry_names = {
    "connect_refused",
    "connect_timeout",
    "write_failed",
    "answer_timeout",
    "closed_before_answer",
    "truncated_answer",
    "garbled_answer",
    "endpoint_refused",
    "server_error",
};

} // namespace

std::string_view to_string(outcome value) noexcept
{
    return outcome_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(refusal value) noexcept
{
    return refusal_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(retry_reason value) noexcept
{
    return retry_names.at(static_cast<std::size_t>(value));
}

} // namespace plumspoke::entry
