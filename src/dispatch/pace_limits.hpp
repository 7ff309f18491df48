#pragma once

/// @file
/// @brief What the parts that place, watch and slow fillers have to agree on.

#include <cstdint>

namespace plumspoke::dispatch
{

constexpr std::int64_t whole_percent = 100;
constexpr std::uint32_t moved_pace = 60; // percent; slower than this a saved task goes on elsewhere
// Slack is target / tail: 1 is a tail at its target.
constexpr double most_slack = 4; // of a task that nothing presses
// The least that own load leaves, until serving tasks without any filler beside them have been seen.
constexpr double unseen_calm_slack = 1.5;

} // namespace plumspoke::dispatch
