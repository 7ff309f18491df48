/// @file
/// @brief The queue of orders that wait for a connection.
///
/// Guards against a task that starts again 1.1 to 2.9 s after the end of its other run was recorded. A step
/// allows copies, and a task gets a second run on a worker that leaves every other order unanswered, so the
/// start waits behind orders that take 0.7 s each. Once the first run has ended, the second one is to be
/// stopped; its stop overtakes the queued start and stays unanswered, and the start was sent after it. With
/// half of all orders unanswered this happened in 4 of 10 simulated days.

#include "plumspoke/job_server/order_queue.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using job_server::order_queue;

namespace
{

jobs::run_name run(std::uint32_t index)
{
    return {{"job", 0, 0, index}, 1};
}

dispatch::order make_start(std::uint32_t index)
{
    dispatch::start_order out;
    out.name = run(index);
    return out;
}

dispatch::order make_stop(std::uint32_t index)
{
    dispatch::stop_order out;
    out.name = run(index);
    return out;
}

} // namespace

TEST_CASE("a queued start is dropped when its run is to be stopped")
{
    order_queue waiting;
    CHECK(waiting.push(make_start(1)).empty());
    CHECK(waiting.push(make_start(2)).empty());
    const std::vector<dispatch::order> dropped = waiting.push(make_stop(1));
    REQUIRE(dropped.size() == 1);
    CHECK(std::get<dispatch::start_order>(dropped[0]).name == run(1));
    CHECK(std::get<dispatch::stop_order>(waiting.pop()).name == run(1));
    CHECK(std::get<dispatch::start_order>(waiting.pop()).name == run(2));
    CHECK(waiting.empty());
}

TEST_CASE("stops precede all other orders, first in, first out")
{
    order_queue waiting;
    (void)waiting.push(make_start(1));
    (void)waiting.push(dispatch::pace_order{});
    (void)waiting.push(make_stop(7));
    (void)waiting.push(make_stop(8));
    CHECK(std::get<dispatch::stop_order>(waiting.pop()).name == run(7));
    CHECK(std::get<dispatch::stop_order>(waiting.pop()).name == run(8));
    CHECK(std::holds_alternative<dispatch::start_order>(waiting.pop()));
    CHECK(std::holds_alternative<dispatch::pace_order>(waiting.pop()));
}
