/// @file
/// @brief Guards against a leader that loses its term while it takes over a large fleet.

#include "busy_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::busy_fleet;
using test::busy_load;

namespace
{

constexpr auto outage_begin = seconds(12);
constexpr auto outage = milliseconds(6500); // longer than a lease: all runs have lapsed

// Calls and decisions cost about what the processes of a fleet of 1,800 workers need for them.
busy_load make_load(std::uint64_t seed)
{
    busy_load load = busy_load::of_wide_steps(1800);
    load.processor = 1;
    load.call_cost = std::chrono::microseconds(75);
    load.connect_cost = std::chrono::microseconds(250);
    load.decision_cost = std::chrono::microseconds(30'000);
    load.start_cost = std::chrono::microseconds(20);
    load.needs_heartbeats = true;
    load.seed = seed;
    return load;
}

} // namespace

TEST_CASE("the first leader after an outage keeps its term")
{
    const auto seed = GENERATE(range(1U, 6U));
    busy_fleet fleet(make_load(seed));
    fleet.lose_leader(outage_begin, outage);
    std::size_t running_before = 0;
    fleet.observe(outage_begin,
                  [&]
                  {
                      running_before = fleet.lasting_tasks_running();
                  });
    const test::busy_outcome seen = fleet.run(outage_begin + outage + seconds(6));
    INFO("seed " << seed << ": " << seen.polls << " polls, " << seen.decisions << " decisions, busy for "
                 << seen.busy_s << " s, shortest lease of the leader " << seen.shortest_lease.count() / 1000
                 << " ms");
    CHECK(seen.lost_terms == 0);
    CHECK(seen.lasting_lapsed <= running_before); // in the outage; those that run again are renewed
}
