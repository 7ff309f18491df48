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

bool snapshot_schedule::is_due(time_point now, log_index applied, const apply_backlog& backlog) noexcept
{
    clear_request_if_fresh(applied);
    const bool is_large = applied_bytes_ >= limits_.bytes;
    const bool due = fresh_requested_ || is_large || applied >= saved_index_ + limits_.entries;
    // Under load the backlog is never empty, so neither a member that needs a snapshot nor a large log waits
    // for that. The entries of the backlog are written to the new log file, so a large backlog goes first.
    const bool goes_first = fresh_requested_ || (is_large && backlog.log_bytes < limits_.bytes);
    const bool ready = goes_first ? !backlog.installing : backlog.empty;
    return due && ready && now >= next_attempt_at_;
}

void snapshot_schedule::on_saved(log_index index) noexcept
{
    saved_index_ = index;
    applied_bytes_ = 0;
    fresh_requested_ = false;
}

void snapshot_schedule::defer(time_point now) noexcept
{
    next_attempt_at_ = now + retry_interval;
}

} // namespace plumspoke::replica
