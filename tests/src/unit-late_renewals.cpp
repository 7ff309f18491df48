/// @file
/// @brief Leases of runs while orders, answers and decisions of a leader take tenths of a second each.

#include "busy_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

namespace
{

constexpr auto leaderless = milliseconds(1500); // for which a lease is meant to last
constexpr auto election = milliseconds(700);
constexpr auto short_term = milliseconds(1000);

test::busy_load load_of(bool late)
{
    test::busy_load load = test::busy_load::of_wide_steps(1800);
    if (late)
    {
        load.decision_time = milliseconds(50);
        load.order_delay = milliseconds(200);
        load.answer_delay = milliseconds(200);
        load.commit_delay = milliseconds(300);
    }
    return load;
}

void check_leases(const test::busy_outcome& seen, bool late)
{
    INFO((late ? "late" : "prompt") << " leader: " << seen.lasting_lapsed << " lasting and " << seen.lapsed
                                    << " runs lapsed, " << seen.decisions << " decisions");
    CHECK(seen.lasting_lapsed == 0);
}

} // namespace

TEST_CASE("leases outlive a change of a leader whose orders and answers take tenths of a second")
{
    const bool late = GENERATE(false, true);
    test::busy_fleet fleet(load_of(late));
    fleet.lose_leader(seconds(8), leaderless);
    check_leases(fleet.run(seconds(13)), late);
}

TEST_CASE("leases outlive leaders that follow one another and are late")
{
    const bool late = GENERATE(false, true);
    test::busy_fleet fleet(load_of(late));
    for (int i = 0; i < 4; ++i)
    {
        fleet.lose_leader(seconds(8) + i * (short_term + election), election);
    }
    check_leases(fleet.run(seconds(16)), late);
}
