/// @file
/// @brief A task whose start was never sent to a crashed worker starts elsewhere at once.
///
/// Guards against starts that are queued behind the one that crashes their worker, and whose tasks wait until
/// the worker's lease has lapsed or another life answers at its address.

#include "dispatcher_fixture.hpp"
#include "plumspoke/job_server/worker_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;
using boost::asio::ip::tcp;

namespace
{

const jobs::task_name task{"job", 0, 0, 0};

/// @brief Two workers; the one that was given a task falls silent before it has answered the start.
struct crashed_worker : fixture
{
    crashed_worker()
    {
        announce("w1");
        announce("w2");
        decide();
        answer_polls();
        submit({});
        decide();
        commit();
        decide();
        REQUIRE(sent<start_order>().size() == 1);
        crashed = sent<start_order>()[0].to.worker.id;
    }

    /// @brief The crashed worker answers nothing; its starts end as given.
    void run_for(duration time, reply starts_end_as)
    {
        for (const time_point end = now + time; now < end;)
        {
            for (const order& one : std::vector<order>(orders))
            {
                const auto* begin = std::get_if<start_order>(&one);
                const bool is_crashed = begin != nullptr && begin->to.worker.id == crashed;
                answer(one, {is_crashed ? starts_end_as : reply::done, {}, {}, {}});
            }
            answer_polls({}, crashed);
            decide(milliseconds(25));
            commit();
        }
    }

    [[nodiscard]] std::string worker_of_task() const
    {
        const auto found = leader.runs().lower_bound({task, 0});
        return found != leader.runs().end() && found->first.task == task ? found->second.worker.id : "";
    }

    std::string crashed;
};

class all_done_protocol final : public protocol::worker_protocol
{
  public:
    [[nodiscard]] http::request write(const dispatch::order& /*what*/) const override
    {
        http::request out;
        out.method = "POST";
        out.path = "/";
        return out;
    }
    [[nodiscard]] worker_answer read(const dispatch::order& /*what*/,
                                     const http::response& /*got*/) const override
    {
        return {reply::done, {}, {}, {}};
    }
};

} // namespace

TEST_CASE("a task whose start was never sent starts on another worker at once")
{
    crashed_worker f;
    f.run_for(milliseconds(500), reply::unsent);
    CHECK(f.worker_of_task() != f.crashed);
    CHECK_FALSE(f.worker_of_task().empty());
    CHECK(f.state.find(task)->evidence == jobs::crash_evidence{});
}

TEST_CASE("a task whose start may have arrived waits until that can't take effect any more")
{
    crashed_worker f;
    f.run_for(milliseconds(25), reply::none);
    f.run_for(seconds(3), reply::unsent);
    CHECK(f.worker_of_task() == f.crashed);
}

TEST_CASE("orders behind one that ends the connection are reported as unsent")
{
    boost::asio::io_context context;
    const all_done_protocol protocol;
    std::vector<reply> ended;
    job_server::worker_client client(context,
                                     protocol,
                                     [&ended](const sent_order& /*sent*/, const worker_answer& got)
                                     {
                                         ended.push_back(got.how);
                                     });
    auto acceptor =
        std::make_unique<tcp::acceptor>(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor->local_endpoint().port());
    std::string request;
    tcp::socket accepted(context);
    acceptor->async_accept(accepted,
                           [&](boost::system::error_code failed)
                           {
                               REQUIRE_FALSE(failed);
                               boost::asio::async_read_until(accepted,
                                                             boost::asio::dynamic_buffer(request),
                                                             "\r\n\r\n",
                                                             [&](boost::system::error_code, std::size_t)
                                                             {
                                                                 acceptor.reset();
                                                                 accepted.close();
                                                             });
                           });
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt)
    {
        start_order start;
        start.to = {{"w"}, address};
        start.name = {{"job", 0, 0, attempt}, 1};
        client.send(start);
    }
    while (ended.size() < 3)
    {
        context.run_one();
    }
    CHECK(ended == std::vector<reply>{reply::none, reply::unsent, reply::unsent});
}
