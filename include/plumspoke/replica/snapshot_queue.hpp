#pragma once

/// @file
/// @brief Which snapshot goes to an address next. No I/O, no lock.

#include "plumspoke/replica/message.hpp"

#include <optional>

namespace plumspoke::replica
{

/// @brief Snapshots to one address: at most one is on its way, and the newest of the others waits.
/// @note An address has one disk, and so one member, at a time: a snapshot for another member replaces what
///       waits and what is on its way.
class snapshot_queue
{
  public:
    /// @brief Queues a snapshot in place of the one that waits.
    /// @param sent its body is `install_snapshot`
    /// @return whether what is on its way is for another member, and is to be cancelled
    bool push(message sent);

    /// @brief The snapshot that is to be sent now; it is on its way until `finish`.
    [[nodiscard]] std::optional<message> pop();

    /// @param delivered whether it has arrived: then a repeat of it that waits is dropped
    void finish(bool delivered);

    [[nodiscard]] bool has_pending() const noexcept
    {
        return pending_.has_value();
    }

  private:
    /// @brief What tells two snapshots apart.
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
