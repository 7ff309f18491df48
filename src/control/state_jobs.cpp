// Handlers for jobs, their tasks and the workers that run them.

#include "plumspoke/error/invariant.hpp"
#include "state_internal.hpp"

#include <algorithm>
#include <optional>
#include <span>

namespace plumspoke::control::detail
{

namespace
{

using error::check_invariant;
using error::invariant;

constexpr const char* process_replaced_reason = "the worker's process was replaced";

/// Rank of an order by how strongly it interrupts the task. A job permits orders up to the rank of its
/// `interruptible`.
int interruption_level(task_order order)
{
    switch (order)
    {
    case task_order::run:
        return 0;
    case task_order::throttle:
        return 1;
    case task_order::checkpoint:
        return 2;
    case task_order::stop:
        break;
    }
    return 3;
}

int interruption_level(interruption allowed)
{
    switch (allowed)
    {
    case interruption::never:
        return 0;
    case interruption::throttle:
        return 1;
    case interruption::checkpoint:
        break;
    }
    return 2;
}

void finish(control_state& state, job& ended, job_phase phase, std::string reason)
{
    ended.phase = phase;
    ended.reason = std::move(reason);
    state.pending.erase(ended.spec.id);
    state.finished_order.push_back(ended.spec.id);
    while (state.finished_order.size() > max_finished_jobs)
    {
        state.jobs.erase(state.finished_order.front());
        state.finished_order.pop_front();
    }
}

void requeue(control_state& state, job& waiting, std::string reason)
{
    waiting.phase = job_phase::pending;
    waiting.reason = std::move(reason);
    state.pending.insert(waiting.spec.id);
}

/// Releases the live task's reservation and ends the task.
void release_reservation(control_state& state, job& owner)
{
    const auto found = state.workers.find(owner.live->worker);
    if (found != state.workers.end())
    {
        found->second.used -= owner.live->reserved;
        std::erase(found->second.jobs, owner.spec.id);
    }
    state.team_usage[owner.spec.team] -= owner.live->reserved;
    owner.live.reset();
}

void finish_cancelled(control_state& state, job& cancelled)
{
    if (cancelled.ever_started)
    {
        ++state.counters.cancelled_while_running;
        finish(state, cancelled, job_phase::cancelled, "stopped while running");
        return;
    }
    ++state.counters.cancelled_before_run;
    finish(state, cancelled, job_phase::cancelled, "cancelled before it ran");
}

void interrupt_task(control_state& state, job& interrupted, const std::string& reason)
{
    release_reservation(state, interrupted);
    if (interrupted.cancel_requested)
    {
        finish_cancelled(state, interrupted);
        return;
    }
    ++interrupted.interruptions;
    requeue(state, interrupted, reason);
}

void record_failed_worker(job& failed, const std::string& worker)
{
    if (std::find(failed.failed_on.begin(), failed.failed_on.end(), worker) == failed.failed_on.end())
    {
        failed.failed_on.push_back(worker);
    }
}

void record_task_failure(control_state& state, job& failed, const report_task& report)
{
    const std::string worker_name = failed.live->worker;
    release_reservation(state, failed);
    ++failed.failures;
    record_failed_worker(failed, worker_name);
    worker_record& worker = state.workers[worker_name];
    if (std::find(worker.failed_jobs.begin(), worker.failed_jobs.end(), failed.spec.id) ==
        worker.failed_jobs.end())
    {
        worker.failed_jobs.push_back(failed.spec.id);
    }
    // Failures of different jobs in a row are attributed to the worker; repeated failures of one job, on
    // whichever workers, to the job.
    if ((worker.failed_jobs.size() >= set_aside_failure_threshold || worker.on_trial) && !worker.set_aside)
    {
        worker.set_aside = true;
        worker.on_trial = false;
        ++state.counters.workers_set_aside;
    }
    if (failed.cancel_requested)
    {
        finish_cancelled(state, failed);
        return;
    }
    if (failed.failures >= failed.spec.max_attempts)
    {
        ++state.counters.jobs_failed;
        finish(state,
               failed,
               job_phase::failed,
               "failed " + std::to_string(failed.failures) + " times: " + report.reason);
        return;
    }
    ++failed.interruptions;
    requeue(state, failed, "failed on " + worker_name + ": " + report.reason);
}

void apply_task_event(control_state& state, job& owner, const report_task& report)
{
    switch (report.event)
    {
    case task_event::started:
        owner.ever_started = true;
        owner.live->started = true;
        owner.phase = job_phase::running;
        owner.reason = "runs on " + owner.live->worker;
        return;
    case task_event::finished:
        owner.ever_started = true;
        if (const auto found = state.workers.find(owner.live->worker); found != state.workers.end())
        {
            found->second.failed_jobs.clear();
            found->second.on_trial = false;
        }
        release_reservation(state, owner);
        owner.result = report.result;
        ++state.counters.jobs_done;
        finish(state, owner, job_phase::done, "finished");
        return;
    case task_event::failed:
        owner.ever_started = true;
        record_task_failure(state, owner, report);
        return;
    case task_event::stopped:
        if (!report.checkpoint.empty())
        {
            owner.checkpoint = report.checkpoint;
        }
        if (!owner.cancel_requested)
        {
            ++state.counters.evictions;
        }
        interrupt_task(state, owner, "evicted: " + owner.live->reason);
        return;
    case task_event::lost:
        handle_lost_task(state, owner, report.reason, report.sign);
        return;
    }
}

command_answer job_status_answer(const job& subject)
{
    command_answer answer;
    answer.id = subject.live.has_value() ? subject.live->token : 0;
    answer.detail = {{"job", subject.spec.id}, {"phase", subject.phase}, {"reason", subject.reason}};
    return answer;
}

} // namespace

void add_job(control_state& state, std::uint64_t index, const job_spec& spec)
{
    job added;
    added.spec = spec;
    added.submitted_at = index;
    added.reason = "waits for a worker";
    state.jobs[spec.id] = std::move(added);
    state.pending.insert(spec.id);
    ++state.counters.jobs_submitted;
}

// A job that crashes its worker's process never reports a failure. Without the crash evidence it would be
// placed again indefinitely.
void handle_lost_task(control_state& state, job& lost, const std::string& reason, jobs::crash_sign sign)
{
    ++state.counters.tasks_lost;
    lost.evidence.add(sign);
    if (sign == jobs::crash_sign::blamed)
    {
        record_failed_worker(lost, lost.live->worker);
    }
    interrupt_task(state, lost, "lost: " + reason);
    if (!lost.finished() && lost.evidence.exceeds_limit())
    {
        ++state.counters.jobs_failed;
        finish(state,
               lost,
               job_phase::failed,
               "given up: " + std::to_string(lost.evidence.crashes) + " workers crashed under it");
    }
}

namespace
{

jobs::crash_sign crash_sign_for(const std::string& job, std::span<const crashed_job> crashed)
{
    const auto found = std::find_if(crashed.begin(),
                                    crashed.end(),
                                    [&job](const crashed_job& candidate)
                                    {
                                        return candidate.job == job;
                                    });
    return found == crashed.end() ? jobs::crash_sign::none : found->sign;
}

/// Requeues the jobs of a replaced process. Of the jobs for which the crash counts, those blamed most often
/// before are blamed; max_prior_blame() decides whether that sets them apart.
void handle_lost_process(control_state& state,
                         const std::vector<std::string>& assigned_jobs,
                         std::span<const crashed_job> crashed)
{
    std::vector<jobs::crash_evidence> evidence;
    for (const std::string& id : assigned_jobs)
    {
        if (crash_sign_for(id, crashed) == jobs::crash_sign::counted)
        {
            evidence.push_back(state.jobs.at(id).evidence);
        }
    }
    const std::optional<std::uint32_t> blamed_before = jobs::max_prior_blame(evidence);
    for (const std::string& id : assigned_jobs)
    {
        job& lost = state.jobs.at(id);
        const jobs::crash_sign sign = crash_sign_for(id, crashed);
        const bool blamed = sign == jobs::crash_sign::counted && lost.evidence.blamed == blamed_before;
        handle_lost_task(state, lost, process_replaced_reason, blamed ? jobs::crash_sign::blamed : sign);
    }
}

} // namespace

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const register_worker& value)
{
    worker_record& worker = state.workers[value.name];
    if (std::find(worker.replaced.begin(), worker.replaced.end(), value.incarnation) != worker.replaced.end())
    {
        return {}; // from a report that was delayed until the next process had registered
    }
    if (!worker.incarnation.empty() && worker.incarnation != value.incarnation)
    {
        worker.replaced.push_back(worker.incarnation);
        if (worker.replaced.size() > max_replaced_incarnations)
        {
            worker.replaced.erase(worker.replaced.begin());
        }
        // The workers' contract: an incarnation's tasks have ended before the next incarnation registers.
        const std::vector<std::string> assigned_jobs = worker.jobs;
        handle_lost_process(state, assigned_jobs, value.crashed);
        worker.set_aside = false;
        worker.on_trial = false;
        worker.failed_jobs.clear();
    }
    worker.name = value.name;
    worker.incarnation = value.incarnation;
    worker.availability_zone = value.availability_zone;
    worker.rack = value.rack;
    worker.capacity = value.capacity;
    worker.removed = false;
    return {};
}

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const set_worker_aside& value)
{
    const auto found = state.workers.find(value.worker);
    if (found == state.workers.end())
    {
        return refuse(errc::unknown_worker, "worker " + value.worker);
    }
    state.counters.workers_set_aside += (value.aside && !found->second.set_aside) ? 1U : 0U;
    found->second.set_aside = value.aside;
    found->second.on_trial = !value.aside;
    return {};
}

command_answer apply_command(control_state& state, std::uint64_t index, const submit_job& value)
{
    const auto present = state.jobs.find(value.spec.id);
    if (present != state.jobs.end())
    {
        if (!(present->second.spec == value.spec))
        {
            return refuse(errc::job_exists, "job " + value.spec.id);
        }
        return job_status_answer(present->second); // a resend
    }
    if (!state.config.teams.contains(value.spec.team))
    {
        return refuse(errc::unknown_team, "job " + value.spec.id + ", team " + value.spec.team);
    }
    if (const std::string infeasible = infeasibility_reason(state, value.spec); !infeasible.empty())
    {
        command_answer answer = refuse(errc::can_never_run, "job " + value.spec.id);
        answer.message += ": " + infeasible;
        return answer;
    }
    if (state.jobs.size() - state.finished_order.size() >= max_unfinished_jobs)
    {
        return refuse(errc::too_many_jobs, "job " + value.spec.id);
    }
    add_job(state, index, value.spec);
    return job_status_answer(state.jobs.at(value.spec.id));
}

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const cancel_job& value)
{
    const auto found = state.jobs.find(value.job);
    if (found == state.jobs.end())
    {
        return refuse(errc::unknown_job, "job " + value.job);
    }
    job& cancelled = found->second;
    if (cancelled.phase == job_phase::cancelled || cancelled.cancel_requested)
    {
        return job_status_answer(cancelled); // idempotent
    }
    if (cancelled.finished())
    {
        return refuse(errc::job_finished, "job " + value.job);
    }
    cancelled.cancel_requested = true;
    if (!cancelled.live.has_value())
    {
        finish_cancelled(state, cancelled);
        return job_status_answer(cancelled);
    }
    cancelled.live->order = task_order::stop;
    cancelled.live->reason = "cancelled";
    return job_status_answer(cancelled);
}

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const judge_job& value)
{
    const auto found = state.jobs.find(value.job);
    if (found == state.jobs.end())
    {
        return refuse(errc::unknown_job, "job " + value.job);
    }
    job& judged = found->second;
    if (judged.phase != job_phase::pending && judged.phase != job_phase::cannot_run)
    {
        return refuse(errc::job_not_pending, "job " + value.job);
    }
    judged.phase = value.can_run ? job_phase::pending : job_phase::cannot_run;
    judged.reason = value.reason;
    return job_status_answer(judged);
}

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const place_task& value)
{
    const auto found = state.jobs.find(value.job);
    if (found == state.jobs.end())
    {
        return refuse(errc::unknown_job, "job " + value.job);
    }
    job& placed = found->second;
    if (placed.phase != job_phase::pending)
    {
        return refuse(errc::job_not_pending, "job " + value.job);
    }
    const auto worker_found = state.workers.find(value.worker);
    if (worker_found == state.workers.end() || worker_found->second.removed)
    {
        return refuse(errc::unknown_worker, "worker " + value.worker);
    }
    worker_record& worker = worker_found->second;
    if (worker.incarnation != value.incarnation)
    {
        return refuse(errc::worker_changed, "worker " + value.worker);
    }
    if (worker.set_aside)
    {
        return refuse(errc::worker_set_aside, "worker " + value.worker);
    }
    if (state.config.evacuated_zones.contains(worker.availability_zone))
    {
        return refuse(errc::zone_evacuated, "worker " + value.worker);
    }
    if (!value.reserved.fits(free_capacity_of(state, worker)))
    {
        return refuse(errc::no_capacity, "job " + value.job + " on worker " + value.worker);
    }
    const auto team = state.config.teams.find(placed.spec.team);
    resources& held = state.team_usage[placed.spec.team];
    if (team == state.config.teams.end() || !(held + value.reserved).fits(team->second.quota))
    {
        return refuse(errc::over_quota, "job " + value.job);
    }
    check_invariant(invariant::work_runs_once, !placed.live.has_value(), "control::place_task");
    placed.live = task{state.next_token++,
                       value.worker,
                       value.incarnation,
                       task_order::run,
                       value.reason,
                       false,
                       value.reserved};
    placed.phase = job_phase::placed;
    placed.reason = value.reason;
    ++placed.attempts;
    if (placed.interruptions > placed.resumes)
    {
        ++placed.resumes;
        ++state.counters.resumes;
    }
    check_invariant(
        invariant::resume_exactly_once, placed.resumes == placed.interruptions, "control::place_task");
    worker.used += value.reserved;
    worker.jobs.push_back(value.job);
    held += value.reserved;
    state.pending.erase(value.job);
    ++state.counters.placements;
    check_invariant(invariant::worker_within_capacity,
                    worker.used.fits(task_capacity_of(state, worker)),
                    "control::place_task");
    return job_status_answer(placed);
}

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const order_task& value)
{
    const auto found = state.jobs.find(value.job);
    if (found == state.jobs.end() || !found->second.live.has_value() ||
        found->second.live->token != value.token)
    {
        return refuse(errc::stale_token, "job " + value.job);
    }
    job& ordered = found->second;
    const bool ending =
        ordered.live->order == task_order::checkpoint || ordered.live->order == task_order::stop;
    if (ending && interruption_level(value.order) <= interruption_level(ordered.live->order))
    {
        return refuse(errc::order_not_allowed, "job " + value.job); // an order to end a task is final
    }
    if (interruption_level(value.order) > interruption_level(ordered.spec.interruptible) &&
        !ordered.cancel_requested)
    {
        return refuse(errc::order_not_allowed, "job " + value.job);
    }
    state.counters.throttles += value.order == task_order::throttle ? 1U : 0U;
    ordered.live->order = value.order;
    ordered.live->reason = value.reason;
    return job_status_answer(ordered);
}

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const resize_task& value)
{
    const auto found = state.jobs.find(value.job);
    if (found == state.jobs.end() || !found->second.live.has_value() ||
        found->second.live->token != value.token)
    {
        return refuse(errc::stale_token, "job " + value.job);
    }
    job& resized = found->second;
    worker_record& worker = state.workers.at(resized.live->worker);
    const resources growth = value.reserved - resized.live->reserved;
    if (!growth.fits(free_capacity_of(state, worker)))
    {
        return refuse(errc::no_capacity, "job " + value.job + " on worker " + worker.name);
    }
    worker.used += growth;
    state.team_usage[resized.spec.team] += growth;
    resized.live->reserved = value.reserved;
    resized.learned = value.reserved;
    check_invariant(invariant::worker_within_capacity,
                    worker.used.fits(task_capacity_of(state, worker)),
                    "control::resize_task");
    return job_status_answer(resized);
}

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const report_task& value)
{
    const auto found = state.jobs.find(value.job);
    if (found == state.jobs.end() || !found->second.live.has_value() ||
        found->second.live->token != value.token)
    {
        ++state.counters.stale_reports;
        return refuse(errc::stale_token, "job " + value.job + ", token " + std::to_string(value.token));
    }
    job& reported = found->second;
    apply_task_event(state, reported, value);
    command_answer answer;
    answer.detail = {{"job", value.job}};
    return answer;
}

} // namespace plumspoke::control::detail
