/// @file
/// @brief A call that times out is counted as silent only if its connection had carried an answer before.

#include "plumspoke/job_server/worker_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::job_server;
using boost::asio::ip::tcp;

namespace
{

/// @brief A server that answers the first requests of each connection and no further ones.
class unresponsive_server
{
  public:
    unresponsive_server(boost::asio::io_context& context, int answers)
        : acceptor_(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)), answers_(answers)
    {
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

  private:
    struct peer
    {
        explicit peer(tcp::socket accepted) : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        std::string read;
        int answered = 0;
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code failed, tcp::socket accepted)
            {
                if (!failed)
                {
                    serve(std::make_shared<peer>(std::move(accepted)));
                    accept();
                }
            });
    }

    void serve(const std::shared_ptr<peer>& to)
    {
        boost::asio::async_read_until(
            to->socket,
            boost::asio::dynamic_buffer(to->read),
            "\r\n\r\n",
            [this, to](boost::system::error_code failed, std::size_t size)
            {
                if (failed)
                {
                    return;
                }
                to->read.erase(0, size);
                if (to->answered++ < answers_)
                {
                    boost::asio::write(to->socket,
                                       boost::asio::buffer(
                                           std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
                }
                serve(to);
            });
    }

    tcp::acceptor acceptor_;
    int answers_;
};

class trivial_protocol final : public protocol::worker_protocol
{
  public:
    [[nodiscard]] http::request write(const dispatch::order& /*what*/) const override
    {
        http::request out;
        out.method = "GET";
        out.path = "/";
        return out;
    }
    [[nodiscard]] dispatch::worker_answer read(const dispatch::order& /*what*/,
                                               const http::response& /*got*/) const override
    {
        dispatch::worker_answer out;
        out.how = dispatch::reply::done;
        return out;
    }
};

/// @brief A client whose last result is recorded.
struct fixture
{
    /// @brief Sends an order and waits for its result.
    dispatch::reply call(dispatch::order what)
    {
        ended.reset();
        client.send(std::move(what));
        while (!ended.has_value())
        {
            context.run_one();
        }
        return *ended;
    }

    boost::asio::io_context context;
    trivial_protocol protocol;
    std::optional<dispatch::reply> ended;
    worker_client client{context,
                         protocol,
                         [this](const dispatch::sent_order&, const dispatch::worker_answer& got)
                         {
                             ended = got.how;
                         }};
};

} // namespace

TEST_CASE("timeouts on connections that had worked are counted by kind")
{
    fixture f;

    SECTION("after an answer")
    {
        const unresponsive_server worker(f.context, 1);
        const dispatch::poll_order poll{{{"w1"}, worker.address()}, 7, {}, 0, 0};
        const dispatch::stop_order stop{{{"w1"}, worker.address()}, 7, {}};
        CHECK(f.call(poll) == dispatch::reply::done);
        CHECK(f.client.timed_out().polls == 0);
        CHECK(f.call(poll) == dispatch::reply::none);
        CHECK(f.client.timed_out().polls == 1);
        CHECK(f.client.timed_out().orders == 0);
        CHECK(f.call(stop) == dispatch::reply::done);
        CHECK(f.call(stop) == dispatch::reply::none);
        CHECK(f.client.timed_out().orders == 1);
        CHECK(f.call(poll) == dispatch::reply::done); // a new connection
        CHECK(f.client.timed_out().polls == 1);
    }

    SECTION("but not if the connection never carried an answer")
    {
        const unresponsive_server worker(f.context, 0);
        CHECK(f.call(dispatch::poll_order{{{"w1"}, worker.address()}, 7, {}, 0, 0}) == dispatch::reply::none);
        CHECK(f.client.timed_out().polls == 0);
    }

    SECTION("but not if the connection is refused")
    {
        std::string address;
        {
            const unresponsive_server gone(f.context, 0);
            address = gone.address();
        }
        CHECK(f.call(dispatch::poll_order{{{"w1"}, address}, 7, {}, 0, 0}) == dispatch::reply::none);
        CHECK(f.client.timed_out().polls == 0);
    }
}
