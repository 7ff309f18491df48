/// @file
/// @brief Jobs without crashing tasks go on beside tasks that crash their workers.
///
/// Guards against healthy tasks that wait after each crash beside them although workers are free.

#include "crashing_tasks_fixture.hpp"

using namespace plumspoke;

namespace
{

constexpr std::uint64_t seeds = 10;
constexpr std::size_t workers = 24; // of 16 processors
constexpr auto crashing_from = seconds(8);
constexpr auto end = seconds(40);

// A third of the processors, spread over all workers.
void submit_lasting(test::task_world& world)
{
    jobs::step_spec lasting;
    lasting.lasting = true;
    lasting.task_count = 6;
    lasting.needs = {5000, 500, 0};
    for (int i = 0; i < 4; ++i)
    {
        world.submit(duration{}, {"", {lasting}}, "lasting" + std::to_string(i));
    }
}

// One task each, which takes seconds.
void submit_long_tasks(test::task_world& world, bool fillers)
{
    for (int i = 0; i < 40; ++i)
    {
        const std::string id = (fillers ? "filling" : "short") + std::to_string(i);
        jobs::job_spec spec = test::make_job_spec(1);
        spec.steps[0].filler = fillers;
        spec.steps[0].image = fillers ? "filler" : "";
        world.make_slow({id, 0, 0, 0}, seconds(5));
        world.submit(seconds(2) + i * milliseconds(800), spec, id);
    }
}

void submit_crashing(test::task_world& world, duration interval)
{
    int number = 0;
    for (duration at = crashing_from; at < end - seconds(8); at += interval)
    {
        const std::string id = "crashing" + std::to_string(number++);
        world.submit(at, test::make_job_spec(2), id);
        world.make_crashing({id, 0, 0, 0});
    }
}

void check_seeds(std::uint64_t first, const test::task_faults& faults, duration interval)
{
    std::uint64_t crashes = 0;
    std::size_t failed_healthy_jobs = 0;
    std::size_t armed = 0; // ticks in which a short task or a filler was due
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        test::task_world world(seed, faults);
        world.report_held_jobs_beside_crashes();
        submit_lasting(world);
        submit_long_tasks(world, false);
        submit_long_tasks(world, true);
        submit_crashing(world, interval);
        const test::task_outcome out = world.run(end, workers);
        CAPTURE(seed, out.broken, out.workers_crashed);
        CHECK(out.broken.empty());
        crashes += out.workers_crashed;
        failed_healthy_jobs += out.sound_failed;
        armed += out.armed(test::wait_kind::short_task) + out.armed(test::wait_kind::filler);
    }
    CHECK(crashes >= 50 * seeds);
    CHECK(armed >= 100 * seeds);
    CHECK(failed_healthy_jobs == 0);
}

} // namespace

TEST_CASE("no job without a crashing task stands still for 3 s where workers are back at once")
{
    test::task_faults faults;
    faults.failures = 0;
    faults.down_least = milliseconds(50);
    faults.down_most = milliseconds(300);

    SECTION("one crashing task a second")
    {
        check_seeds(1, faults, seconds(1));
    }
    SECTION("three crashing tasks a second")
    {
        check_seeds(100, faults, milliseconds(333));
    }
    SECTION("whose workers crash before they respond to the start")
    {
        faults.crash_least = milliseconds(0);
        faults.crash_most = milliseconds(0);
        check_seeds(200, faults, milliseconds(500));
    }
}
