/// @file
/// @brief Guards against a backlog of batch work that an outage leaves and that never drains.

#include "busy_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::busy_fleet;
using test::busy_load;

TEST_CASE("after an outage of the leader the backlog drains while workers and the leader have capacity")
{
    busy_load load = busy_load::of_wide_steps(1800);
    load.filler_interference = 0; // so that fillers wait for the leader only
    load.processor = 0.5;
    load.call_cost = std::chrono::microseconds(20);
    load.decision_cost = std::chrono::microseconds(5000);
    load.start_cost = std::chrono::microseconds(20);
    busy_fleet fleet(load);
    fleet.lose_leader(seconds(5), seconds(4));
    std::size_t before_outage = 0;
    std::size_t after_recovery = 0;
    fleet.observe(milliseconds(4900),
                  [&]
                  {
                      before_outage = fleet.filler_tasks_waiting();
                  });
    fleet.observe(seconds(9 + 15), // the service has to recover within 15 s
                  [&]
                  {
                      after_recovery = fleet.filler_tasks_waiting();
                  });
    const test::busy_outcome seen = fleet.run(seconds(25));
    INFO(before_outage << " tasks wait before the outage, " << after_recovery << " after recovery; busy for "
                       << seen.busy_s << " s of " << 0.5 * 25);
    CHECK(after_recovery <= before_outage + 1000); // less than half a second of arrivals
}
