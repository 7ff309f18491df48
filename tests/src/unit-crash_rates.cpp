/// @file
/// @brief No healthy job fails, at various rates of crashing tasks and of workers that crash spontaneously.

#include "crashing_tasks_fixture.hpp"

using namespace plumspoke;
using test::healthy_tasks;
using test::job_of;
using test::submit_healthy_jobs;
using test::task_faults;
using test::task_outcome;
using test::task_world;

TEST_CASE("no healthy job fails at various rates of crashing tasks and of spontaneously crashing workers")
{
    constexpr std::uint64_t worlds = 21;
    constexpr std::size_t workers = 24;
    const double flapping = GENERATE(0.0, 0.05, 0.1, 0.2, 0.3);
    const int one_in = GENERATE(0, 100, 20); // one task in so many crashes its worker; 0: none
    task_faults faults;
    faults.failures = 0;
    faults.until = seconds(30);
    faults.flapping = flapping;
    std::uint64_t crashes = 0;
    std::size_t given_up = 0;
    std::size_t open = 0;
    std::uint32_t most_workers_under_a_task = 0;
    for (std::uint64_t seed = 2000; seed < 2000 + worlds; ++seed)
    {
        task_world world(seed, faults);
        submit_healthy_jobs(world);
        for (int i = 0; one_in > 0 && i < healthy_tasks / one_in; ++i)
        {
            const std::string id = "guilty" + std::to_string(i);
            world.submit(milliseconds(500 + i * 700), job_of(1), id);
            world.make_crashing({id, 0, 0, 0});
        }
        const task_outcome seen = world.run(seconds(90), workers);
        crashes += seen.workers_crashed;
        given_up += seen.sound_failed;
        open += seen.open;
        most_workers_under_a_task = std::max(most_workers_under_a_task, seen.most_under_a_task);
    }
    INFO("flapping " << flapping << ", crashing 1 in " << one_in << ": " << crashes << " crashes, "
                     << given_up << " healthy jobs failed, " << open << " jobs open, at most "
                     << most_workers_under_a_task << " workers under one task");
    CHECK(given_up == 0);
    CHECK(open == 0);
}
