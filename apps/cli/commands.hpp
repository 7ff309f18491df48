#pragma once

/// @file
/// @brief The commands of the CLI. Each takes the arguments after its name and returns the exit code.

#include <span>

namespace plumspoke::cli
{

using arguments = std::span<char* const>;

[[nodiscard]] int settings_command(arguments words);
[[nodiscard]] int counters_command(arguments words);
[[nodiscard]] int intent_command(arguments words);
[[nodiscard]] int plan_command(arguments words);
[[nodiscard]] int zone_command(arguments words);
[[nodiscard]] int job_command(arguments words);
[[nodiscard]] int worker_command(arguments words);

} // namespace plumspoke::cli
