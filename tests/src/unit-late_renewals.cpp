/// @file
/// @brief Run leases while a leader's orders, responses and decisions each take tenths of a second.

#include "busy_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

namespace
{

constexpr auto leaderless = milliseconds(1500); // a lease is designed to outlast this gap
constexpr auto election = milliseconds(700);
constexpr auto short_term = milliseconds(1000);

test::busy_load make_load(bool delayed)
{
    test::busy_load load = test::busy_load::of_wide_steps(1800);
    if (delayed)
    {
        load.decision_time = milliseconds(50);
        load.order_delay = milliseconds(200);
        load.answer_delay = milliseconds(200);
        load.commit_delay = milliseconds(300);
    }
    return load;
}

void check_leases(const test::busy_outcome& seen, bool delayed)
{
    INFO((delayed ? "delayed" : "prompt")
         << " leader: " << seen.lasting_lapsed << " lasting and " << seen.lapsed << " runs lapsed, "
         << seen.decisions << " decisions");
    CHECK(seen.lasting_lapsed == 0);
}

} // namespace

TEST_CASE("leases survive a change of leader when orders and responses take tenths of a second")
{
    const bool delayed = GENERATE(false, true);
    test::busy_fleet fleet(make_load(delayed));
    fleet.lose_leader(seconds(8), leaderless);
    check_leases(fleet.run(seconds(13)), delayed);
}

TEST_CASE("leases survive a series of delayed leaders with short terms")
{
    const bool delayed = GENERATE(false, true);
    test::busy_fleet fleet(make_load(delayed));
    for (int i = 0; i < 4; ++i)
    {
        fleet.lose_leader(seconds(8) + i * (short_term + election), election);
    }
    check_leases(fleet.run(seconds(16)), delayed);
}
