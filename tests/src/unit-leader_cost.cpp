/// @file
/// @brief What it costs to lead a large fleet.
///
/// Symptom: on a fleet of 490 workers lasting tasks lapsed one run after the other, most short work was late,
/// and terms lasted 1 to 4 s, on a day without any fault; the same day with free processors broke nothing.
/// Sequence: each answer of a worker and each announcement led to a decision; each decision walked over all
/// runs, and each placement over all tasks of all live steps and, for each task that waited, over all workers
/// and the runs beside it. The leader had no time left to renew leases, lost its own, and its successor began
/// by asking all workers again.
/// Cause: cost for each event that grows with the fleet, so that the whole grew with its square.
/// Settled by: processor time of the decisions for each start, 697 us with 120 workers and 2397 us with 490
/// (1000 starts a second are asked for, on 0.4 of a processor); at 0.4 of a processor 1576 of 3694 runs
/// lapsed in 15 s of virtual time and an answer waited up to 1.7 s.

#include "busy_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::busy_fleet;
using test::busy_load;
using test::busy_outcome;

TEST_CASE("a start costs a large fleet's leader about as much as a small one's")
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
    // Linear cost for each start would be 4 times as much; caches alone account for some 1.5.
    CHECK(of_large.us_per_start() < 2.5 * of_small.us_per_start());
}

TEST_CASE("on a small processor no lease lapses, whatever comes late")
{
    busy_load load;
    load.processor = 0.4;
    load.call_cost = std::chrono::microseconds(100);
    const busy_outcome seen = busy_fleet(load).run(seconds(18));
    INFO(seen.starts << " starts, " << seen.us_per_start() << " us each");
    CHECK(seen.lapsed == 0);
    CHECK(seen.longest_wait < milliseconds(1000)); // a poll's renewal has to be there within 3 s
}
