#pragma once

/// @file
/// @brief Derives the maximum size of a replica's log from the memory and the disk of its VM.

#include "plumspoke/settings/thread_budget.hpp"

#include <cstddef>

namespace plumspoke::settings
{

/// @brief Maximum size, in bytes, of the log entries between two snapshots of a replica.
/// @note Memory holds the log once, plus the entries that are kept for members which are catching up and
///       those that are queued. The disk holds up to two logs and two snapshots while a snapshot is saved.
/// @param limits resources of the VM; where neither memory nor disk is known, a default is used
[[nodiscard]] std::size_t recommended_log_bytes(const vm_limits& limits) noexcept;

} // namespace plumspoke::settings
