#pragma once

// The flows into which the fault matrix and the random runs inject faults.

#include "world.hpp"

#include <span>

namespace plumspoke::world
{

/// Result of a run.
struct run_result
{
    std::vector<std::string> violations; // empty if all checks held
    std::uint64_t steps = 0;
    std::uint64_t checks = 0;
};

/// The names of the flows, as the tests' --flow option takes them.
[[nodiscard]] std::span<const std::string_view> flow_names() noexcept;

/// Runs one flow in a new simulation with one or two faults.
[[nodiscard]] run_result
run_flow(std::string_view flow, planned_fault first, planned_fault second, std::uint64_t seed);

/// Runs all flows together under random faults, ends the faults, and checks that nothing was lost.
[[nodiscard]] run_result run_random(std::uint64_t seed, duration span, double fault_chance);

} // namespace plumspoke::world
