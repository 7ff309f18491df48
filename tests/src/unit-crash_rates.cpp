/// @file
/// @brief No healthy job fails, at various rates of crashing tasks and of workers that crash spontaneously.

#include "crashing_tasks_fixture.hpp"

using namespace plumspoke;
using test::healthy_tasks;
using test::make_job_spec;
using test::submit_healthy_jobs;
using test::task_faults;
using test::task_outcome;
using test::task_world;

TEST_CASE("no healthy job fails at various rates of crashing tasks and of spontaneously crashing workers")
{
    constexpr std::uint64_t worlds = 21;
    constexpr std::size_t workers = 24;
    const double flapping = GENERATE(0.0, 0.05, 0.1, 0.2, 0.3);
    const int tasks_per_crashing_task = GENERATE(0, 100, 20); // 0: no crashing tasks
    task_faults faults;
    faults.failures = 0;
    faults.until = seconds(30);
    faults.flapping = flapping;
    std::uint64_t crashes = 0;
    std::size_t failed_healthy_jobs = 0;
    std::size_t open = 0;
    std::uint32_t most_workers_under_a_task = 0;
    for (std::uint64_t seed = 2000; seed < 2000 + worlds; ++seed)
    {
        task_world world(seed, faults);
        submit_healthy_jobs(world);
        for (int i = 0; tasks_per_crashing_task > 0 && i < healthy_tasks / tasks_per_crashing_task; ++i)
        {
            const std::string id = "guilty" + std::to_string(i);
            world.submit(milliseconds(500 + i * 700), make_job_spec(1), id);
            world.make_crashing({id, 0, 0, 0});
        }
        const task_outcome seen = world.run(seconds(90), workers);
        crashes += seen.workers_crashed;
        failed_healthy_jobs += seen.sound_failed;
        open += seen.open;
        most_workers_under_a_task = std::max(most_workers_under_a_task, seen.most_under_a_task);
    }
    INFO("flapping " << flapping << ", 1 crashing task in " << tasks_per_crashing_task << ": " << crashes
                     << " crashes, " << failed_healthy_jobs << " healthy jobs failed, " << open
                     << " jobs open, at most " << most_workers_under_a_task << " workers under one task");
    CHECK(failed_healthy_jobs == 0);
    CHECK(open == 0);
}
