#pragma once

/// @file
/// @brief Operations on CivetWeb's sockets, which its interface does not expose.

#include "plumspoke/http/idle_connections.hpp"

#include <string_view>

namespace plumspoke::http
{

/// @brief Lets the kernel accept a connection only once its first request arrives. Until then it occupies no
///        thread, and no timeout of this process can close it.
/// @param port a port on which this process listens
/// @param limit after it, the connection is accepted without a request
void defer_accept(int port, seconds limit);

/// @brief Looks up the sockets of connections among the open files of this process.
/// @note The connections must not be closed meanwhile.
/// @complexity Linear in the number of open sockets times the number of connections.
void find_sockets(idle_connections::connection_list connections);

/// @brief Ends the wait on an expired connection: its thread reads what has arrived, then the end of the
/// stream.
void end_wait(const served_connection& expired);

/// @brief Answers a request that has arrived on a connection whose thread does not read from it again.
/// @return false if none has arrived
bool answer_unread(const served_connection& closing, std::string_view response);

/// @brief Sends a response on a connection whose socket is known, without waiting. What has arrived there is
///        discarded, since the kernel would reset a connection that is closed with unread bytes.
/// @return false if it could not be sent
bool send_response(const served_connection& to, std::string_view response);

/// @brief Answers requests that have arrived on connections that no thread serves yet.
/// @param port a port on which this process listens
/// @return number of requests
std::size_t answer_queued(int port, idle_connections::connection_list served, std::string_view response);

} // namespace plumspoke::http
