/// @file
/// @brief Orders that wait for a connection.
///
/// Symptom: a task was started again more than a second after the end of its other run had been taken note
/// of, by the same leader, on another worker. Sequence: a step allows copies; a worker doesn't answer, so a
/// task of it gets a second run elsewhere. The second worker leaves every other order unanswered: the start
/// waits on its connection behind orders that take 0.7 s each. The first run's end is recorded, the second
/// one is to be stopped; its stop goes ahead of the start and stays unanswered too; then the start goes, and
/// is carried out. Cause: a start that waited was sent though its run's stop had been ordered. Settled by: a
/// day with half of all orders unanswered, 4 of 10 plays; no order was late by itself, the run began 1.1
/// to 2.9 s after the end had been noted.

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

dispatch::order start_of(std::uint32_t index)
{
    dispatch::start_order out;
    out.name = run(index);
    return out;
}

dispatch::order stop_of(std::uint32_t index)
{
    dispatch::stop_order out;
    out.name = run(index);
    return out;
}

} // namespace

TEST_CASE("a start that waits is never sent once its run's stop is ordered")
{
    order_queue waiting;
    CHECK(waiting.push(start_of(1)).empty());
    CHECK(waiting.push(start_of(2)).empty());
    const std::vector<dispatch::order> dropped = waiting.push(stop_of(1));
    REQUIRE(dropped.size() == 1);
    CHECK(std::get<dispatch::start_order>(dropped[0]).name == run(1));
    CHECK(std::get<dispatch::stop_order>(waiting.pop()).name == run(1));
    CHECK(std::get<dispatch::start_order>(waiting.pop()).name == run(2));
    CHECK(waiting.empty());
}

TEST_CASE("stops go before all other orders, in turn among themselves")
{
    order_queue waiting;
    (void)waiting.push(start_of(1));
    (void)waiting.push(dispatch::pace_order{});
    (void)waiting.push(stop_of(7));
    (void)waiting.push(stop_of(8));
    CHECK(std::get<dispatch::stop_order>(waiting.pop()).name == run(7));
    CHECK(std::get<dispatch::stop_order>(waiting.pop()).name == run(8));
    CHECK(std::holds_alternative<dispatch::start_order>(waiting.pop()));
    CHECK(std::holds_alternative<dispatch::pace_order>(waiting.pop()));
}
