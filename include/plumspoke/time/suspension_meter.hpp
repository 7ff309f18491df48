#pragma once

/// @file
/// @brief Detects that the VM was suspended.

#include "plumspoke/time/time.hpp"

namespace plumspoke
{

/// @brief Compares CLOCK_BOOTTIME, which counts suspended time, with CLOCK_MONOTONIC, which doesn't.
class suspension_meter
{
  public:
    suspension_meter() noexcept;

    /// @return for how long the VM was suspended since the last call, 0 if it wasn't
    /// @note The clocks can't be read at the same instant, so the result may be too short by the time between
    ///       two readings. It is never too long.
    [[nodiscard]] duration take() noexcept;

  private:
    /// @brief Bounds of the difference between the two clocks.
    struct difference
    {
        duration least;
        duration most;
    };
    [[nodiscard]] static difference read() noexcept;

    difference last_;
};

} // namespace plumspoke
