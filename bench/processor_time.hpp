#pragma once

/// @file
/// @brief Processor time used by a benchmark.

#include <sys/resource.h>

namespace plumspoke::bench
{

/// @brief Returns the user and system processor time of all threads of this process, in seconds.
[[nodiscard]] inline double processor_seconds() noexcept
{
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto seconds_of = [](const timeval& time)
    {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds_of(used.ru_utime) + seconds_of(used.ru_stime);
}

} // namespace plumspoke::bench
