#pragma once

/// @file
/// @brief Sends orders to workers over HTTP on one thread, with persistent connections and a timeout per
/// call.
///
/// Uses Boost.Beast because CivetWeb's client blocks a thread per pending call, and a leader has a pending
/// poll at every worker that runs a task.

#include "plumspoke/dispatch/orders.hpp"
#include "plumspoke/protocol/protocol.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace plumspoke::job_server
{

using answer_handler = std::function<void(const dispatch::sent_order&, const dispatch::worker_answer&)>;

/// @brief Counts calls that timed out on a connection that had carried an answer before.
struct timed_out_calls
{
    std::atomic<std::uint64_t> polls{0};
    std::atomic<std::uint64_t> orders{0};
};

/// @brief Sends each worker's orders one after the other, and its polls on a separate connection.
///
/// By the time a connection is established, an address or an id may belong to another incarnation of the
/// worker. If the recipient's time of birth is known, each connection therefore asks for it first, so that no
/// order reaches the wrong incarnation.
/// @note All calls and callbacks run on the io_context's only thread.
class worker_client
{
  public:
    /// @param max_connections open at once; 0: unlimited. At the limit, idle connections are closed; if none
    ///        is idle, a call counts as unanswered at once
    worker_client(boost::asio::io_context& context,
                  const protocol::worker_protocol& protocol,
                  answer_handler handle,
                  std::size_t max_connections = 0);
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;
    ~worker_client();

    void send(dispatch::order order);

    /// @brief Drops all queued orders and all connections without calling the handler.
    void reset();

    /// @brief Closes connections that have been idle for a while.
    void expire(time_point now);

    /// @brief Open connections to workers.
    /// @note Thread-safe.
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return open_connections_;
    }

    /// @brief Calls that failed because all connections allowed were in use.
    /// @note Thread-safe.
    [[nodiscard]] std::uint64_t without_connection() const noexcept
    {
        return without_connection_;
    }

    /// @note Thread-safe.
    [[nodiscard]] const timed_out_calls& timed_out() const noexcept
    {
        return timed_out_calls_;
    }

  private:
    class connection;
    using connections_by_incarnation =
        std::unordered_map<fleet::worker_life, std::shared_ptr<connection>, fleet::worker_life_hash>;
    [[nodiscard]] std::shared_ptr<connection> find_or_open(connections_by_incarnation& pool,
                                                           const dispatch::recipient& to);
    [[nodiscard]] bool ensure_capacity();
    void fail_unsent(dispatch::order order);
    void expire_idle(time_point before);
    void count_connections() noexcept;

    boost::asio::io_context& context_;
    const protocol::worker_protocol& protocol_;
    answer_handler handle_;
    std::size_t max_connections_;
    timed_out_calls timed_out_calls_;
    std::atomic<std::uint64_t> without_connection_{0};
    std::atomic<std::size_t> open_connections_{0};
    std::uint64_t resets_ = 0;
    connections_by_incarnation poll_connections_;
    connections_by_incarnation order_connections_;
};

} // namespace plumspoke::job_server
