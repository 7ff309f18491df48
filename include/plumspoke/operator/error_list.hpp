#pragma once

/// @file
/// @brief List of the numbered errors of all layers.

#include <string>

namespace plumspoke::operators
{

/// @brief Returns the table in docs/ERRORS.md as Markdown.
[[nodiscard]] std::string describe_errors();

} // namespace plumspoke::operators
