#pragma once

/// @file
/// @brief Responses that a server writes by itself, and the text of a response.

#include "plumspoke/http/message.hpp"
#include "plumspoke/time/time.hpp"

#include <string>

namespace plumspoke::http
{

/// @param keep_alive how long the connection is kept for a further request; zero: it is closed
[[nodiscard]] std::string serialize(const response& answer, milliseconds keep_alive);

[[nodiscard]] response plain_error(int status, std::string text);

/// @brief The response to a request that was not executed and may be sent again, to another server.
[[nodiscard]] response refuse(std::string text);

} // namespace plumspoke::http
