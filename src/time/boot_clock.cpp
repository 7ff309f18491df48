#include "plumspoke/time/boot_clock.hpp"

#include <ctime>

namespace plumspoke
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec now{};
    (void)::clock_gettime(CLOCK_BOOTTIME, &now); // can't fail: the clock exists and the pointer is valid
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace plumspoke
