#pragma once

/// @file
/// @brief What speaks for work that crashes the workers that start it, and on which of several a crash is
/// blamed.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>

namespace plumspoke::jobs
{

/// @brief What a run's end tells of whether its task crashes workers.
enum class crash_sign : std::uint8_t
{
    none = 0,
    counted = 1, // its worker crashed, or fell silent on all ways; something else may explain it
    blamed = 2,  // its worker crashed, and nothing explains that better
    cleared = 3, // its worker bore it for so long that earlier crashes were not its task's doing
};

/// @brief What speaks for a task's crashing the workers that start it.
///
/// Load that it answers: a task whose worker crashes within 50 ms of each start, and takes some ten sound
/// tasks along. Without a bound it cost a worker each 3.3 s. The platform allows two starts after the third
/// crash, so five crashes are the end whatever explains them; three that nothing else explains are enough.
struct crash_evidence
{
    static constexpr std::uint32_t max_blamed = 3;
    static constexpr std::uint32_t max_crashes = 5;

    std::uint32_t crashes = 0; // workers that crashed, or vanished, while they had a run of it
    std::uint32_t blamed = 0;  // of these, crashes that nothing else explains

    /// @brief Whether the task is given up, and its job has failed.
    [[nodiscard]] constexpr bool exceeds_limit() const noexcept
    {
        return blamed >= max_blamed || crashes >= max_crashes;
    }

    constexpr void note(crash_sign sign) noexcept
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

/// @brief How often those who are blamed for a crash were blamed before; nothing where it can't be told who
/// is.
/// @param beside of all that the crashed worker had begun
[[nodiscard]] constexpr std::optional<std::uint32_t>
max_prior_blame(std::span<const crash_evidence> beside) noexcept
{
    std::uint32_t most = 0;
    for (const crash_evidence& one : beside)
    {
        most = std::max(most, one.blamed);
    }
    const auto alike = std::count_if(beside.begin(),
                                     beside.end(),
                                     [most](const crash_evidence& one)
                                     {
                                         return one.blamed == most;
                                     });
    // Of two suspects on one worker either may be at fault: both are kept, and apart from now on.
    const bool can_tell = most == 0 || alike == 1;
    return can_tell ? std::optional(most) : std::nullopt;
}

} // namespace plumspoke::jobs
