#pragma once

/// @file
/// @brief HTTP client based on CivetWeb, for calls outside the request path: operators and the platform's
///        VM list.

#include "plumspoke/http/message.hpp"
#include "plumspoke/time/time.hpp"

#include <optional>

namespace plumspoke::http
{

/// @brief Sends one request on a new connection and reads the response.
/// @param address IP:PORT
/// @param limit timeout for the response head
/// @return the complete response, or std::nullopt if none arrived or it was truncated
[[nodiscard]] std::optional<response>
call(const std::string& address, const request& sent, milliseconds limit);

} // namespace plumspoke::http
