#include "plumspoke/dispatch/placement_counts.hpp"

#include <string>

namespace plumspoke::dispatch
{

namespace
{

void add_kind_fields(logging::event& line, work_kind kind, const kind_counts& counts)
{
    const std::string name(to_string(kind));
    line.with(name + "_steps", counts.steps_ready)
        .with(name + "_steps_late", counts.steps_late)
        .with(name + "_steps_hopeless", counts.steps_hopeless)
        .with(name + "_tasks_waiting", counts.tasks_waiting)
        .with(name + "_steps_without_turn", counts.steps_over_limit)
        .with(name + "_steps_without_worker", counts.steps_without_worker)
        .with(name + "_granted", counts.granted)
        .with(name + "_granted_again", counts.granted_restarts)
        .with(name + "_granted_late", counts.granted_late)
        .with(name + "_granted_hopeless", counts.granted_hopeless)
        .with(name + "_done", counts.done)
        .with(name + "_failed", counts.failed)
        .with(name + "_stopped", counts.stopped)
        .with(name + "_lapsed", counts.lapsed)
        .with(name + "_otherwise_over", counts.ended_otherwise);
}

} // namespace

std::string_view to_string(work_kind value) noexcept
{
    switch (value)
    {
    case work_kind::lasting:
        return "lasting";
    case work_kind::short_task:
        return "brief";
    case work_kind::filler:
        return "filler";
    }
    return "unknown";
}

void kind_counts::note_end(jobs::run_end how) noexcept
{
    switch (how)
    {
    case jobs::run_end::done:
        ++done;
        return;
    case jobs::run_end::failed:
        ++failed;
        return;
    case jobs::run_end::stopped:
        ++stopped;
        return;
    case jobs::run_end::lapsed:
        ++lapsed;
        return;
    case jobs::run_end::lost:
    case jobs::run_end::crashed:
    case jobs::run_end::not_begun:
    case jobs::run_end::broken:
    case jobs::run_end::alone:
        ++ended_otherwise;
        return;
    }
}

logging::event placement_counts::to_event() const
{
    logging::event line("dispatch", "placements", "Placements and waiting tasks in this window.");
    line.with("placements", placements)
        .with("cut_short", limited)
        .with("held_back", deferred)
        .with("with_fillers", with_fillers)
        .with("cut_short_with_fillers", limited_with_fillers)
        .with("max_starts", static_cast<std::int64_t>(max_starts))
        .with("max_filler_starts", static_cast<std::int64_t>(max_filler_starts));
    for (std::size_t kind = 0; kind < work_kind_count; ++kind)
    {
        add_kind_fields(line, static_cast<work_kind>(kind), kinds.at(kind));
    }
    return line;
}

} // namespace plumspoke::dispatch
