#pragma once

/// @file
/// @brief Builds the options of an HTTP server from process settings.

#include "plumspoke/http/server.hpp"

#include <string>

namespace plumspoke::settings
{

/// @brief Returns the HTTP options in `settings` for a server at `address`.
/// @tparam Settings process_settings or job_settings
template <typename Settings>
[[nodiscard]] http::server_options make_http_options(const Settings& settings, const std::string& address)
{
    http::server_options options;
    options.address = address;
    options.threads = settings.http_threads;
    options.max_header_bytes = settings.max_header_bytes;
    options.max_body_bytes = settings.max_body_bytes;
    options.read_ms = settings.request_read_ms;
    options.keep_alive_ms = settings.keep_alive_ms;
    return options;
}

} // namespace plumspoke::settings
