#include "plumspoke/time/suspension_meter.hpp"

#include <algorithm>
#include <ctime>

namespace plumspoke
{

namespace
{

constexpr duration min_suspension = milliseconds(1); // adjustments of the rate apply to both clocks alike

duration read_clock(clockid_t clock) noexcept
{
    timespec now{};
    (void)::clock_gettime(clock, &now);
    return std::chrono::duration_cast<duration>(seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace

suspension_meter::suspension_meter() noexcept : last_(read())
{
}

duration suspension_meter::take() noexcept
{
    const difference now = read();
    const duration suspended = now.least - last_.most;
    if (suspended < min_suspension)
    {
        return duration::zero();
    }
    last_ = now;
    return suspended;
}

suspension_meter::difference suspension_meter::read() noexcept
{
    const duration before = read_clock(CLOCK_MONOTONIC);
    const duration boot_time = read_clock(CLOCK_BOOTTIME);
    const duration after = read_clock(CLOCK_MONOTONIC);
    return {boot_time - after, boot_time - before};
}

} // namespace plumspoke
