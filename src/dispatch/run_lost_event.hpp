#pragma once

/// @file
/// @brief The log events of a run that ended without completing, and of a task that is given up.

#include "plumspoke/dispatch/worker_view.hpp"
#include "plumspoke/logging/event.hpp"
#include "start_survival.hpp"

namespace plumspoke::dispatch
{

/// @param now for the age of the run since its record; its start was sent right after that
[[nodiscard]] inline logging::event run_lost_event(time_point now, const run_view& run, jobs::run_end how)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - run.recorded_at);
    return logging::event("dispatch", "run_lost", "A run ended without completing its work.")
        .with("job", run.name.task.job)
        .with("step", run.name.task.step)
        .with("index", run.name.task.index)
        .with("attempt", run.name.attempt)
        .with("worker", run.worker.id)
        .with("born_ms", run.worker.born_ms)
        .with("address", run.on->info.address)
        .with("begun", was_confirmed(run) ? 1 : 0)
        .with("age_ms", age.count())
        .with("beside", static_cast<std::int64_t>(run.on->runs.size()) - 1)
        .with("how", static_cast<std::int64_t>(how))
        .with("percent", run.percent)
        .with("survived_start", has_survived_start(run) ? 1 : 0)
        .with("crashes_before", run.evidence.crashes)
        .with("blamed_before", run.evidence.blamed);
}

/// @param evidence the task's crash evidence including this run
[[nodiscard]] inline logging::event task_given_up_event(const run_view& run,
                                                        const jobs::crash_evidence& evidence)
{
    return logging::event("dispatch",
                          "task_given_up",
                          "A task is given up after repeated worker crashes; its job has failed.")
        .with("job", run.name.task.job)
        .with("step", run.name.task.step)
        .with("index", run.name.task.index)
        .with("attempt", run.name.attempt)
        .with("worker", run.worker.id)
        .with("born_ms", run.worker.born_ms)
        .with("address", run.on->info.address)
        .with("crashes", evidence.crashes)
        .with("blamed", evidence.blamed);
}

} // namespace plumspoke::dispatch
