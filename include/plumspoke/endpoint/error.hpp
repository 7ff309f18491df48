#pragma once

/// @file
/// @brief Error codes of the endpoint layer: 700 to 799.

#include "plumspoke/error/category.hpp"

namespace plumspoke::endpoint
{

/// @brief Errors of an exchange with an endpoint.
enum class errc : std::uint16_t
{
    connect_refused = 700,
    connect_timeout = 701,
    write_failed = 702,
    answer_timeout = 703,
    closed_before_answer = 704,
    truncated_answer = 705,
    garbled_answer = 706,
    answer_too_large = 707,
    bad_address = 708,
};

[[nodiscard]] const error::listed_category& category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace plumspoke::endpoint

template <> struct std::is_error_code_enum<plumspoke::endpoint::errc> : std::true_type
{
};
