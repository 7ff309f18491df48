#pragma once

/// @file
/// @brief Conversion between the replica's value types and protobuf messages.

#include "plumspoke/plumspoke.pb.h"
#include "plumspoke/replica/node.hpp"

namespace plumspoke::replica
{

[[nodiscard]] wire::ReplicaMessage to_wire(const message& value);

/// @return the message, or nullopt if its body is missing or of an unknown kind
[[nodiscard]] std::optional<message> from_wire(const wire::ReplicaMessage& value);

[[nodiscard]] wire::Membership to_wire(const membership& value);
[[nodiscard]] membership from_wire(const wire::Membership& value);
[[nodiscard]] wire::Member to_wire(const member& value);
[[nodiscard]] member from_wire(const wire::Member& value);
[[nodiscard]] wire::LogEntry to_wire(const log_entry& value);
[[nodiscard]] log_entry from_wire(const wire::LogEntry& value);
[[nodiscard]] wire::Snapshot to_wire(const snapshot& value);
[[nodiscard]] snapshot from_wire(const wire::Snapshot& value);

} // namespace plumspoke::replica
