#pragma once

/// @file
/// @brief The commands; each takes the words behind its name and gives the exit code.

#include <span>

namespace plumspoke::cli
{

using arguments = std::span<char* const>;

[[nodiscard]] int settings_command(arguments words);
[[nodiscard]] int counters_command(arguments words);
[[nodiscard]] int intent_command(arguments words);
[[nodiscard]] int plan_command(arguments words);
[[nodiscard]] int job_command(arguments words);
[[nodiscard]] int worker_command(arguments words);

} // namespace plumspoke::cli
