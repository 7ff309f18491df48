#pragma once

/// @file
/// @brief A leader's rule for changing its group: one member a step, and never fewer copies on the way.

#include "plumspoke/replica/node.hpp"

#include <optional>
#include <span>

namespace plumspoke::replica
{

/// @brief The one step that a leader's membership should take next, if any: promote a learner that has
///        all that is committed, remove the disk that it replaces, or take a joining member in.
/// @param leader the node whose membership it is; must lead, with no change pending
/// @param joining who has asked to be taken in
/// @param now the steady clock
/// @param options the wanted number of voters, and the silences after which a member counts as gone
/// @return the whole membership after the step; nothing where none is due
[[nodiscard]] std::optional<membership> next_membership(const node& leader,
                                                        std::span<const member> joining,
                                                        time_point now,
                                                        const node_options& options);

} // namespace plumspoke::replica
