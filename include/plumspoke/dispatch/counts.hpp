#pragma once

/// @file
/// @brief Counters of the dispatcher: how runs and workers' lives end, and why leases lapse.

#include "plumspoke/time/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plumspoke::dispatch
{

/// @brief Runs that are recorded but that no worker has confirmed to this leader.
struct unconfirmed_runs
{
    std::uint64_t own = 0;
    std::uint64_t inherited = 0;
    std::uint64_t jobs = 0;              // without a confirmed run
    duration oldest{};                   // age since the record, or since the take-over by this leader
    std::uint64_t unrenewed_workers = 0; // with inherited runs and no lease from this leader yet
};

/// @brief How the leader learned that a worker's life has ended.
enum class life_end_cause : std::uint8_t
{
    departure, // the worker announced that it leaves
    crash,     // another life answers at its address
};

/// @brief Why a worker's lease lapsed, from the state of its polls as this leader sees it.
enum class lapse_cause : std::uint8_t
{
    not_contacted, // the worker had not answered in this term
    silent,        // its latest calls were unanswered
    asked_late,    // no lease was sent to it for the duration of one
    poll_open,     // a poll was in flight and had not timed out
    not_asked,     // no poll was in flight
    renewed,       // leases were sent in time, but the worker reports that one lapsed
};
inline constexpr std::size_t lapse_cause_count = 6;

/// @brief Who detected that a lease had lapsed.
enum class lapse_detector : std::uint8_t
{
    leader, // from its bound on the worker's clock
    worker, // from its own clock; it reports the end
};
inline constexpr std::size_t lapse_detector_count = 2;

/// @brief The cause as text for log lines.
[[nodiscard]] std::string_view to_string(life_end_cause value) noexcept;

/// @brief The names for log lines and metric labels.
[[nodiscard]] std::string_view to_string(lapse_cause value) noexcept;
[[nodiscard]] std::string_view to_string(lapse_detector value) noexcept;

/// @brief Lapsed runs by detector and cause.
using lapse_counts = std::array<std::array<std::uint64_t, lapse_cause_count>, lapse_detector_count>;

/// @brief Counters for metrics.
struct dispatch_counts
{
    std::uint64_t starts_ordered = 0;
    std::uint64_t starts_rejected_no_room = 0;
    std::uint64_t starts_rejected_other = 0;
    std::uint64_t starts_unanswered = 0;
    std::uint64_t polls = 0;
    std::uint64_t polls_without_lease = 0; // of `polls`
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
    std::uint64_t tasks_given_up = 0; // because workers crashed while running them
    std::uint64_t ends_not_begun = 0;
    std::uint64_t workers_set_aside = 0;
    std::uint64_t copies = 0;
    std::uint64_t moved_stalled = 0;
    std::uint64_t moved_straggler = 0;
    std::uint64_t moved_drain = 0;
    std::uint64_t moved_pace = 0;
    std::uint64_t workers_compared = 0; // while looking for workers for the waiting steps
    lapse_counts runs_lapsed{};
};

} // namespace plumspoke::dispatch
