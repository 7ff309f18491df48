#pragma once

/// @file
/// @brief How much a worker is blamed for a task that went wrong elsewhere too.

namespace plumspoke::dispatch
{

/// @brief Share of the usual blame: it is rather the task's own fault.
inline constexpr double repeated_failure_weight = 0.35;

} // namespace plumspoke::dispatch
