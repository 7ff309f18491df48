#pragma once

/// @file
/// @brief Weight of a failure in a worker's failure score if the task has failed elsewhere too.

namespace plumspoke::dispatch
{

/// @brief Fraction of the full weight, since the task itself is the likelier cause.
inline constexpr double repeated_failure_weight = 0.35;

} // namespace plumspoke::dispatch
