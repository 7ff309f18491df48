#pragma once

/// @file
/// @brief Carries orders to workers over HTTP: one thread, kept connections, a limit for each call.
///
/// Boost.Beast in place of CivetWeb's client, which holds a thread for each call that waits: a leader
/// polls every worker that runs something.

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

/// @brief Calls that ran into their limit on a connection that had carried an answer before.
struct silent_calls
{
    std::atomic<std::uint64_t> polls{0};
    std::atomic<std::uint64_t> orders{0};
};

/// @brief Sends each worker's orders in turn, its polls on a connection of their own.
///
/// An address, and an id, may be another life's by the time a connection is made. So each connection to a
/// life that tells its time of birth asks for it first: no order reaches a life that it isn't meant for.
/// @note All calls and callbacks are on the io_context's one thread.
class worker_client
{
  public:
    /// @param max_connections held at once; 0: any number. Above it what was idle longest is closed, and
    /// where
    ///        none is idle a call counts as unanswered at once
    worker_client(boost::asio::io_context& context,
                  const protocol::worker_protocol& protocol,
                  answer_handler handle,
                  std::size_t max_connections = 0);
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;
    ~worker_client();

    void send(dispatch::order what);

    /// @brief Drops all that waits and all connections; nothing of it is answered.
    void reset();

    /// @brief Closes connections to addresses that were not used for a while.
    void expire(time_point now);

    /// @brief Connections to workers that are held now.
    /// @note Read by all threads.
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return open_connections_;
    }

    /// @brief Calls that found no connection left within the limit.
    /// @note Read by all threads.
    [[nodiscard]] std::uint64_t without_connection() const noexcept
    {
        return without_connection_;
    }

    /// @note Read by all threads.
    [[nodiscard]] const silent_calls& silent() const noexcept
    {
        return silent_;
    }

  private:
    class connection;
    using connections_by_life =
        std::unordered_map<fleet::worker_life, std::shared_ptr<connection>, fleet::worker_life_hash>;
    [[nodiscard]] std::shared_ptr<connection> find_or_open(connections_by_life& among,
                                                           const dispatch::recipient& to);
    [[nodiscard]] bool ensure_capacity();
    void fail_unsent(dispatch::order what);
    void expire_idle(time_point before);
    void count_connections() noexcept;

    boost::asio::io_context& context_;
    const protocol::worker_protocol& protocol_;
    answer_handler handle_;
    std::size_t max_connections_;
    silent_calls silent_;
    std::atomic<std::uint64_t> without_connection_{0};
    std::atomic<std::size_t> open_connections_{0};
    std::uint64_t resets_ = 0;
    connections_by_life poll_connections_;
    connections_by_life order_connections_;
};

} // namespace plumspoke::job_server
