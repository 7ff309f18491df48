#pragma once

/// @file
/// @brief Evidence that a task crashes the workers that run it, and attribution of a crash to one of several
///        tasks.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>

namespace plumspoke::jobs
{

/// @brief What the end of a run indicates about whether its task crashes workers.
enum class crash_sign : std::uint8_t
{
    none = 0,
    counted = 1, // its worker crashed, or became unreachable on all connections; there may be another cause
    blamed = 2,  // its worker crashed, and this task is the most likely cause
    cleared = 3, // its worker ran it for so long that the task did not cause the earlier crashes
};

/// @brief Counts the worker crashes attributed to a task.
///
/// Guards against a task that crashes its worker within 50 ms of each start and takes about ten healthy tasks
/// down with it. Without a limit it cost one worker every 3.3 s. The platform allows two starts after the
/// third crash, so a task fails after five crashes whatever their cause; three blamed on the task are enough.
struct crash_evidence
{
    static constexpr std::uint32_t max_blamed = 3;
    static constexpr std::uint32_t max_crashes = 5;

    std::uint32_t crashes = 0; // workers that crashed or vanished during a run of the task
    std::uint32_t blamed = 0;  // of these, the crashes without another likely cause

    /// @brief Whether the task, and with it its job, has failed.
    [[nodiscard]] constexpr bool exceeds_limit() const noexcept
    {
        return blamed >= max_blamed || crashes >= max_crashes;
    }

    /// @brief Adds the sign of one run's end.
    constexpr void add(crash_sign sign) noexcept
    {
        if (sign == crash_sign::cleared)
        {
            *this = {};
            return;
        }
        crashes += sign == crash_sign::none ? 0 : 1;
        blamed += sign == crash_sign::blamed ? 1 : 0;
    }

    bool operator==(const crash_evidence&) const = default;
};

/// @brief How often the tasks to blame for a crash were blamed before; nothing if the cause is ambiguous.
/// @param candidates the evidence of the tasks by whose start the worker may have crashed
[[nodiscard]] constexpr std::optional<std::uint32_t>
max_prior_blame(std::span<const crash_evidence> candidates) noexcept
{
    std::uint32_t most = 0;
    for (const crash_evidence& one : candidates)
    {
        most = std::max(most, one.blamed);
    }
    const auto with_most = std::count_if(candidates.begin(),
                                         candidates.end(),
                                         [most](const crash_evidence& one)
                                         {
                                             return one.blamed == most;
                                         });
    // With two equal suspects on one worker, either may be the cause: neither is blamed, and they are placed
    // on different workers from now on.
    const bool is_unambiguous = most == 0 || with_most == 1;
    return is_unambiguous ? std::optional(most) : std::nullopt;
}

} // namespace plumspoke::jobs
