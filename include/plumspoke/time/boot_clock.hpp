#pragma once

/// @file
/// @brief The clock that leases, deadlines and timeouts are counted by.

#include <chrono>

namespace plumspoke
{

/// @brief A monotonic clock that also counts the time for which the VM is suspended (CLOCK_BOOTTIME).
/// @note Meets the named requirement TrivialClock.
/// @note std::chrono::steady_clock (CLOCK_MONOTONIC) stops while the VM is suspended, so a lease counted by
/// it
///       outlasts the time for which it was granted.
/// @note Waits of the kernel and the standard library count CLOCK_MONOTONIC. A wait that spans a suspension
///       ends late by at most the length of the suspension.
/// @sa time_point
class boot_clock
{
  public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept;
};

} // namespace plumspoke
