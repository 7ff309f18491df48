#pragma once

/// @file
/// @brief Constants shared by the placement, monitoring and throttling of fillers.

#include <cstdint>

namespace plumspoke::dispatch
{

constexpr std::int64_t full_percent = 100;
constexpr std::uint32_t relocation_pace =
    60; // percent; a slower filler with saved progress is moved to another worker
// Slack is target / tail latency: 1 is a tail at its target.
constexpr double max_slack = 4; // upper limit; also of a task without a measured tail
// Least slack that own load leaves, assumed until a serving task without fillers beside it has been measured.
constexpr double default_undisturbed_slack = 1.5;

} // namespace plumspoke::dispatch
