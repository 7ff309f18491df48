/// @file
/// @brief A run's view from its record and its step, and the contact with a worker.

#include "plumspoke/dispatch/worker_view.hpp"

namespace plumspoke::dispatch
{

run_view make_run_view(const jobs::run_name& name, const fleet::worker_life& worker, const jobs::job& job)
{
    const jobs::step_spec& spec = job.spec.steps[name.task.step];
    run_view out;
    out.name = name;
    out.worker = worker;
    out.needs = spec.needs;
    out.filler = spec.filler;
    out.lasting = spec.lasting;
    out.serving = spec.lasting && spec.tail_target_ms > 0;
    out.tail_target_ms = spec.tail_target_ms;
    out.gang = spec.gang;
    out.queue = job.source_queue.name;
    out.estimate_ms = spec.estimate_ms;
    out.step_tasks = spec.task_count;
    out.image = spec.image;
    out.copies_allowed = spec.copies_allowed;
    out.saves_progress = spec.saves_progress;
    out.evidence =
        job.occurrences.at(name.task.occurrence).steps[name.task.step].tasks[name.task.index].evidence;
    return out;
}

contact_notes note_contact_with(const worker_view& of)
{
    contact_notes out;
    out.answered_at = of.answered_at;
    out.lease_sent_at = of.lease_sent_at;
    out.first_lease_at = of.first_lease_at;
    out.hold_sent_at = of.hold_sent_at;
    out.lease_gap = of.lease_gap;
    out.silent_calls = of.silent_calls;
    out.contacted = of.contacted;
    out.announced = of.announced;
    out.hold_in_flight = of.hold_in_flight;
    return out;
}

} // namespace plumspoke::dispatch
