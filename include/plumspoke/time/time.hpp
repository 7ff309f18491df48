#pragma once

/// @file
/// @brief Time types. Decision code receives the current time as an argument and never reads a clock.

#include "plumspoke/time/boot_clock.hpp"

#include <chrono>

namespace plumspoke
{

/// @brief A time on the boot clock of one VM; must not be sent to other VMs.
using time_point = boot_clock::time_point;

/// @brief A duration with the microsecond resolution that the request path needs.
using duration = std::chrono::microseconds;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Microseconds since the epoch of the boot clock.
[[nodiscard]] inline std::int64_t to_microseconds(time_point at) noexcept
{
    return std::chrono::duration_cast<duration>(at.time_since_epoch()).count();
}

/// @brief The inverse of to_microseconds.
[[nodiscard]] inline time_point from_microseconds(std::int64_t at) noexcept
{
    return time_point(duration(at));
}

} // namespace plumspoke
