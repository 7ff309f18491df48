#pragma once

/// @file
/// @brief Decides when a replica saves a snapshot of its state. Performs no I/O and reads no clock.

#include "plumspoke/replica/message.hpp"
#include "plumspoke/time/time.hpp"

#include <cstddef>

namespace plumspoke::replica
{

/// @brief What is applied between two snapshots at most: a snapshot is due at either limit.
struct snapshot_limits
{
    std::size_t entries = 0;
    std::size_t bytes = 0; // of the entries' data
};

/// @brief Entries of a replica that are committed but not applied yet.
struct apply_backlog
{
    bool installing = false;   // a snapshot from the leader is not restored yet
    bool empty = true;         // nothing is left to apply
    std::size_t log_bytes = 0; // data of all log entries that are not applied
};

/// @brief Schedules a snapshot after a number of entries or bytes, and a fresh one for each member that
/// joins.
class snapshot_schedule
{
  public:
    snapshot_schedule() = default;

    /// @param limits entries and bytes between two snapshots
    /// @param saved index of the snapshot on the disk
    snapshot_schedule(snapshot_limits limits, log_index saved) noexcept : limits_(limits), saved_index_(saved)
    {
    }

    /// @brief Records that an entry was applied.
    /// @param bytes size of its data
    void on_applied(std::size_t bytes) noexcept
    {
        applied_bytes_ += bytes;
    }

    /// @brief Requests a fresh snapshot for a joining member, so that only few log entries follow it.
    void on_member_joined(time_point now) noexcept;

    /// @brief Whether members that need a snapshot should wait for a fresh one.
    [[nodiscard]] bool is_fresh_snapshot_pending(time_point now, log_index applied) noexcept;

    /// @brief Whether to save a snapshot now.
    /// @param now time of the boot clock
    /// @param applied index of the last applied entry
    /// @param backlog what is not applied yet
    [[nodiscard]] bool is_due(time_point now, log_index applied, const apply_backlog& backlog) noexcept;

    /// @brief Records that the disk holds a snapshot, saved or received from the leader.
    void on_saved(log_index index) noexcept;

    /// @brief Delays the next attempt, after the disk had no space for a snapshot.
    void defer(time_point now) noexcept;

  private:
    void clear_request_if_fresh(log_index applied) noexcept;

    snapshot_limits limits_;
    log_index saved_index_ = 0;
    std::size_t applied_bytes_ = 0; // since the last snapshot
    bool fresh_requested_ = false;
    time_point fresh_deadline_{}; // members get the existing snapshot after it
    time_point next_attempt_at_{};
};

} // namespace plumspoke::replica
