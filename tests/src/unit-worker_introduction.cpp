/// @file
/// @brief An order is delivered only to the life of a worker that it is addressed to.
///
/// A worker may restart under the same id and address. A poll for the previous life contains the number of
/// its finished runs that were processed and a lease on its clock, and both mean something else to the new
/// life. The header that identifies the worker is the same for both, so each connection asks for the time of
/// birth before it carries an order.

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

/// @brief A worker that answers each request with its time of birth and records the requested paths.
class worker_process
{
  public:
    explicit worker_process(boost::asio::io_context& context)
        : acceptor_(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// @brief Closes all connections and continues as another life at the same address.
    void restart(std::int64_t new_born_ms)
    {
        for (const std::shared_ptr<peer>& connection : peers_)
        {
            connection->socket.close();
        }
        peers_.clear();
        born_ms = new_born_ms;
        received_paths.clear();
    }

    std::int64_t born_ms = 100;
    std::vector<std::string> received_paths;

  private:
    struct peer
    {
        explicit peer(tcp::socket accepted) : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        std::string read;
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, tcp::socket accepted)
            {
                if (!error)
                {
                    peers_.push_back(std::make_shared<peer>(std::move(accepted)));
                    serve(peers_.back());
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
            [this, to](boost::system::error_code error, std::size_t size)
            {
                if (error)
                {
                    return;
                }
                const std::size_t path = to->read.find(' ') + 1;
                received_paths.push_back(to->read.substr(path, to->read.find(' ', path) - path));
                to->read.erase(0, size);
                const std::string body = std::to_string(born_ms);
                boost::asio::write(to->socket,
                                   boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                                       std::to_string(body.size()) + "\r\n\r\n" + body));
                serve(to);
            });
    }

    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<peer>> peers_;
};

/// @brief Maps each kind of order to a path; response bodies contain a time of birth.
class path_protocol final : public protocol::worker_protocol
{
  public:
    [[nodiscard]] http::request write(const dispatch::order& what) const override
    {
        http::request out;
        out.method = "POST";
        out.path = "/start";
        if (const auto* poll = std::get_if<dispatch::poll_order>(&what))
        {
            out.path = poll->lease_until_ms.has_value() || poll->ends_recorded > 0 ? "/renew" : "/ask";
        }
        return out;
    }
    [[nodiscard]] dispatch::worker_answer read(const dispatch::order& what,
                                               const http::response& answer) const override
    {
        dispatch::worker_answer out;
        out.how = dispatch::reply::done;
        if (std::holds_alternative<dispatch::poll_order>(what))
        {
            out.born_ms = std::stoll(answer.body);
        }
        return out;
    }
};

struct fixture
{
    dispatch::worker_answer call(dispatch::order what)
    {
        last_answer.reset();
        caller.send(std::move(what));
        while (!last_answer.has_value())
        {
            context.run_one();
        }
        return *last_answer;
    }

    [[nodiscard]] dispatch::recipient to(std::int64_t born_ms) const
    {
        return {{"w", born_ms}, worker.address()};
    }

    boost::asio::io_context context;
    worker_process worker{context};
    path_protocol protocol;
    std::optional<dispatch::worker_answer> last_answer;
    worker_client caller{context,
                         protocol,
                         [this](const dispatch::sent_order&, const dispatch::worker_answer& answer)
                         {
                             last_answer = answer;
                         }};
};

using paths = std::vector<std::string>;

} // namespace

TEST_CASE("a connection asks once for the life of the worker before it carries an order")
{
    fixture f;
    const dispatch::start_order start{f.to(100), 7, 0, {}, {}, {}, {}};
    CHECK(f.call(start).how == dispatch::reply::done);
    CHECK(f.call(start).how == dispatch::reply::done);
    CHECK(f.worker.received_paths == paths{"/ask", "/start", "/start"});
}

TEST_CASE("a poll without a lease or finished runs is sent without asking first")
{
    fixture f;
    CHECK(f.call(dispatch::poll_order{f.to(100), 7, {}, 0, 0}).born_ms == 100);
    CHECK(f.call(dispatch::poll_order{f.to(100), 7, 4000, 5, 0}).how == dispatch::reply::done);
    CHECK(f.worker.received_paths == paths{"/ask", "/renew"});
}

TEST_CASE("orders for a previous life aren't delivered to the next one")
{
    fixture f;
    const dispatch::start_order start{f.to(100), 7, 0, {}, {}, {}, {}};
    const dispatch::poll_order renewal{f.to(100), 7, 4000, 5, 0};
    CHECK(f.call(start).how == dispatch::reply::done);
    CHECK(f.call(renewal).how == dispatch::reply::done);
    f.worker.restart(90); // the clock was set back
    CHECK(f.call(start).how == dispatch::reply::none);
    CHECK(f.call(renewal).how == dispatch::reply::none);
    const dispatch::worker_answer start_answer = f.call(start);
    CHECK(start_answer.how == dispatch::reply::other_life);
    CHECK(start_answer.born_ms == 90);
    CHECK(f.call(renewal).how == dispatch::reply::other_life);
    CHECK(f.call(start).how == dispatch::reply::other_life);
    CHECK(f.worker.received_paths == paths{"/ask", "/ask", "/ask"});
    CHECK(f.call(dispatch::start_order{f.to(90), 7, 0, {}, {}, {}, {}}).how == dispatch::reply::done);
}

TEST_CASE("a worker without a time of birth isn't asked for it")
{
    fixture f;
    CHECK(f.call(dispatch::start_order{f.to(0), 7, 0, {}, {}, {}, {}}).how == dispatch::reply::done);
    CHECK(f.worker.received_paths == paths{"/start"});
}
