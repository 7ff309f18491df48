#pragma once

/// @file
/// @brief Healthy jobs that run alongside crashing tasks and workers.

#include "task_world.hpp"

#include <catch2/catch.hpp>

namespace plumspoke::test
{

constexpr int healthy_jobs = 60;
constexpr int tasks_per_healthy_job = 8;
constexpr int healthy_tasks = healthy_jobs * tasks_per_healthy_job;

inline jobs::job_spec make_job_spec(std::uint32_t tasks)
{
    jobs::step_spec step;
    step.task_count = tasks;
    step.needs = {1600, 1000, 0};
    step.estimate_ms = 1000;
    jobs::job_spec spec;
    spec.steps.push_back(step);
    return spec;
}

/// @brief Submits healthy jobs that keep half of twelve workers busy.
inline void submit_healthy_jobs(task_world& world)
{
    constexpr auto gap = milliseconds(300);
    for (int i = 0; i < healthy_jobs; ++i)
    {
        world.submit(gap * i, make_job_spec(tasks_per_healthy_job), "sound" + std::to_string(i));
    }
}

/// @brief Checks that no healthy job fails when a third of the workers crash simultaneously, eight times.
/// @param leader_changes_per_s rate of leader changes during the run
inline void check_widespread_crashes(double leader_changes_per_s)
{
    constexpr std::uint64_t worlds = 21;
    constexpr std::size_t workers = 24;
    constexpr int lasting_jobs = 10;
    constexpr int times = 8;
    constexpr auto gap = seconds(4);
    task_faults faults;
    faults.failures = 0;
    faults.leader_changes_per_s = leader_changes_per_s;
    std::uint64_t crashes = 0;
    std::size_t failed_healthy_jobs = 0;
    for (std::uint64_t seed = 3000; seed < 3000 + worlds; ++seed)
    {
        task_world world(seed, faults);
        submit_healthy_jobs(world);
        jobs::job_spec lasting = make_job_spec(6);
        lasting.steps[0].lasting = true;
        for (int i = 0; i < lasting_jobs; ++i)
        {
            world.submit(seconds(1), lasting, "lasting" + std::to_string(i));
        }
        for (int i = 1; i <= times; ++i)
        {
            world.crash_share(gap * i, 0.3);
        }
        const task_outcome seen = world.run(seconds(60), workers);
        crashes += seen.workers_crashed;
        failed_healthy_jobs += seen.sound_failed;
        INFO("seed " << seed);
        CHECK(seen.broken.empty());
        CHECK(seen.open == 0);
    }
    INFO(crashes << " workers crashed");
    CHECK(failed_healthy_jobs == 0);
}

} // namespace plumspoke::test
