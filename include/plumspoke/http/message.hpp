#pragma once

/// @file
/// @brief HTTP requests and responses as plain values.

#include "plumspoke/time/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace plumspoke::http
{

/// @brief One header field.
struct header
{
    std::string name;
    std::string value;
};

/// @brief The first value of a header, or an empty view if absent. Names are case-insensitive.
[[nodiscard]] std::string_view find_header(const std::vector<header>& headers,
                                           std::string_view name) noexcept;

/// @brief Compares two header names case-insensitively.
[[nodiscard]] bool header_names_equal(std::string_view left, std::string_view right) noexcept;

/// @brief What a server knows of the client of a request.
struct client_state
{
    bool connected = true;      // false: it has closed the connection, so nobody reads the response
    duration max_request_age{}; // upper bound on the time since the request arrived
};

struct request
{
    std::string method;
    std::string path;
    std::string query;
    std::vector<header> headers;
    std::string body;
    bool was_queued = false;                         // by a server whose threads were all in use
    duration queued_for{};                           // since its data arrived last; zero: not known
    std::function<client_state()> read_client_state; // valid while the request is handled; empty: not
                                                     // received by a server
};

struct response
{
    int status = 200;
    std::string content_type = "text/plain";
    std::vector<header> headers;
    std::string body;
    bool close = false; // close the connection after this response
};

/// @brief The reason phrase of a status code.
[[nodiscard]] std::string_view reason_phrase(int status) noexcept;

} // namespace plumspoke::http
