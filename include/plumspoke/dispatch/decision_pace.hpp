#pragma once

/// @file
/// @brief How often a leader decides.

#include "plumspoke/time/time.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

/// @brief Rests after each decision for a multiple of what it took, so that answers and renewals of leases
///        have the larger part of a small processor, however much there is to decide.
///
/// What happens meanwhile is taken into one decision. Time is counted by the clock, not by the processor: a
/// leader that is kept from running decides less often too.
class decision_pace
{
  public:
    /// @brief When the next decision may be made.
    [[nodiscard]] time_point next_at() const noexcept
    {
        return next_at_;
    }

    /// @brief Takes note of a decision.
    void note(time_point begun, time_point ended) noexcept
    {
        next_at_ = ended + std::min<time_point::duration>(rest_factor * (ended - begun), longest_rest);
    }

  private:
    // Decisions of up to 17 ms take a quarter of the time at most; the bound on the rest keeps longer ones
    // going.
    static constexpr int rest_factor = 3;
    // A start waits for its record for some 15 ms anyway, and a renewal is due once a second.
    static constexpr duration longest_rest = milliseconds(50);

    time_point next_at_{};
};

} // namespace plumspoke::dispatch
