#pragma once

/// @file
/// @brief How a leader changes its group: one member per step, without ever lowering the number of copies of
///        the log.

#include "plumspoke/replica/node.hpp"

#include <optional>
#include <span>

namespace plumspoke::replica
{

/// @brief The next membership change, if any: promote a learner that has caught up, remove the disk that it
///        replaces, or add a joining member as a learner.
/// @param leader the node whose membership is changed; must be the leader, with no change pending
/// @param joining members that have requested to join
/// @param now time of the boot clock
/// @param options the target number of voters, and the timeouts after which a member counts as unresponsive
/// @return the complete membership after the change; nullopt if no change is due
[[nodiscard]] std::optional<membership> next_membership(const node& leader,
                                                        std::span<const member> joining,
                                                        time_point now,
                                                        const node_options& options);

} // namespace plumspoke::replica
