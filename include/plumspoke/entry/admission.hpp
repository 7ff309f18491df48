#pragma once

/// @file
/// @brief Admission control: decides on arrival whether a request may wait for a slot, and refuses at once
/// what cannot be answered in time.

#include "plumspoke/entry/reason.hpp"
#include "plumspoke/time/time.hpp"

#include <optional>

namespace plumspoke::entry
{

/// @brief State of a service that the decision is based on.
struct admission_input
{
    std::int64_t in_flight = 0; // of the service, in this entry
    std::int64_t max_in_flight = 0;
    std::int64_t waiting = 0;
    std::int64_t max_waiting = 0;
    std::int64_t slots = 0;             // granted on the service's usable endpoints
    std::int64_t usable = 0;            // endpoints that are neither leaving nor excluded by their guard
    std::int64_t mean_slot_time_us = 0; // smoothed time that a slot is held
    duration left{};                    // until the deadline
};

/// @brief A refusal and the delay after which the caller may retry.
struct admission_refusal
{
    refusal reason = refusal::queue_full;
    duration retry_after{};
};

/// @brief Expected wait for a slot of a request that arrives now.
[[nodiscard]] duration expected_wait(const admission_input& input) noexcept;

/// @brief Decides whether a request is admitted.
/// @return the refusal, or nothing if the request is admitted
[[nodiscard]] std::optional<admission_refusal> admit(const admission_input& input) noexcept;

/// @brief Longest wait for a slot that still leaves time for the answer.
[[nodiscard]] duration max_wait(const admission_input& input) noexcept;

} // namespace plumspoke::entry
