#pragma once

/// @file
/// @brief How often a leader decides.

#include "plumspoke/time/time.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

/// @brief Decides at once, each time something has happened.
class decision_pace
{
  public:
    /// @brief When the next decision may be made.
    [[nodiscard]] time_point next_at() const noexcept
    {
        return next_at_;
    }

    /// @brief Takes note of a decision.
    void note(time_point /*begun*/, time_point ended) noexcept
    {
        next_at_ = ended;
    }

  private:
    time_point next_at_{};
};

} // namespace plumspoke::dispatch
