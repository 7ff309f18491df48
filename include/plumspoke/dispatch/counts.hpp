#pragma once

/// @file
/// @brief What a dispatcher counts: how runs and workers' lives end, and why leases lapse.

#include "plumspoke/time/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plumspoke::dispatch
{

/// @brief Runs that are recorded, and that no worker has confirmed to this leader.
struct unconfirmed_runs
{
    std::uint64_t own = 0;
    std::uint64_t inherited = 0;
    std::uint64_t jobs = 0;              // of which no run is confirmed
    duration oldest{};                   // since the record, or since this leader took it over
    std::uint64_t unrenewed_workers = 0; // with inherited runs, and without a lease from this leader
};

/// @brief How the leader learns that a worker's life is over.
enum class life_end_cause : std::uint8_t
{
    departure, // it said so and left
    crash,     // another life answers at its address
};

/// @brief What was open with a worker when its lease lapsed, as this leader sees it.
enum class lapse_cause : std::uint8_t
{
    not_contacted, // it had not answered in this term
    silent,        // it had left calls unanswered
    asked_late,    // no lease was sent to it for the length of one
    poll_open,     // a poll was on its way, and its limit not over
    not_asked,     // it was not being asked
    renewed,       // leases were sent in time, and it says that one lapsed all the same
};
inline constexpr std::size_t lapse_cause_count = 6;

/// @brief Who found that a lease had lapsed.
enum class lapse_detector : std::uint8_t
{
    leader, // by its bound of the worker's clock
    worker, // by its own clock; it lists the end
};
inline constexpr std::size_t lapse_detector_count = 2;

/// @brief Says it for log lines.
[[nodiscard]] std::string_view to_string(life_end_cause value) noexcept;

/// @brief The names, for log lines and labels.
[[nodiscard]] std::string_view to_string(lapse_cause value) noexcept;
[[nodiscard]] std::string_view to_string(lapse_detector value) noexcept;

/// @brief Lapsed runs by who found it, and by cause.
using lapse_counts = std::array<std::array<std::uint64_t, lapse_cause_count>, lapse_detector_count>;

/// @brief Counts for metrics.
struct dispatch_counts
{
    std::uint64_t starts_ordered = 0;
    std::uint64_t starts_rejected_no_room = 0;
    std::uint64_t starts_rejected_other = 0;
    std::uint64_t starts_unanswered = 0;
    std::uint64_t polls = 0;
    std::uint64_t polls_unanswered = 0;
    std::uint64_t stops_ordered = 0;
    std::uint64_t paces_ordered = 0;
    std::uint64_t ends_done = 0;
    std::uint64_t ends_failed = 0;
    std::uint64_t ends_stopped = 0;
    std::uint64_t ends_lapsed = 0;
    std::uint64_t ends_lost = 0;
    std::uint64_t ends_crashed = 0;
    std::uint64_t workers_crashed = 0;
    std::uint64_t tasks_given_up = 0; // since workers crash under them
    std::uint64_t ends_not_begun = 0;
    std::uint64_t workers_set_aside = 0;
    std::uint64_t copies = 0;
    std::uint64_t moved_stalled = 0;
    std::uint64_t moved_straggler = 0;
    std::uint64_t moved_drain = 0;
    std::uint64_t moved_pace = 0;
    lapse_counts runs_lapsed{};
};

} // namespace plumspoke::dispatch
