#pragma once

/// @file
/// @brief A CivetWeb server that reads whole requests, bounded in size and time, and writes whole answers.

#include "plumspoke/http/message.hpp"
#include "plumspoke/time/time.hpp"

#include <atomic>
#include <functional>
#include <memory>

namespace plumspoke::http
{

/// @brief Bounds of a server.
struct server_options
{
    std::string address; // IP:PORT
    std::int64_t threads = 32;
    std::int64_t max_header_bytes = 16 * 1024;
    std::int64_t max_body_bytes = 1024 * 1024;
    std::int64_t read_ms = 5000;
    std::int64_t keep_alive_ms = 5000;
};

/// @brief Why a server refused a request before its handler saw it.
struct server_counts
{
    std::atomic<std::uint64_t> body_too_large{0};
    std::atomic<std::uint64_t> body_too_short{0};
    std::atomic<std::uint64_t> body_too_slow{0};
    std::atomic<std::uint64_t> bad_head{0};
};

using handler = std::function<response(const request&)>;

/// @brief Serves one address. Each open connection has a thread; where these run short, none is kept idle.
class server
{
  public:
    /// @name construction
    /// @{
    server(server_options options, handler handle);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// @return false where the address can't be bound
    [[nodiscard]] bool start();
    /// @}

    /// @name modifiers
    /// @{

    /// @brief From now on each answer ends its connection.
    void begin_drain() noexcept
    {
        draining_ = true;
    }

    /// @brief Waits until no request has been answered for `settle`.
    /// @return false where one still is at `limit`, or soon after it in a process that stood still until then
    [[nodiscard]] bool wait_until_idle(time_point limit, duration settle) const;

    /// @brief Ends the server; requests that are being answered are finished first.
    void stop();
    /// @}

    /// @name access
    /// @{
    [[nodiscard]] std::int64_t open_connections() const noexcept
    {
        return open_connections_;
    }
    [[nodiscard]] std::int64_t in_flight() const noexcept
    {
        return in_flight_;
    }

    /// @brief How many connections are served at once; further ones wait for one of them to end.
    [[nodiscard]] std::int64_t threads() const noexcept
    {
        return options_.threads;
    }

    /// @brief Connections whose first request was waited for so far.
    [[nodiscard]] std::uint64_t connections() const noexcept
    {
        return connections_;
    }
    [[nodiscard]] const server_counts& counts() const noexcept
    {
        return counts_;
    }
    /// @}

  private:
    struct callbacks;
    friend struct callbacks;
    struct context;

    [[nodiscard]] bool is_crowded() const noexcept;

    server_options options_;
    handler handle_;
    std::atomic<bool> draining_{false};
    std::atomic<std::int64_t> open_connections_{0};
    std::atomic<std::int64_t> in_flight_{0};
    std::atomic<std::uint64_t> connections_{0};
    server_counts counts_;
    std::unique_ptr<context> context_;
};

} // namespace plumspoke::http
