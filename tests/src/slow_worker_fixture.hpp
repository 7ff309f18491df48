#pragma once

/// @file
/// @brief A worker on loopback that responds after a delay, and a leader's client whose event loop the test
///        runs.

#include "plumspoke/job_server/worker_client.hpp"
#include "plumspoke/protocol/protocol.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace plumspoke::test
{

namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

/// @brief Encodes the type of an order as the request path and reads each status 200 as `reply::done`.
class kind_protocol final : public protocol::worker_protocol
{
  public:
    [[nodiscard]] http::request write(const dispatch::order& what) const override
    {
        constexpr std::array<const char*, 4> paths{"/hold", "/start", "/stop", "/pace"};
        http::request out;
        out.method = "POST";
        out.path = paths.at(what.index());
        out.body = "{}";
        return out;
    }

    [[nodiscard]] dispatch::worker_answer read(const dispatch::order& /*what*/,
                                               const http::response& got) const override
    {
        return {got.status == 200 ? dispatch::reply::done : dispatch::reply::none, {}, {}, {}};
    }
};

/// @brief An HTTP worker on loopback that delays its responses; runs on its own thread.
class slow_worker
{
  public:
    /// @param delay time before each response is sent
    /// @param silent_connections number of connections, counted from the first, that never respond
    explicit slow_worker(milliseconds delay, int silent_connections = 0)
        : delay_(delay), silent_left_(silent_connections),
          acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
        thread_ = std::thread(
            [this]
            {
                context_.run();
            });
    }

    ~slow_worker()
    {
        context_.stop();
        thread_.join();
    }

    slow_worker(const slow_worker&) = delete;
    slow_worker& operator=(const slow_worker&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// @brief Time at which the first request with this path arrived; empty if there was none.
    [[nodiscard]] std::optional<time_point> arrival_of(const std::string& path) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = arrivals_.find(path);
        return found == arrivals_.end() ? std::nullopt : std::optional(found->second);
    }

  private:
    struct session
    {
        session(tcp::socket socket, boost::asio::io_context& context, bool is_silent)
            : stream(std::move(socket)), timer(context), silent(is_silent)
        {
        }

        beast::tcp_stream stream;
        boost::asio::steady_timer timer;
        beast::flat_buffer buffer;
        beast::http::request<beast::http::string_body> request;
        beast::http::response<beast::http::string_body> response;
        bool silent;
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code failed, tcp::socket socket)
            {
                if (!failed)
                {
                    read(std::make_shared<session>(std::move(socket), context_, silent_left_-- > 0));
                    accept();
                }
            });
    }

    void read(const std::shared_ptr<session>& connection)
    {
        connection->request = {};
        beast::http::async_read(connection->stream,
                                connection->buffer,
                                connection->request,
                                [this, connection](boost::system::error_code failed, std::size_t)
                                {
                                    if (!failed && !connection->silent)
                                    {
                                        answer(connection);
                                    }
                                });
    }

    void answer(const std::shared_ptr<session>& connection)
    {
        {
            const std::lock_guard lock(mutex_);
            arrivals_.try_emplace(std::string(connection->request.target()), boot_clock::now());
        }
        connection->timer.expires_after(delay_);
        connection->timer.async_wait(
            [this, connection](boost::system::error_code)
            {
                connection->response = {beast::http::status::ok, 11};
                connection->response.body() = "{}";
                connection->response.prepare_payload();
                beast::http::async_write(connection->stream,
                                         connection->response,
                                         [this, connection](boost::system::error_code failed, std::size_t)
                                         {
                                             if (!failed)
                                             {
                                                 read(connection);
                                             }
                                         });
            });
    }

    boost::asio::io_context context_;
    milliseconds delay_;
    int silent_left_;
    tcp::acceptor acceptor_;
    mutable std::mutex mutex_;
    std::map<std::string, time_point> arrivals_;
    std::thread thread_;
};

/// @brief A leader's worker client whose event loop is run by the test.
struct caller_fixture
{
    explicit caller_fixture(const slow_worker& target) : to{{"w1"}, target.address()}
    {
    }

    void run_for(milliseconds span)
    {
        context.restart();
        context.run_for(span);
    }

    [[nodiscard]] static jobs::run_name name(std::uint32_t index)
    {
        return {{"job", 0, 0, index}, 1};
    }

    dispatch::recipient to;
    boost::asio::io_context context;
    kind_protocol translator;
    std::vector<dispatch::reply> answers;
    job_server::worker_client caller{context,
                                     translator,
                                     [this](const dispatch::sent_order&, const dispatch::worker_answer& got)
                                     {
                                         answers.push_back(got.how);
                                     }};
};

} // namespace plumspoke::test
