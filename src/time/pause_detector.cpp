#include "plumspoke/time/pause_detector.hpp"

#include <algorithm>

namespace plumspoke
{

namespace
{

constexpr int min_pause_ticks = 2;
constexpr auto catch_up_time = seconds(1); // after a pause, until what arrived during it is noticed

} // namespace

pause_detector::pause_detector(time_point now, duration tick_interval) noexcept
    : min_pause_(min_pause_ticks * tick_interval), last_tick_at_(now), paused_at_(now - catch_up_time),
      resumed_at_(paused_at_)
{
}

void pause_detector::tick(time_point now)
{
    const std::lock_guard lock(mutex_);
    if (now >= last_tick_at_ + min_pause_)
    {
        const bool extends_pause = last_tick_at_ < resumed_at_ + catch_up_time;
        paused_at_ = extends_pause ? paused_at_ : last_tick_at_;
        resumed_at_ = now;
    }
    last_tick_at_ = now;
}

duration pause_detector::max_age(time_point now, time_point noticed_at) const
{
    const std::lock_guard lock(mutex_);
    time_point earliest = noticed_at;
    if (noticed_at >= last_tick_at_ + min_pause_) // the ticking thread has not run since the pause
    {
        earliest = last_tick_at_;
    }
    if (noticed_at >= paused_at_ && noticed_at < resumed_at_ + catch_up_time)
    {
        earliest = std::min(earliest, paused_at_);
    }
    return std::chrono::duration_cast<duration>(now - earliest);
}

} // namespace plumspoke
