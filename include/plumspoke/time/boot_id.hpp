#pragma once

/// @file
/// @brief Identifies the boot from which boot_clock counts.

#include <string>

namespace plumspoke
{

/// @brief Reads the identifier that the kernel draws at each boot.
/// @return an empty string if it can't be read
/// @note Times of boot_clock that a process has stored are comparable only if the identifiers are equal.
[[nodiscard]] std::string read_boot_id();

} // namespace plumspoke
