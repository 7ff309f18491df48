#pragma once

/// @file
/// @brief Constants shared by the placement, monitoring and throttling of fillers.

#include "plumspoke/time/time.hpp"

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
constexpr double target_slack = 1.4; // what throttling aims at; own load may take 0.3 within a second
// Measurements are noisy: a tail slightly under the target doesn't end a period over it.
constexpr double recovered_slack = 1.15;
// A report covers the last half second: a pace is judged only by reports measured after it took effect.
constexpr auto pace_settle_time = milliseconds(700);

} // namespace plumspoke::dispatch
