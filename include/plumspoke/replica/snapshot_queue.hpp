#pragma once

/// @file
/// @brief Selects the next snapshot to send to an address. Performs no I/O and takes no lock.

#include "plumspoke/replica/message.hpp"

#include <optional>

namespace plumspoke::replica
{

/// @brief Snapshots to one address: at most one is in flight, and only the newest other one is pending.
/// @note An address has one disk, and therefore one member, at a time: a snapshot for another member replaces
///       the pending one and the one in flight.
class snapshot_queue
{
  public:
    /// @brief Replaces the pending snapshot.
    /// @param sent a message whose body is `install_snapshot`
    /// @return whether the snapshot in flight is for another member and has to be cancelled
    bool push(message sent);

    /// @brief Returns the pending snapshot, which is in flight from then on until `finish`.
    [[nodiscard]] std::optional<message> pop();

    /// @brief Ends the transfer of the snapshot in flight.
    /// @param delivered whether it arrived; if so, a pending repetition of it is dropped
    void finish(bool delivered);

    [[nodiscard]] bool has_pending() const noexcept
    {
        return pending_.has_value();
    }

  private:
    /// @brief Identifies a snapshot.
    struct snapshot_key
    {
        member_id to;
        log_index index = 0;

        bool operator==(const snapshot_key&) const = default;
    };

    [[nodiscard]] static snapshot_key key_of(const message& sent);

    std::optional<message> pending_;
    std::optional<snapshot_key> in_flight_;
};

} // namespace plumspoke::replica
