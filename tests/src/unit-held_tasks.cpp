/// @file
/// @brief Once faults have ended and most of the workers' room is free, no ready task waits for long.
///
/// Guards against accepted tasks that never run again. Whatever holds a task or a run, the hold has an end.

#include "task_world.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

namespace
{

void check_seeds(std::uint64_t first, const test::task_faults& faults)
{
    constexpr std::uint64_t seeds = 20;
    std::size_t checked = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        test::task_world world(seed, faults);
        world.report_held_tasks();
        world.submit_random(50, seconds(55));
        const test::task_outcome out = world.run(seconds(75));
        CAPTURE(seed, out.broken);
        CHECK(out.broken.empty());
        CHECK(out.open == 0);
        checked += out.waits_checked;
    }
    CHECK(checked > 100 * seeds);
}

} // namespace

TEST_CASE("no ready task is held for more than 3 s once faults have ended")
{
    test::task_faults faults;
    faults.cancels = 0.1;
    SECTION("orders carried out late, crashes, cuts, leaving workers and changes of the leader")
    {
        faults.late_orders = 0.05;
        faults.lost_answers = 0.05;
        faults.crashes_per_s = 0.02;
        faults.cuts_per_s = 0.03;
        faults.drains_per_s = 0.02;
        faults.unanswered_goodbyes = 0.5;
        faults.leader_changes_per_s = 0.1;
        check_seeds(1000, faults);
    }
    SECTION("workers that restart under their id")
    {
        faults.late_orders = 0.05;
        faults.lost_answers = 0.05;
        faults.crashes_per_s = 0.04;
        faults.same_id = 0.7;
        faults.leader_changes_per_s = 0.1;
        check_seeds(2000, faults);
    }
    SECTION("a slow leader")
    {
        faults.late_orders = 0.03;
        faults.lost_answers = 0.05;
        faults.crashes_per_s = 0.02;
        faults.drains_per_s = 0.08;
        faults.unanswered_goodbyes = 0.9;
        faults.min_delay = milliseconds(0);
        faults.max_delay = milliseconds(400);
        faults.leader_changes_per_s = 0.3;
        check_seeds(3000, faults);
    }
}
