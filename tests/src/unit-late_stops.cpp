/// @file
/// @brief What a late leader's stops and starts do between their decision and their worker.

#include "slow_worker_fixture.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using test::caller_fixture;
using test::slow_worker;

namespace
{

constexpr auto stop_limit = milliseconds(4900); // from the answer to a cancel until nothing of the job runs

std::int64_t to_ms(duration of)
{
    return std::chrono::duration_cast<milliseconds>(of).count();
}

/// @brief A caller of a worker that says which life it is.
struct introduced_caller : caller_fixture
{
    explicit introduced_caller(const slow_worker& target) : caller_fixture(target)
    {
        to.worker.born_ms = 100;
    }

    [[nodiscard]] start_order start(std::uint32_t index) const
    {
        start_order out;
        out.to = to;
        out.fencing_token = 1;
        out.name = name(index);
        return out;
    }

    /// @brief The loop's thread does something else, and then handles what there is.
    void look_late(milliseconds late)
    {
        std::this_thread::sleep_for(late);
        context.restart();
        context.poll();
    }
};

} // namespace

TEST_CASE("a start whose worker is still being asked for its life is not sent once its run's stop is ordered")
{
    const auto late = milliseconds(300);
    const slow_worker target(milliseconds(5));
    introduced_caller f(target);
    f.caller.send(f.start(0));
    f.look_late(late); // connected and asked
    f.caller.send(stop_order{f.to, 1, caller_fixture::name(0)});
    const time_point ordered_at = std::chrono::steady_clock::now();
    for (int i = 0; i < 4; ++i)
    {
        f.look_late(late);
    }
    const std::optional<time_point> started = target.arrival_of("/start");
    REQUIRE(target.arrival_of("/hold").has_value());
    REQUIRE(target.arrival_of("/stop").has_value());
    INFO("the start arrived " << to_ms(std::chrono::duration_cast<duration>(started.value_or(ordered_at) -
                                                                            ordered_at))
                              << " ms after the stop was ordered");
    CHECK_FALSE(started.has_value());
    CHECK(f.answers.size() == 2);
}

TEST_CASE("a stop reaches its worker in time though leaders are late and each leads for half a second")
{
    const auto late = milliseconds(300);
    const auto term = milliseconds(500);
    const auto without_leader = milliseconds(600);
    const slow_worker target(milliseconds(5));
    introduced_caller f(target);
    const time_point cancelled_at = std::chrono::steady_clock::now();
    std::uint64_t terms = 0;
    while (!target.arrival_of("/stop").has_value() &&
           std::chrono::steady_clock::now() < cancelled_at + stop_limit)
    {
        f.caller.send(stop_order{f.to, ++terms, caller_fixture::name(0)});
        f.look_late(late);
        std::this_thread::sleep_for(term - late);
        f.caller.reset();
        std::this_thread::sleep_for(without_leader);
    }
    INFO(terms << " terms");
    const std::optional<time_point> arrived = target.arrival_of("/stop");
    REQUIRE(arrived.has_value());
    CHECK(*arrived < cancelled_at + stop_limit);
}
