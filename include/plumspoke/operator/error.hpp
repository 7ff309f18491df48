#pragma once

/// @file
/// @brief Errors of the operator layer: ids 400 to 499.

#include "plumspoke/error/category.hpp"

namespace plumspoke::operators
{

/// @brief Reasons for rejecting an operator's request before it reaches the control state.
enum class errc : std::uint16_t
{
    bad_document = 400,
    not_leader = 401,
    no_answer = 402,
    unknown_path = 403,
    too_large = 404,
};

[[nodiscard]] const error::listed_category& category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace plumspoke::operators

template <> struct std::is_error_code_enum<plumspoke::operators::errc> : std::true_type
{
};
