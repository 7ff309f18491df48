/// @file
/// @brief Delivery of stops and starts to a worker by a leader whose event loop is delayed.

#include "slow_worker_fixture.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using test::caller_fixture;
using test::slow_worker;

namespace
{

constexpr auto stop_limit =
    milliseconds(4900); // from the response to a cancel until no run of the job is left

std::int64_t to_ms(duration of)
{
    return std::chrono::duration_cast<milliseconds>(of).count();
}

/// @brief A client of a worker that reports which process (life) it is.
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

    /// @brief Blocks the event loop's thread, then handles all pending events.
    /// @param delay for how long it is blocked
    void poll_after_delay(milliseconds delay)
    {
        std::this_thread::sleep_for(delay);
        context.restart();
        context.poll();
    }
};

} // namespace

TEST_CASE("a start that waits for its worker's life is not sent once a stop of its run is ordered")
{
    const auto delay = milliseconds(300);
    const slow_worker target(milliseconds(5));
    introduced_caller f(target);
    f.caller.send(f.start(0));
    f.poll_after_delay(delay); // connected, and the life is requested
    f.caller.send(stop_order{f.to, 1, caller_fixture::name(0)});
    const time_point ordered_at = boot_clock::now();
    for (int i = 0; i < 4; ++i)
    {
        f.poll_after_delay(delay);
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

TEST_CASE("a stop reaches its worker in time with delayed leaders whose terms last half a second")
{
    const auto delay = milliseconds(300);
    const auto term = milliseconds(500);
    const auto without_leader = milliseconds(600);
    const slow_worker target(milliseconds(5));
    introduced_caller f(target);
    const time_point cancelled_at = boot_clock::now();
    std::uint64_t terms = 0;
    while (!target.arrival_of("/stop").has_value() && boot_clock::now() < cancelled_at + stop_limit)
    {
        f.caller.send(stop_order{f.to, ++terms, caller_fixture::name(0)});
        f.poll_after_delay(delay);
        std::this_thread::sleep_for(term - delay);
        f.caller.reset();
        std::this_thread::sleep_for(without_leader);
    }
    INFO(terms << " terms");
    const std::optional<time_point> arrived = target.arrival_of("/stop");
    REQUIRE(arrived.has_value());
    CHECK(*arrived < cancelled_at + stop_limit);
}
