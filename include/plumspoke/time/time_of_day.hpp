#pragma once

/// @file
/// @brief The agreed time of day, for what outlives a process: log lines, acceptances and due times.

#include <chrono>
#include <cstdint>

namespace plumspoke
{

/// @brief Milliseconds since 1970 by the system's clock, which may be set back: never used for leases.
[[nodiscard]] inline std::int64_t time_of_day_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace plumspoke
