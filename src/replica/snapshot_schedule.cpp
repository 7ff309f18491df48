#include "plumspoke/replica/snapshot_schedule.hpp"

namespace plumspoke::replica
{

namespace
{

// A lost disk is only replaced once its successor has the snapshot and the log after it, so a joining member
// gets a snapshot that is at most this many entries old.
constexpr std::size_t fresh_snapshot_interval = 50;
constexpr auto fresh_snapshot_timeout = milliseconds(500);
constexpr auto retry_interval = milliseconds(1000); // after a full disk; snapshots are not urgent

} // namespace

void snapshot_schedule::on_member_joined(time_point now) noexcept
{
    fresh_requested_ = true;
    fresh_deadline_ = now + fresh_snapshot_timeout;
}

void snapshot_schedule::clear_request_if_fresh(log_index applied) noexcept
{
    fresh_requested_ = fresh_requested_ && applied >= saved_index_ + fresh_snapshot_interval;
}

bool snapshot_schedule::is_fresh_snapshot_pending(time_point now, log_index applied) noexcept
{
    clear_request_if_fresh(applied);
    return fresh_requested_ && now < fresh_deadline_;
}

bool snapshot_schedule::is_due(time_point now, log_index applied, bool installing, bool idle) noexcept
{
    clear_request_if_fresh(applied);
    const bool due = fresh_requested_ || applied >= saved_index_ + interval_;
    // Under load the apply queue is never empty, so a member that needs a snapshot does not wait for that.
    const bool ready = fresh_requested_ ? !installing : idle;
    return due && ready && now >= next_attempt_at_;
}

void snapshot_schedule::on_saved(log_index index) noexcept
{
    saved_index_ = index;
    fresh_requested_ = false;
}

void snapshot_schedule::defer(time_point now) noexcept
{
    next_attempt_at_ = now + retry_interval;
}

} // namespace plumspoke::replica
