#pragma once

/// @file
/// @brief Memory usage of the process.

#include <cstdint>

namespace plumspoke::metrics
{

/// @brief Resident memory of this process that no file backs, in bytes. This is what a VM's limit counts.
/// @return 0 if the kernel does not report it
[[nodiscard]] std::uint64_t read_anonymous_bytes();

} // namespace plumspoke::metrics
