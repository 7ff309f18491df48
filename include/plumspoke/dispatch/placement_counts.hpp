#pragma once

/// @file
/// @brief What a leader's placements came to in a window of time, by kind of work: whether tasks waited for
///        their turn or for a worker, and how runs ended.

#include "plumspoke/jobs/model.hpp"
#include "plumspoke/logging/event.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plumspoke::dispatch
{

/// @brief Kinds of work that wait for different room.
enum class work_kind : std::uint8_t
{
    lasting,
    brief,
    filler,
};
inline constexpr std::size_t work_kind_count = 3;

/// @brief The name, for log lines.
[[nodiscard]] std::string_view to_string(work_kind value) noexcept;

/// @brief Which kind a task is.
[[nodiscard]] constexpr work_kind kind_of(bool lasting, bool filler) noexcept
{
    if (lasting)
    {
        return work_kind::lasting;
    }
    return filler ? work_kind::filler : work_kind::brief;
}

/// @brief One kind of work.
struct kind_counts
{
    // At the last placement of the window.
    std::int64_t steps_ready = 0;
    std::int64_t steps_late = 0; // past their objective, worth less
    std::int64_t steps_hopeless = 0;
    std::int64_t tasks_waiting = 0;
    // Over all placements of the window.
    std::int64_t steps_without_turn = 0; // as many tasks were granted as a placement may
    std::int64_t steps_without_worker = 0;
    std::int64_t granted = 0;
    std::int64_t granted_again = 0; // not the task's first run
    std::int64_t granted_late = 0;
    std::int64_t granted_hopeless = 0;
    std::int64_t done = 0;
    std::int64_t failed = 0;
    std::int64_t stopped = 0;
    std::int64_t lapsed = 0;
    std::int64_t otherwise_over = 0;

    void note_end(jobs::run_end how) noexcept;
};

/// @brief All kinds, over one window.
struct placement_counts
{
    std::array<kind_counts, work_kind_count> kinds{};
    std::int64_t placements = 0;
    std::int64_t cut_short = 0; // placements that ended since they had granted as many tasks as they may
    std::int64_t held_back = 0; // decisions without one: enough records were on their way already

    [[nodiscard]] kind_counts& of(work_kind kind) noexcept
    {
        return kinds.at(static_cast<std::size_t>(kind));
    }

    /// @brief The log line of a window.
    [[nodiscard]] logging::event to_event() const;
};

} // namespace plumspoke::dispatch
