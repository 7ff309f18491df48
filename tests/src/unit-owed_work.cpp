/// @file
/// @brief A leader of 1,800 workers with a limited processor completes nearly as much work as an unlimited
/// one.

#include "busy_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::busy_fleet;
using test::busy_load;
using test::busy_outcome;

namespace
{

busy_outcome simulate(double processor)
{
    busy_load load = busy_load::of_wide_steps(1800);
    load.processor = processor;
    load.call_cost = std::chrono::microseconds(20); // per order or response; from a profile of such a leader
    return busy_fleet(load).run(seconds(18));
}

} // namespace

TEST_CASE("a leader with a limited processor completes nearly as many tasks as an unlimited one")
{
    const busy_outcome unlimited = simulate(0);
    // A quarter of the leader's 0.6 processors serves peers and callers.
    const busy_outcome limited = simulate(0.45);
    INFO(limited.done << " tasks done of " << unlimited.done << ", " << limited.polls << " polls, "
                      << limited.decisions << " decisions");
    CHECK(static_cast<double>(limited.done) > 0.95 * static_cast<double>(unlimited.done));
    CHECK(limited.lapsed == 0);
}
