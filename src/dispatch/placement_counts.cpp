#include "plumspoke/dispatch/placement_counts.hpp"

#include <string>

namespace plumspoke::dispatch
{

namespace
{

void add_kind(logging::event& line, work_kind kind, const kind_counts& of)
{
    const std::string name(to_string(kind));
    line.with(name + "_steps", of.steps_ready)
        .with(name + "_steps_late", of.steps_late)
        .with(name + "_steps_hopeless", of.steps_hopeless)
        .with(name + "_tasks_waiting", of.tasks_waiting)
        .with(name + "_steps_without_turn", of.steps_without_turn)
        .with(name + "_steps_without_worker", of.steps_without_worker)
        .with(name + "_granted", of.granted)
        .with(name + "_granted_again", of.granted_again)
        .with(name + "_granted_late", of.granted_late)
        .with(name + "_granted_hopeless", of.granted_hopeless)
        .with(name + "_done", of.done)
        .with(name + "_failed", of.failed)
        .with(name + "_stopped", of.stopped)
        .with(name + "_lapsed", of.lapsed)
        .with(name + "_otherwise_over", of.otherwise_over);
}

} // namespace

std::string_view to_string(work_kind value) noexcept
{
    switch (value)
    {
    case work_kind::lasting:
        return "lasting";
    case work_kind::brief:
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
        ++otherwise_over;
        return;
    }
}

logging::event placement_counts::to_event() const
{
    logging::event line("dispatch", "placements", "What was placed in this window, and what waits.");
    line.with("placements", placements).with("cut_short", cut_short).with("held_back", held_back);
    for (std::size_t kind = 0; kind < work_kind_count; ++kind)
    {
        add_kind(line, static_cast<work_kind>(kind), kinds.at(kind));
    }
    return line;
}

} // namespace plumspoke::dispatch
