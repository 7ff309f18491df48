#pragma once

/// @file
/// @brief Decides when a replica saves a snapshot of its state. Performs no I/O and reads no clock.

#include "plumspoke/replica/message.hpp"
#include "plumspoke/time/time.hpp"

#include <cstddef>

namespace plumspoke::replica
{

/// @brief Schedules a snapshot after a number of entries, and a fresh one for each member that joins.
class snapshot_schedule
{
  public:
    snapshot_schedule() = default;

    /// @param interval number of entries between two snapshots
    /// @param saved index of the snapshot on the disk
    snapshot_schedule(std::size_t interval, log_index saved) noexcept
        : interval_(interval), saved_index_(saved)
    {
    }

    /// @brief Requests a fresh snapshot for a joining member, so that only few log entries follow it.
    void on_member_joined(time_point now) noexcept;

    /// @brief Whether members that need a snapshot should wait for a fresh one.
    [[nodiscard]] bool is_fresh_snapshot_pending(time_point now, log_index applied) noexcept;

    /// @brief Whether to save a snapshot now.
    /// @param now time of the boot clock
    /// @param applied index of the last applied entry
    /// @param installing whether a snapshot from the leader is not restored yet
    /// @param idle whether the apply queue is empty
    [[nodiscard]] bool is_due(time_point now, log_index applied, bool installing, bool idle) noexcept;

    /// @brief Records that the disk holds a snapshot, saved or received from the leader.
    void on_saved(log_index index) noexcept;

    /// @brief Delays the next attempt, after the disk had no space for a snapshot.
    void defer(time_point now) noexcept;

  private:
    void clear_request_if_fresh(log_index applied) noexcept;

    std::size_t interval_ = 0;
    log_index saved_index_ = 0;
    bool fresh_requested_ = false;
    time_point fresh_deadline_{}; // members get the existing snapshot after it
    time_point next_attempt_at_{};
};

} // namespace plumspoke::replica
