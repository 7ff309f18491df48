/// @file
/// @brief The processor time that leading a large fleet takes.
///
/// Guards against cost that grows with the square of the fleet. With 490 workers and no fault, runs of
/// lasting tasks lapsed one after another, most short tasks were late, and terms lasted 1 to 4 s; with idle
/// processors nothing failed. Each response and each announcement of a worker triggered a decision; each
/// decision iterated over all runs, and each placement over all tasks of all live steps and,
/// for each waiting task, over all workers and their runs. The leader had no time left to renew leases, lost
/// its own, and its successor began by polling all workers again. Measured before the fix: 697 us of
/// processor time per start with 120 workers and 2397 us with 490, where 1000 starts per second on 0.4 of a
/// processor are required; at 0.4 of a processor 1576 of 3694 runs lapsed in 15 s of virtual time, and a
/// response waited up to 1.7 s.

#include "busy_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::busy_fleet;
using test::busy_load;
using test::busy_outcome;

TEST_CASE("the leader's cost per start is about the same for a large fleet as for a small one")
{
    busy_load small;
    small.workers = 120;
    busy_load large;
    large.workers = 480;
    const busy_outcome of_small = busy_fleet(small).run(seconds(8));
    const busy_outcome of_large = busy_fleet(large).run(seconds(8));
    INFO(of_small.us_per_start() << " us a start with 120 workers, " << of_large.us_per_start()
                                 << " us with 480");
    REQUIRE(of_large.starts > 3 * of_small.starts);
    // A cost per start that is linear in the fleet size gives a factor of 4; cache effects alone give
    // about 1.5.
    CHECK(of_large.us_per_start() < 2.5 * of_small.us_per_start());
}

TEST_CASE("no lease lapses on a slow processor")
{
    busy_load load;
    load.processor = 0.4;
    load.call_cost = std::chrono::microseconds(100);
    const busy_outcome seen = busy_fleet(load).run(seconds(18));
    INFO(seen.starts << " starts, " << seen.us_per_start() << " us each");
    CHECK(seen.lapsed == 0);
    CHECK(seen.longest_wait < milliseconds(1000)); // a poll's renewal must arrive within 3 s
}
