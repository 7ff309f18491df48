#pragma once

/// @file
/// @brief Sound jobs that run beside tasks and workers that crash.

#include "task_world.hpp"

#include <catch2/catch.hpp>

namespace plumspoke::test
{

constexpr int sound_jobs = 60;
constexpr int tasks_of_a_sound_job = 8;
constexpr int sound_tasks = sound_jobs * tasks_of_a_sound_job;

inline jobs::job_spec job_of(std::uint32_t tasks)
{
    jobs::step_spec step;
    step.task_count = tasks;
    step.needs = {1600, 1000, 0};
    step.estimate_ms = 1000;
    jobs::job_spec spec;
    spec.steps.push_back(step);
    return spec;
}

/// @brief Work that keeps half of twelve workers busy.
inline void submit_sound_jobs(task_world& world)
{
    constexpr auto gap = milliseconds(300);
    for (int i = 0; i < sound_jobs; ++i)
    {
        world.submit(gap * i, job_of(tasks_of_a_sound_job), "sound" + std::to_string(i));
    }
}

/// @brief A third of the workers crash at once, eight times; no sound job is given up for it.
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
    std::size_t given_up = 0;
    for (std::uint64_t seed = 3000; seed < 3000 + worlds; ++seed)
    {
        task_world world(seed, faults);
        submit_sound_jobs(world);
        jobs::job_spec lasting = job_of(6);
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
        given_up += seen.sound_failed;
        INFO("seed " << seed);
        CHECK(seen.broken.empty());
        CHECK(seen.open == 0);
    }
    INFO(crashes << " workers crashed");
    CHECK(given_up == 0);
}

} // namespace plumspoke::test
