#pragma once

/// @file
/// @brief HTTP server based on CivetWeb that reads complete requests, limited in size and time, and writes
///        complete responses.

#include "plumspoke/http/idle_connections.hpp"
#include "plumspoke/http/message.hpp"
#include "plumspoke/time/pause_detector.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace plumspoke::http
{

/// @brief Address and limits of a server.
struct server_options
{
    std::string address; // IP:PORT
    std::int64_t threads = 32;
    std::int64_t max_header_bytes = 16 * 1024;
    std::int64_t max_body_bytes = 1024 * 1024;
    std::int64_t read_ms = 5000;
    std::int64_t keep_alive_ms = 5000;
    std::int64_t max_queued_ms = 0; // a request that waits longer for a thread is refused; 0: unlimited, and
                                    // waits are not measured
    std::function<void()> before_idle_close; // on the connection's thread; tests delay the close with it
};

/// @brief Requests rejected before they reached the handler, by reason.
struct rejected_request_counts
{
    std::atomic<std::uint64_t> body_too_large{0};
    std::atomic<std::uint64_t> body_too_short{0};
    std::atomic<std::uint64_t> body_too_slow{0};
    std::atomic<std::uint64_t> bad_head{0};
    std::atomic<std::uint64_t> late_requests{0}; // arrived while their idle connection was being closed
    std::atomic<std::uint64_t> after_close{0};   // after the response that closed their connection
    std::atomic<std::uint64_t> queued_too_long{0};
};

class socket_table;

/// @brief Requests that a drain had to answer at its limit.
struct drain_result
{
    std::size_t in_flight = 0; // may have been executed: 504
    std::size_t queued = 0;    // not executed: 503
};

using handler = std::function<response(const request&)>;

/// @brief Serves one address with one thread per open connection. If threads run short, each connection is
///        closed after its response.
class server
{
  public:
    /// @name construction
    /// @{
    server(server_options options, handler handle);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// @return false if the address can't be bound
    [[nodiscard]] bool start();
    /// @}

    /// @name modifiers
    /// @{

    /// @brief Closes each connection after its next response. Idle connections stay open until the drain is
    ///        finished.
    void begin_drain() noexcept
    {
        draining_ = true;
        idle_connections_.begin_drain();
    }

    /// @brief Refuses requests at once that wait for a thread.
    void refuse_queued() noexcept
    {
        refusing_queued_ = true;
    }

    /// @brief Waits until no request has been in flight for `settle`.
    /// @return false if a request is still in flight at `limit`; a process that was suspended
    ///         until then polls for a short time after `limit` first
    [[nodiscard]] bool wait_until_idle(time_point limit, duration settle) const;

    /// @brief Ends a drain: closes idle connections and waits until no connection has been open for `settle`.
    ///        What has arrived and isn't answered by `limit` is answered then. A process that was suspended
    ///        until then polls for a short time first.
    drain_result finish_drain(time_point limit, duration settle);

    /// @brief Stops the server after the requests in flight are answered.
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

    /// @brief Maximum number of concurrently served connections; further ones wait until one is closed.
    [[nodiscard]] std::int64_t threads() const noexcept
    {
        return options_.threads;
    }

    /// @brief Connections accepted by a thread since the start.
    [[nodiscard]] std::uint64_t connections() const noexcept
    {
        return connections_;
    }
    [[nodiscard]] const rejected_request_counts& counts() const noexcept
    {
        return counts_;
    }
    /// @}

  private:
    struct callbacks;
    friend struct callbacks;
    struct context;

    [[nodiscard]] bool is_near_thread_limit() const noexcept;
    [[nodiscard]] client_state read_client_state(served_connection& of) const;
    void run_idle_checks();
    void refuse_queued_too_long();
    [[nodiscard]] response refuse_after_close();
    void answer_late_request(const served_connection& closing);
    drain_result answer_remaining();
    void wait_for_writes() const;

    server_options options_;
    handler handle_;
    std::atomic<bool> started_{false};
    std::atomic<bool> draining_{false};
    int port_ = 0;
    int listener_ = -1;
    std::atomic<std::int64_t> open_connections_{0};
    std::atomic<std::int64_t> in_flight_{0};
    std::atomic<std::int64_t> writes_{0}; // responses that are being written
    std::atomic<bool> refusing_queued_{false};
    time_point last_queue_check_at_{}; // used by one thread
    std::atomic<std::uint64_t> connections_{0};
    rejected_request_counts counts_;
    pause_detector pauses_;
    idle_connections idle_connections_;
    std::unique_ptr<socket_table> sockets_;
    std::mutex idle_check_mutex_;
    std::condition_variable idle_check_wake_;
    bool stopping_ = false;
    std::thread idle_check_thread_;
    std::unique_ptr<context> context_;
};

} // namespace plumspoke::http
