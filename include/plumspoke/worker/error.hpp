#pragma once

/// @file
/// @brief Errors of the worker layer: ids 500 to 599.

#include "plumspoke/error/category.hpp"

namespace plumspoke::worker
{

/// @brief Reasons for rejecting a worker's report.
enum class errc : std::uint16_t
{
    bad_report = 500,
    old_sequence = 501,
    not_leader = 502,
};

[[nodiscard]] const error::listed_category& category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace plumspoke::worker

template <> struct std::is_error_code_enum<plumspoke::worker::errc> : std::true_type
{
};
