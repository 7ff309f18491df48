/// @file
/// @brief The dispatcher with simulated workers in virtual time: invariants hold under faults, and all jobs
/// end.

#include "task_world.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::task_faults;
using test::task_outcome;
using test::task_world;

namespace
{

void check_seed(std::uint64_t seed, const task_faults& faults)
{
    task_world world(seed, faults);
    world.submit_random(60, seconds(18));
    const task_outcome seen = world.run(seconds(60));
    INFO("seed " << seed << ", " << seen.starts << " starts, " << seen.leaders << " leaders");
    for (const std::string& one : seen.broken)
    {
        UNSCOPED_INFO(one);
    }
    CHECK(seen.broken.empty());
    CHECK(seen.open == 0);
    CHECK(seen.completed > 0);
}

void check_seeds(std::uint64_t first, const task_faults& faults)
{
    constexpr std::uint64_t seeds = 8;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        check_seed(seed, faults);
    }
}

jobs::job_spec single_task_job(std::uint32_t estimate_ms)
{
    jobs::step_spec step;
    step.needs = {1000, 100, 0};
    step.estimate_ms = estimate_ms;
    jobs::job_spec spec;
    spec.steps.push_back(step);
    return spec;
}

} // namespace

TEST_CASE("the dispatcher runs all work exactly once")
{
    task_faults faults;

    SECTION("without faults")
    {
        check_seeds(1, faults);
    }
    SECTION("where orders are executed late")
    {
        faults.late_orders = 0.1;
        check_seeds(100, faults);
    }
    SECTION("where answers are lost")
    {
        faults.lost_answers = 0.15;
        check_seeds(200, faults);
    }
    SECTION("where workers crash")
    {
        faults.crashes_per_s = 0.05;
        check_seeds(300, faults);
    }
    SECTION("where workers are partitioned and keep running")
    {
        faults.cuts_per_s = 0.06;
        check_seeds(400, faults);
    }
    SECTION("where workers leave")
    {
        faults.drains_per_s = 0.04;
        check_seeds(500, faults);
    }
    SECTION("where leaders change")
    {
        faults.leader_changes_per_s = 0.2;
        check_seeds(600, faults);
    }
    SECTION("with all faults combined")
    {
        faults.late_orders = 0.05;
        faults.lost_answers = 0.05;
        faults.crashes_per_s = 0.02;
        faults.cuts_per_s = 0.03;
        faults.drains_per_s = 0.02;
        faults.leader_changes_per_s = 0.1;
        faults.cancels = 0.2;
        check_seeds(700, faults);
    }
}

TEST_CASE("a cancelled job starts nothing more and ends")
{
    task_world world(5, {});
    world.submit(seconds(1), single_task_job(500), "a");
    world.cancel(milliseconds(1050), "a");
    const task_outcome seen = world.run(seconds(5));
    CHECK(seen.broken.empty());
    CHECK(seen.cancelled == 1);
    CHECK(world.state().ended_with_runs().empty());
}

TEST_CASE("a job whose task always fails is failed once its failure budget is used up, and not before")
{
    task_faults faults;
    faults.failures = 1;
    task_world world(6, faults);
    world.submit(seconds(1), single_task_job(200), "a", 3);
    const task_outcome seen = world.run(seconds(20));
    CHECK(seen.failed == 1);
    CHECK(seen.starts == 3);
}
