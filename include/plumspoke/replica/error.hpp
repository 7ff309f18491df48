#pragma once

/// @file
/// @brief Error codes of the replica layer: 200 to 299.

#include "plumspoke/error/category.hpp"

namespace plumspoke::replica
{

/// @brief Errors of the replicated log and its storage.
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
