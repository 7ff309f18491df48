/// @file
/// @brief Construction of run views and contact snapshots.

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

contact_snapshot make_contact_snapshot(const worker_view& worker)
{
    contact_snapshot out;
    out.answered_at = worker.answered_at;
    out.lease_sent_at = worker.lease_sent_at;
    out.first_lease_at = worker.first_lease_at;
    out.poll_sent_at = worker.poll_sent_at;
    out.max_lease_gap = worker.max_lease_gap;
    out.unanswered_calls = worker.unanswered_calls;
    out.contacted = worker.contacted;
    out.announced = worker.announced;
    out.poll_in_flight = worker.poll_in_flight;
    return out;
}

} // namespace plumspoke::dispatch
