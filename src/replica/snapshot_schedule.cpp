#include "plumspoke/replica/snapshot_schedule.hpp"

namespace plumspoke::replica
{

namespace
{

// A member that is taken in gets a snapshot that is newer than so many entries, so that little of the log is
// left to send after it: a lost disk is replaced only once its successor has both.
constexpr std::size_t fresh_snapshot_interval = 50;
constexpr auto fresh_snapshot_timeout = milliseconds(500);
constexpr auto snapshot_retry = milliseconds(1000); // a snapshot that found no room is no hurry

} // namespace

void snapshot_schedule::on_member_joined(time_point now) noexcept
{
    fresh_wanted_ = true;
    awaited_until_ = now + fresh_snapshot_timeout;
}

void snapshot_schedule::drop_wish_if_fresh(log_index applied) noexcept
{
    fresh_wanted_ = fresh_wanted_ && applied >= saved_ + fresh_snapshot_interval;
}

bool snapshot_schedule::is_awaited(time_point now, log_index applied) noexcept
{
    drop_wish_if_fresh(applied);
    return fresh_wanted_ && now < awaited_until_;
}

bool snapshot_schedule::is_due(time_point now, log_index applied, bool installing, bool idle) noexcept
{
    drop_wish_if_fresh(applied);
    const bool due = fresh_wanted_ || applied >= saved_ + interval_;
    // Under load something always waits to be applied; who needs a snapshot doesn't wait for that.
    const bool ready = fresh_wanted_ ? !installing : idle;
    return due && ready && now >= next_at_;
}

void snapshot_schedule::on_saved(log_index index) noexcept
{
    saved_ = index;
    fresh_wanted_ = false;
}

void snapshot_schedule::put_off(time_point now) noexcept
{
    next_at_ = now + snapshot_retry;
}

} // namespace plumspoke::replica
