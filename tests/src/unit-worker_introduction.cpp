/// @file
/// @brief An order reaches the life of a worker that it is meant for, and no other one.
///
/// A worker may start again under its id and at its address. A poll that was meant for the earlier life named
/// the ends that were read of it, and a lease on its clock; to the new life both say something else. The
/// header that names the worker is the same for both, so each connection asks which life it ends at before it
/// carries an order.

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

/// @brief A worker's process: answers each request with its time of birth, and notes what it was asked.
class process
{
  public:
    explicit process(boost::asio::io_context& context)
        : acceptor_(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// @brief It ends, with its connections, and another life answers at its address.
    void start_again(std::int64_t born)
    {
        for (const std::shared_ptr<peer>& one : peers_)
        {
            one->socket.close();
        }
        peers_.clear();
        born_ms = born;
        asked.clear();
    }

    std::int64_t born_ms = 100;
    std::vector<std::string> asked; // paths

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
            [this](boost::system::error_code failed, tcp::socket accepted)
            {
                if (!failed)
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
            [this, to](boost::system::error_code failed, std::size_t size)
            {
                if (failed)
                {
                    return;
                }
                const std::size_t path = to->read.find(' ') + 1;
                asked.push_back(to->read.substr(path, to->read.find(' ', path) - path));
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

/// @brief Paths tell what an order would do; the body is a time of birth.
class telling_protocol final : public protocol::worker_protocol
{
  public:
    [[nodiscard]] http::request write(const dispatch::order& what) const override
    {
        http::request out;
        out.method = "POST";
        out.path = "/start";
        if (const auto* hold = std::get_if<dispatch::poll_order>(&what))
        {
            out.path = hold->lease_until_ms.has_value() || hold->ends_recorded > 0 ? "/renew" : "/ask";
        }
        return out;
    }
    [[nodiscard]] dispatch::worker_answer read(const dispatch::order& what,
                                               const http::response& got) const override
    {
        dispatch::worker_answer out;
        out.how = dispatch::reply::done;
        if (std::holds_alternative<dispatch::poll_order>(what))
        {
            out.born_ms = std::stoll(got.body);
        }
        return out;
    }
};

struct fixture
{
    dispatch::worker_answer call(dispatch::order what)
    {
        ended.reset();
        caller.send(std::move(what));
        while (!ended.has_value())
        {
            context.run_one();
        }
        return *ended;
    }

    [[nodiscard]] dispatch::recipient to(std::int64_t born_ms) const
    {
        return {{"w", born_ms}, worker.address()};
    }

    boost::asio::io_context context;
    process worker{context};
    telling_protocol protocol;
    std::optional<dispatch::worker_answer> ended;
    worker_client caller{context,
                         protocol,
                         [this](const dispatch::sent_order&, const dispatch::worker_answer& got)
                         {
                             ended = got;
                         }};
};

using paths = std::vector<std::string>;

} // namespace

TEST_CASE("a connection asks which life it ends at before it carries an order, once")
{
    fixture f;
    const dispatch::start_order start{f.to(100), 7, 0, {}, {}, {}, {}};
    CHECK(f.call(start).how == dispatch::reply::done);
    CHECK(f.call(start).how == dispatch::reply::done);
    CHECK(f.worker.asked == paths{"/ask", "/start", "/start"});
}

TEST_CASE("a poll that only asks needs no question before it")
{
    fixture f;
    CHECK(f.call(dispatch::poll_order{f.to(100), 7, {}, 0, 0}).born_ms == 100);
    CHECK(f.call(dispatch::poll_order{f.to(100), 7, 4000, 5, 0}).how == dispatch::reply::done);
    CHECK(f.worker.asked == paths{"/ask", "/renew"});
}

TEST_CASE("what is meant for an earlier life doesn't reach the next one")
{
    fixture f;
    const dispatch::start_order start{f.to(100), 7, 0, {}, {}, {}, {}};
    const dispatch::poll_order renewal{f.to(100), 7, 4000, 5, 0};
    CHECK(f.call(start).how == dispatch::reply::done);
    CHECK(f.call(renewal).how == dispatch::reply::done);
    f.worker.start_again(90); // its clock was put back
    CHECK(f.call(start).how == dispatch::reply::none);
    CHECK(f.call(renewal).how == dispatch::reply::none);
    const dispatch::worker_answer to_start = f.call(start);
    CHECK(to_start.how == dispatch::reply::other_life);
    CHECK(to_start.born_ms == 90);
    CHECK(f.call(renewal).how == dispatch::reply::other_life);
    CHECK(f.call(start).how == dispatch::reply::other_life);
    CHECK(f.worker.asked == paths{"/ask", "/ask", "/ask"});
    CHECK(f.call(dispatch::start_order{f.to(90), 7, 0, {}, {}, {}, {}}).how == dispatch::reply::done);
}

TEST_CASE("a worker that tells no time of birth is asked for none")
{
    fixture f;
    CHECK(f.call(dispatch::start_order{f.to(0), 7, 0, {}, {}, {}, {}}).how == dispatch::reply::done);
    CHECK(f.worker.asked == paths{"/start"});
}
