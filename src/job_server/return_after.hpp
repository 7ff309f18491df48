#pragma once

/// @file
/// @brief When a caller that was refused may come back: the same from an entry and from a leader.

#include <cstdint>

namespace plumspoke::job_server
{

constexpr std::uint32_t return_after_ms = 1500; // two elections

} // namespace plumspoke::job_server
