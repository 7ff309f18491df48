#pragma once

/// @file
/// @brief Optimistic concurrency control for orders on the evacuation of availability zones.
///
/// An order carries no version, and it may wait in a socket, a queue or a stopped process while its operator
/// goes on to another control VM. It is therefore carried out in three steps: read the zone's version at the
/// leader, then check that the operator still waits, then propose the order on condition that the version is
/// unchanged. Any later order of that operator raises the version, so an outdated order is not proposed,
/// however late each of these steps is.

#include "plumspoke/replica/message.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace plumspoke::job_server
{

/// @brief Identifies the last order on a zone that a leader has proposed.
struct zone_version
{
    replica::term_number term = 0; // of the leader
    std::uint64_t orders = 0;      // that it has proposed, including those without an effect

    bool operator==(const zone_version&) const = default;
};

/// @brief Counts the orders that this process has proposed as the leader, by zone. Thread-safe.
/// @note Not replicated, so that replicas of different releases apply the log alike. A version holds for one
///       term, and each term has one leader.
class zone_orders
{
  public:
    [[nodiscard]] zone_version read(replica::term_number term, const std::string& zone) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = counts_.find(zone);
        return {term, found == counts_.end() ? 0 : found->second};
    }

    /// @brief Proposes an order unless another one on the zone was proposed since a version was read.
    /// @param expected the version; std::nullopt: no condition. The log checks its term.
    /// @param propose appends the order to the leader's queue of proposals. It is called under the lock, so
    ///        that the queue has the order of the versions.
    /// @return false if the order was not proposed
    template <typename Propose>
    [[nodiscard]] bool propose_if_unchanged(const std::string& zone,
                                            const std::optional<zone_version>& expected,
                                            const Propose& propose)
    {
        const std::lock_guard lock(mutex_);
        std::uint64_t& count = counts_[zone];
        if (expected.has_value() && expected->orders != count)
        {
            return false;
        }
        ++count;
        propose();
        return true;
    }

  private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counts_;
};

/// @brief How an attempt to carry out an order ended.
enum class order_end : std::uint8_t
{
    durable,      // committed
    conflict,     // not proposed: another order on the zone came first
    abandoned,    // not proposed: the operator may have gone on
    undecided,    // may be committed
    not_executed, // no leader was reached
};

/// @brief Carries out an order on a zone, again while other orders come first.
/// @param read_version returns std::nullopt if no leader has answered
/// @param is_awaited whether the operator still waits for the order
/// @param commit proposes the order on condition of a version, and returns its end
template <typename Version, typename Check, typename Commit>
[[nodiscard]] order_end
carry_out_order(const Version& read_version, const Check& is_awaited, const Commit& commit)
{
    order_end end = order_end::conflict;
    while (end == order_end::conflict)
    {
        const auto version = read_version();
        if (!version.has_value())
        {
            return order_end::not_executed;
        }
        if (!is_awaited()) // after the read: an operator that waits now also waited then
        {
            return order_end::abandoned;
        }
        end = commit(*version);
    }
    return end;
}

} // namespace plumspoke::job_server
