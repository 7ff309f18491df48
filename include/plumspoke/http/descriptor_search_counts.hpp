#pragma once

/// @file
/// @brief How often the HTTP servers of this process look for sockets among all open files.

#include <cstdint>

namespace plumspoke::http
{

/// @brief Searches since the start of the process.
struct descriptor_search_counts
{
    std::uint64_t searches = 0;
    std::uint64_t descriptors = 0; // looked at by all searches
};

[[nodiscard]] descriptor_search_counts read_descriptor_search_counts() noexcept;

} // namespace plumspoke::http
