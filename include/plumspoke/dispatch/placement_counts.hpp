#pragma once

/// @file
/// @brief Statistics of a leader's placements in a time window, by kind of work: whether tasks waited for the
///        limit on starts or for a worker, and how runs ended.

#include "plumspoke/jobs/model.hpp"
#include "plumspoke/logging/event.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plumspoke::dispatch
{

/// @brief Kinds of work, which use different parts of a worker's capacity.
enum class work_kind : std::uint8_t
{
    lasting,    // runs until it is stopped
    short_task, // ends by itself
    filler,     // best effort, uses what others leave unused
};
inline constexpr std::size_t work_kind_count = 3;

/// @return the name in log lines
[[nodiscard]] std::string_view to_string(work_kind value) noexcept;

/// @brief The kind of a task with these properties.
[[nodiscard]] constexpr work_kind kind_of(bool lasting, bool filler) noexcept
{
    if (lasting)
    {
        return work_kind::lasting;
    }
    return filler ? work_kind::filler : work_kind::short_task;
}

/// @brief The statistics of one kind of work.
struct kind_counts
{
    // As of the last placement of the window.
    std::int64_t steps_ready = 0;
    std::int64_t steps_late = 0; // past their objective, with reduced value
    std::int64_t steps_hopeless = 0;
    std::int64_t tasks_waiting = 0;
    // Sums over all placements of the window.
    std::int64_t steps_over_limit = 0; // the limit on starts was reached
    std::int64_t steps_without_worker = 0;
    std::int64_t granted = 0;
    std::int64_t granted_restarts = 0; // not the task's first run
    std::int64_t granted_late = 0;
    std::int64_t granted_hopeless = 0;
    std::int64_t done = 0;
    std::int64_t failed = 0;
    std::int64_t stopped = 0;
    std::int64_t lapsed = 0;
    std::int64_t ended_otherwise = 0;

    void note_end(jobs::run_end how) noexcept;
};

/// @brief The statistics of all kinds over one window.
struct placement_counts
{
    std::array<kind_counts, work_kind_count> kinds{};
    std::int64_t placements = 0;
    std::int64_t limited = 0;      // placements that reached a limit on starts
    std::int64_t deferred = 0;     // decisions without a placement, since too many records were in flight
    std::int64_t with_fillers = 0; // placements that considered fillers
    std::int64_t limited_with_fillers = 0; // of these, placements that reached a limit on starts
    // The limits on starts that were in force at the last placement.
    std::size_t max_starts = 0;
    std::size_t max_filler_starts = 0;

    [[nodiscard]] kind_counts& of(work_kind kind) noexcept
    {
        return kinds.at(static_cast<std::size_t>(kind));
    }

    /// @return the log line of the window
    [[nodiscard]] logging::event to_event() const;
};

} // namespace plumspoke::dispatch
