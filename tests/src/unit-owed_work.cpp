/// @file
/// @brief A leader of 1,800 workers, on the processor that it has, does as much work as one that keeps up.

#include "busy_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::busy_fleet;
using test::busy_load;
using test::busy_outcome;

namespace
{

busy_outcome play(double processor)
{
    busy_load load = busy_load::of_wide_steps(1800);
    load.processor = processor;
    load.call_cost = std::chrono::microseconds(20); // an order, or an answer; by profile of such a leader
    return busy_fleet(load).run(seconds(18));
}

} // namespace

TEST_CASE("a leader gets nearly as much done as one whose processor is free")
{
    const busy_outcome free = play(0);
    // Of its 0.6 processors a quarter goes to peers and callers.
    const busy_outcome leader = play(0.45);
    INFO(leader.done << " tasks done of " << free.done << ", " << leader.polls << " polls, "
                     << leader.decisions << " decisions");
    CHECK(static_cast<double>(leader.done) > 0.95 * static_cast<double>(free.done));
    CHECK(leader.lapsed == 0);
}
