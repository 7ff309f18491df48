/// @file
/// @brief All work runs once and ends although workers crash and restart under the same id.
///
/// A restarted worker begins again with its numbering of finished runs, its announcement sequence and its
/// clock. A leader that compares these with the values from before the restart misses finished runs and
/// starts completed tasks again (see unit-worker_lives). Here workers restart within the gap between two
/// polls and later, possibly with an earlier birth time, another kind and another address, while start orders
/// are delayed by seconds.

#include "task_world.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::task_faults;
using test::task_outcome;
using test::task_world;

namespace
{

task_faults restarting_workers()
{
    task_faults faults;
    faults.same_id = 1;
    faults.flapping = 0.5;
    faults.failures = 0;
    return faults;
}

void check_seed(std::uint64_t seed, const task_faults& faults)
{
    task_world world(seed, faults);
    world.submit_random(60, seconds(18));
    const task_outcome outcome = world.run(seconds(60), 8);
    INFO("seed " << seed << ", " << outcome.starts << " starts, " << outcome.workers_crashed
                 << " worker crashes, " << outcome.leaders << " leaders");
    for (const std::string& violation : outcome.broken)
    {
        UNSCOPED_INFO(violation);
    }
    CHECK(outcome.broken.empty());
    CHECK(outcome.open == 0);
    CHECK(outcome.completed > 0);
    CHECK(outcome.workers_crashed > 0);
}

void check_seeds(std::uint64_t first, const task_faults& faults)
{
    constexpr std::uint64_t seeds = 8;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        check_seed(seed, faults);
    }
}

} // namespace

TEST_CASE("work runs once and ends when workers restart under the same id")
{
    task_faults faults = restarting_workers();

    SECTION("after several seconds")
    {
        check_seeds(1100, faults);
    }
    SECTION("within the gap between two polls")
    {
        faults.down_least = milliseconds(1);
        faults.down_most = milliseconds(300);
        check_seeds(1200, faults);
    }
    SECTION("while orders are delayed and responses are lost")
    {
        faults.down_least = milliseconds(1);
        faults.late_orders = 0.08;
        faults.lost_answers = 0.05;
        check_seeds(1300, faults);
    }
    SECTION("while workers lose their connection and keep running")
    {
        faults.cuts_per_s = 0.05;
        check_seeds(1400, faults);
    }
    SECTION("while leaders change")
    {
        faults.down_least = milliseconds(1);
        faults.leader_changes_per_s = 0.2;
        check_seeds(1500, faults);
    }
    SECTION("while other workers restart under a new id")
    {
        faults.same_id = 0.5;
        check_seeds(1600, faults);
    }
    SECTION("with all faults combined")
    {
        faults.down_least = milliseconds(1);
        faults.late_orders = 0.04;
        faults.lost_answers = 0.04;
        faults.cuts_per_s = 0.02;
        faults.drains_per_s = 0.02;
        faults.leader_changes_per_s = 0.1;
        faults.failures = 0.03;
        faults.cancels = 0.2;
        check_seeds(1700, faults);
    }
}

TEST_CASE("a task that crashes its workers fails when they restart under the same id")
{
    task_faults faults;
    faults.same_id = 1;
    faults.failures = 0;
    const bool leaders_change = GENERATE(false, true);
    faults.leader_changes_per_s = leaders_change ? 0.1 : 0;
    faults.down_least = leaders_change ? milliseconds(2000) : milliseconds(20);
    for (std::uint64_t seed = 1800; seed < 1808; ++seed)
    {
        task_world world(seed, faults);
        jobs::job_spec spec;
        spec.steps.emplace_back();
        spec.steps[0].task_count = 8;
        spec.steps[0].needs = {1600, 1000, 0};
        for (int i = 0; i < 60; ++i)
        {
            world.submit(milliseconds(300) * i, spec, "sound" + std::to_string(i));
        }
        world.submit(seconds(2), spec, "guilty");
        world.make_crashing({"guilty", 0, 0, 0});
        const task_outcome outcome = world.run(seconds(90), 12);
        INFO("seed " << seed << ", " << outcome.workers_crashed << " worker crashes");
        for (const std::string& violation : outcome.broken)
        {
            UNSCOPED_INFO(violation);
        }
        CHECK(outcome.broken.empty());
        CHECK(world.state().find("guilty")->phase == jobs::job_phase::failed);
        CHECK(outcome.sound_failed == 0);
        CHECK(outcome.open == 0);
    }
}
