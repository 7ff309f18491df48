#pragma once

/// @file
/// @brief The log line of a run that has ended without its work.

#include "plumspoke/dispatch/worker_view.hpp"
#include "plumspoke/logging/event.hpp"

namespace plumspoke::dispatch
{

[[nodiscard]] inline logging::event run_lost_event(const run_view& of, jobs::run_end how)
{
    return logging::event("dispatch", "run_lost", "A run has ended without its work being done.")
        .with("job", of.name.task.job)
        .with("step", of.name.task.step)
        .with("index", of.name.task.index)
        .with("attempt", of.name.attempt)
        .with("worker", of.worker)
        .with("how", static_cast<std::int64_t>(how))
        .with("percent", of.percent);
}

} // namespace plumspoke::dispatch
