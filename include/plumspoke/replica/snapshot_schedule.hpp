#pragma once

/// @file
/// @brief When a replica saves a snapshot of its state. No I/O, no clock.

#include "plumspoke/replica/message.hpp"
#include "plumspoke/time/time.hpp"

#include <cstddef>

namespace plumspoke::replica
{

/// @brief Saves one after so many entries, and a fresh one for each member that joins.
class snapshot_schedule
{
  public:
    snapshot_schedule() = default;

    /// @param interval the entries between two snapshots
    /// @param saved the index of the one that the disk holds
    snapshot_schedule(std::size_t interval, log_index saved) noexcept
        : interval_(interval), saved_index_(saved)
    {
    }

    /// @brief A member has been taken in, and gets a snapshot that leaves little of the log to send after it.
    void on_member_joined(time_point now) noexcept;

    /// @brief Whether members that need a snapshot are to wait for a fresh one.
    [[nodiscard]] bool is_fresh_snapshot_pending(time_point now, log_index applied) noexcept;

    /// @param installing a snapshot of the leader's isn't in the state yet
    /// @param idle nothing waits to be applied
    [[nodiscard]] bool is_due(time_point now, log_index applied, bool installing, bool idle) noexcept;

    /// @brief A snapshot is on the disk, saved or taken from the leader.
    void on_saved(log_index index) noexcept;

    /// @brief The disk had no room for one.
    void defer(time_point now) noexcept;

  private:
    void clear_request_if_fresh(log_index applied) noexcept;

    std::size_t interval_ = 0;
    log_index saved_index_ = 0;
    bool fresh_requested_ = false;
    time_point fresh_deadline_{}; // then a member gets the one that is there
    time_point next_attempt_at_{};
};

} // namespace plumspoke::replica
