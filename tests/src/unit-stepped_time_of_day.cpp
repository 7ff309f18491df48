/// @file
/// @brief No task waits longer because the leader's time of day has stepped.

#include "colocation_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

// Guards against ages of jobs that are counted by the time of day alone.
TEST_CASE("a task that is owed a start gets it within 3 s after the time of day has stepped back")
{
    constexpr double near_target_ms = 45;
    colocation_fixture fleet(
        2,
        [](duration)
        {
            return near_target_ms;
        },
        0);
    fleet.submit_fillers(1);
    fleet.f.day_step_ms = -9000;
    fleet.advance(seconds(20));
    CHECK(fleet.longest_first_wait() <= seconds(3));
}
