#pragma once

/// @file
/// @brief Errors of the replica layer: ids 200 to 299.

#include "plumspoke/error/category.hpp"

namespace plumspoke::replica
{

/// @brief What can go wrong with the replicated log and its disk.
enum class errc : std::uint16_t
{
    not_leader = 200,
    disk_write_failed = 201,
    disk_read_failed = 202,
    log_damaged = 203,
    snapshot_damaged = 204,
    folder_in_use = 205,
    no_identity = 206,
    already_initialized = 207,
    queue_full = 208,
    lost_leadership = 209,
    stopping = 210,
    disk_full = 211,
};

[[nodiscard]] const error::listed_category& category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace plumspoke::replica

template <> struct std::is_error_code_enum<plumspoke::replica::errc> : std::true_type
{
};
