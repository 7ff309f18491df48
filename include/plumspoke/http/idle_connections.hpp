#pragma once

/// @file
/// @brief The connections of a server: when it closes an idle one, and which are owed a response. Performs no
///        I/O and reads no clock.

#include "plumspoke/time/time.hpp"

#include <atomic>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace plumspoke::http
{

/// @brief The addresses of a connection.
struct connection_ends
{
    std::string peer_ip;
    int peer_port = 0;
    int local_port = 0;

    bool operator==(const connection_ends&) const = default;
    bool operator<(const connection_ends& other) const
    {
        return std::tie(peer_ip, peer_port, local_port) <
               std::tie(other.peer_ip, other.peer_port, other.local_port);
    }
};

/// @brief A connection of a server. The thread that serves it reports when it is idle, without a lock.
class served_connection : public boost::intrusive::list_base_hook<>
{
  public:
    /// @brief Sets whether the connection was queued until a thread was free.
    void set_queued(bool queued) noexcept
    {
        queued_ = queued;
    }
    /// @brief Whether the current request was queued, which only the first one of a connection can be.
    [[nodiscard]] bool request_was_queued() const noexcept
    {
        return queued_ && idle_periods_ == 0;
    }

    /// @brief Reports that a request was read.
    /// @param ends stored by the first call
    void begin_request(const connection_ends& ends = {}, time_point read_at = {})
    {
        request_read_at_ = read_at;
        if (!ends_known_)
        {
            ends_ = ends;
            ends_known_ = true;
        }
        idle_period_ = 0;
        owes_response_ = true;
    }

    /// @brief When the current request was read. Used by the connection's thread.
    [[nodiscard]] time_point request_read_at() const noexcept
    {
        return request_read_at_;
    }

    /// @brief Claims the response of the current request. Only one caller gets it, and sends the response.
    [[nodiscard]] bool claim_response() noexcept
    {
        return owes_response_.exchange(false);
    }

    /// @brief Reports that a response was sent, after which the connection waits for a further request.
    void begin_idle_period() noexcept
    {
        idle_period_ = ++idle_periods_;
    }

    /// @brief Reports that a response has announced the end of the connection. Only the first call counts.
    void begin_close(time_point now) noexcept
    {
        if (!closing_)
        {
            closing_since_ = now;
            closing_ = true;
        }
    }
    [[nodiscard]] bool closing() const noexcept
    {
        return closing_;
    }

    /// @brief Whether the connection was idle for too long. It is closed, with its next response at the
    /// latest.
    [[nodiscard]] bool expired() const noexcept
    {
        return expired_;
    }
    /// @brief Whether a request has set the ends. They don't change after that.
    [[nodiscard]] bool ends_known() const noexcept
    {
        return ends_known_;
    }
    /// @note Only read if they are known.
    [[nodiscard]] const connection_ends& ends() const noexcept
    {
        return ends_;
    }
    /// @brief Whether its thread closes the socket, whose number may then be used anew at any moment.
    [[nodiscard]] bool ended() const noexcept
    {
        return ended_;
    }
    /// @brief The socket of the connection, or -1 if it was not looked up or not found.
    [[nodiscard]] int socket() const noexcept
    {
        return socket_;
    }
    void set_socket(int socket) noexcept
    {
        socket_ = socket;
    }

  private:
    friend class idle_connections;

    bool queued_ = false;
    connection_ends ends_;
    time_point request_read_at_{};
    std::uint32_t idle_periods_ = 0;
    std::atomic<std::uint32_t> idle_period_{0}; // number of the current idle period; 0: not idle
    std::atomic<bool> ends_known_{false};
    std::atomic<bool> owes_response_{false};
    time_point closing_since_{}; // written before closing_
    std::atomic<bool> closing_{false};
    std::atomic<bool> expired_{false};
    std::atomic<int> socket_{-1};
    // Used by idle_connections only, under its lock.
    bool ended_ = false;
    std::uint32_t seen_idle_period_ = 0;
    duration idle_time_{}; // of the idle period seen last
};

/// @brief The connections of a server until their sockets are closed, and for how long each is idle.
///
/// A pause of the process does not count, because requests that arrived meanwhile are not read yet: a span
/// between two checks counts as `max_step` at most. While the server drains, no connection expires: clients
/// may send requests on idle connections until it stops.
class idle_connections
{
  public:
    using connection_list = std::span<served_connection* const>;

    /// @brief Timeouts of a server.
    struct options
    {
        duration timeout{};
        duration max_step{};
        duration
            close_interval{};   // between two calls that close idle connections, which look up their sockets
        duration linger_time{}; // after the response that announces the end of a connection
    };

    explicit idle_connections(options values) noexcept : options_(values)
    {
    }
    idle_connections(const idle_connections&) = delete;
    idle_connections& operator=(const idle_connections&) = delete;
    ~idle_connections();

    served_connection& add();
    /// @brief Reports that the socket of a connection is about to be closed. Waits for the functions below.
    void end(served_connection& ended);
    std::unique_ptr<served_connection> remove(served_connection& ended);

    void begin_drain() noexcept
    {
        draining_ = true;
    }

    /// @brief Finds the connections that have expired, or whose clients have not closed them in time.
    /// @param now time of the boot clock
    /// @param close called if there are any whose socket is not known yet; it sets the socket. Until it
    ///        returns, `end` and `remove` wait.
    /// @return whether the end of any connection has been announced that its client has not closed yet
    bool check(time_point now, const std::function<void(connection_list)>& close);

    /// @brief Lets all idle connections expire.
    /// @param close as for `check`
    void expire_all(const std::function<void(connection_list)>& close);

    /// @brief Calls a function with all connections. Until it returns, `end` and `remove` wait.
    void visit(const std::function<void(connection_list)>& visitor);

  private:
    void add_expired(std::vector<served_connection*>& to, duration step);
    [[nodiscard]] std::vector<served_connection*> find_closing();

    options options_;
    std::atomic<bool> draining_{false};
    std::mutex mutex_;
    boost::intrusive::list<served_connection> connections_;
    time_point last_check_at_{};
    time_point next_close_at_{};
};

} // namespace plumspoke::http
