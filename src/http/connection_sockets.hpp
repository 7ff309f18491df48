#pragma once

/// @file
/// @brief Operations on CivetWeb's sockets, which its interface does not expose.

#include "plumspoke/http/idle_connections.hpp"

#include <map>
#include <mutex>
#include <string_view>

namespace plumspoke::http
{

/// @brief Finds the socket on which this process listens at a port.
/// @return -1 if it was not found
/// @complexity A search of all open files.
[[nodiscard]] int find_listener(int port);

/// @brief Lets the kernel accept a connection only once its first request arrives. Until then it occupies no
///        thread, and no timeout of this process can close it.
/// @param limit after it, the connection is accepted without a request
void defer_accept(int listener, seconds limit);

/// @brief Bounds the share of time that searches take, however many connections are looked up.
class search_pace
{
  public:
    [[nodiscard]] bool allows(time_point now) const noexcept
    {
        return now >= next_at_;
    }
    void record(time_point began, time_point ended) noexcept
    {
        next_at_ = ended + min_pause_factor * (ended - began);
    }

  private:
    static constexpr int min_pause_factor = 20;
    time_point next_at_{};
};

/// @brief The sockets of queued connections, found by paced searches of all open files.
class socket_table
{
  public:
    /// @brief The time since data arrived last on a connection that was queued.
    /// @param ends of a connection that is not closed meanwhile
    /// @return that of the connection asked for last if this one isn't found: they left the same queue
    [[nodiscard]] duration time_since_arrival(const connection_ends& ends);

  private:
    std::mutex mutex_;
    search_pace pace_;
    duration last_time_{};
    std::map<connection_ends, int> sockets_; // found by the last search; some are closed since
};

/// @brief Looks up the sockets of connections on a port among the open files of this process.
/// @note The connections must not be closed meanwhile.
/// @complexity A search of all open files.
void find_sockets(int port, idle_connections::connection_list connections);

/// @brief Looks up the socket of a connection among the open files of this process.
/// @note The connection must not be closed meanwhile.
/// @return -1 if it was not found
/// @complexity A search of all open files.
[[nodiscard]] int find_socket(const connection_ends& ends);

/// @brief Whether the peer sends nothing more, because it has closed the connection or reset it.
/// @return false if that is not known
[[nodiscard]] bool is_closed_by_peer(int socket) noexcept;

/// @brief Ends the wait on an expired connection: its thread reads what has arrived, then the end of the
/// stream.
void end_wait(const served_connection& expired);

/// @brief Ends the waits on expired connections on a port: their threads read what has arrived, then the end
/// of the stream.
void end_waits(int port, idle_connections::connection_list expired);

/// @brief The time since data arrived on a socket last.
/// @return zero if it is not known
[[nodiscard]] duration time_since_arrival(int socket) noexcept;

/// @brief Reads and discards what has arrived; the kernel would reset a connection that is closed with unread
///        bytes, which discards the response.
/// @return whether anything had arrived
bool discard_unread(int socket);

/// @brief Answers a request that has arrived on a connection whose thread does not read from it again.
/// @return false if none has arrived
bool answer_unread(const served_connection& closing, std::string_view response);

/// @brief Sends a response on a connection whose socket is known, without waiting. What has arrived there is
///        discarded, since the kernel would reset a connection that is closed with unread bytes.
/// @return false if it could not be sent
bool send_response(const served_connection& to, std::string_view response);

/// @brief Ends both directions of a connection, so that its client sends nothing more.
void end_connection(const served_connection& answered);

/// @brief Answers requests that have arrived on connections that no thread serves yet, and closes these.
/// @param port a port on which this process listens
/// @param min_wait only requests that arrived this long ago
/// @return number of requests
std::size_t answer_queued(int port,
                          idle_connections::connection_list served,
                          duration min_wait,
                          std::string_view response);

/// @brief Answers requests on connections that are not accepted yet, and closes these.
/// @return number of requests
std::size_t answer_backlog(int listener, std::string_view response);

/// @brief Lets the kernel refuse new connections.
void stop_listening(int listener) noexcept;

} // namespace plumspoke::http
