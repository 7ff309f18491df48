#pragma once

/// @file
/// @brief Wall-clock time, for values that outlive a process: log lines, acceptance times and due times.

#include <chrono>
#include <cstdint>

namespace plumspoke
{

/// @brief Milliseconds since 1970 on the system clock. It may be set back, so it must not be used for leases.
[[nodiscard]] inline std::int64_t time_of_day_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace plumspoke
