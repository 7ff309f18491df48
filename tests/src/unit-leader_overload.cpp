/// @file
/// @brief A leader with far too little processor time.
///
/// Guards against a leader without load shedding, where lease renewals, new starts and new jobs have the same
/// priority. Lasting tasks lapsed and were restarted repeatedly, while jobs were accepted that then waited
/// too long, without any error to the client. The leader fell behind with its workers' responses, yet kept
/// starting all waiting tasks, polled workers with fillers twice a second and accepted more jobs; the polls
/// that renew leases came last, and each lapsed run added another start. Measured before the fix with 490
/// workers, 0.1 of a processor, 100 us per call and 20 s of virtual time: 2636 of 3303 runs lapsed, none
/// completed, responses waited up to 1.4 s and no job was refused.

#include "busy_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::busy_fleet;
using test::busy_load;
using test::busy_outcome;

namespace
{

busy_outcome run_fleet(double processor)
{
    busy_load load;
    load.processor = processor;
    load.call_cost = std::chrono::microseconds(100);
    return busy_fleet(load).run(seconds(20));
}

} // namespace

TEST_CASE("an overloaded leader refuses jobs instead of letting leases lapse")
{
    const busy_outcome seen = run_fleet(0.1);
    INFO(seen.starts << " starts, " << seen.done << " done, " << seen.refused
                     << " jobs refused, longest wait " << seen.longest_wait.count() / 1000 << " ms");
    CHECK(seen.lapsed == 0);
    CHECK(seen.refused > 0);
}

TEST_CASE("an overloaded leader continues with the jobs that it has accepted")
{
    // Renewals alone need 490 polls per second of 200 us per round trip: two thirds of this processor share.
    const busy_outcome seen = run_fleet(0.15);
    INFO(seen.starts << " starts, " << seen.done << " done, " << seen.refused << " jobs refused");
    CHECK(seen.lapsed == 0);
    CHECK(seen.done > 500);
    CHECK(seen.refused > 0);
}

TEST_CASE("a leader that keeps up refuses nothing")
{
    const busy_outcome seen = run_fleet(0.8);
    INFO(seen.starts << " starts, longest wait " << seen.longest_wait.count() / 1000 << " ms");
    CHECK(seen.lapsed == 0);
    CHECK(seen.refused == 0);
}
