// Jobs, their tasks, and the workers that run them.

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

constexpr const char* lost_with_process = "the worker's process was replaced";

/// How far into its row of interruptions an order goes; an intent allows up to its own.
int depth(task_order order)
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

int depth(interruption allowed)
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

void wait_again(control_state& state, job& waiting, std::string reason)
{
    waiting.phase = job_phase::pending;
    waiting.reason = std::move(reason);
    state.pending.insert(waiting.spec.id);
}

/// Gives back what the live task held.
void release(control_state& state, job& owner)
{
    const auto found = state.workers.find(owner.live->worker);
    if (found != state.workers.end())
    {
        found->second.used -= owner.live->reserved;
        std::erase(found->second.jobs, owner.spec.id);
    }
    state.team_use[owner.spec.team] -= owner.live->reserved;
    owner.live.reset();
}

void end_cancelled(control_state& state, job& cancelled)
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

void interrupt(control_state& state, job& interrupted, const std::string& reason)
{
    release(state, interrupted);
    if (interrupted.cancel_requested)
    {
        end_cancelled(state, interrupted);
        return;
    }
    ++interrupted.interruptions;
    wait_again(state, interrupted, reason);
}

void note_failed_on(job& failed, const std::string& worker)
{
    if (std::find(failed.failed_on.begin(), failed.failed_on.end(), worker) == failed.failed_on.end())
    {
        failed.failed_on.push_back(worker);
    }
}

void note_failure(control_state& state, job& failed, const report_task& report)
{
    const std::string worker_name = failed.live->worker;
    release(state, failed);
    ++failed.failures;
    note_failed_on(failed, worker_name);
    worker_record& worker = state.workers[worker_name];
    if (std::find(worker.failed_jobs.begin(), worker.failed_jobs.end(), failed.spec.id) ==
        worker.failed_jobs.end())
    {
        worker.failed_jobs.push_back(failed.spec.id);
    }
    // Different jobs failing in a row blame the worker; one job failing on several workers blames itself.
    if ((worker.failed_jobs.size() >= failures_until_aside || worker.on_trial) && !worker.set_aside)
    {
        worker.set_aside = true;
        worker.on_trial = false;
        ++state.counters.workers_set_aside;
    }
    if (failed.cancel_requested)
    {
        end_cancelled(state, failed);
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
    wait_again(state, failed, "failed on " + worker_name + ": " + report.reason);
}

void note_event(control_state& state, job& owner, const report_task& report)
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
        release(state, owner);
        owner.result = report.result;
        ++state.counters.jobs_done;
        finish(state, owner, job_phase::done, "finished");
        return;
    case task_event::failed:
        owner.ever_started = true;
        note_failure(state, owner, report);
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
        interrupt(state, owner, "evicted: " + owner.live->reason);
        return;
    case task_event::lost:
        lose_task(state, owner, report.reason, report.sign);
        return;
    }
}

command_answer accepted_job(const job& one)
{
    command_answer answer;
    answer.id = one.live.has_value() ? one.live->token : 0;
    answer.detail = {{"job", one.spec.id}, {"phase", one.phase}, {"reason", one.reason}};
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

// Only failures that a worker reports counted against a job once, and one that ends its worker's process
// reports nothing: it was placed again without end.
void lose_task(control_state& state, job& lost, const std::string& reason, jobs::crash_sign sign)
{
    ++state.counters.tasks_lost;
    lost.evidence.add(sign);
    if (sign == jobs::crash_sign::blamed)
    {
        note_failed_on(lost, lost.live->worker);
    }
    interrupt(state, lost, "lost: " + reason);
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

jobs::crash_sign sign_for(const std::string& job, std::span<const crashed_job> crashed)
{
    const auto found = std::find_if(crashed.begin(),
                                    crashed.end(),
                                    [&job](const crashed_job& one)
                                    {
                                        return one.job == job;
                                    });
    return found == crashed.end() ? jobs::crash_sign::none : found->sign;
}

/// Gives back the jobs of a process that was replaced, and blames the crash on what sets one of them apart.
void lose_process(control_state& state,
                  const std::vector<std::string>& held,
                  std::span<const crashed_job> crashed)
{
    std::vector<jobs::crash_evidence> evidence;
    for (const std::string& id : held)
    {
        if (sign_for(id, crashed) == jobs::crash_sign::counted)
        {
            evidence.push_back(state.jobs.at(id).evidence);
        }
    }
    const std::optional<std::uint32_t> blamed_before = jobs::max_prior_blame(evidence);
    for (const std::string& id : held)
    {
        job& lost = state.jobs.at(id);
        const jobs::crash_sign sign = sign_for(id, crashed);
        const bool blamed = sign == jobs::crash_sign::counted && lost.evidence.blamed == blamed_before;
        lose_task(state, lost, lost_with_process, blamed ? jobs::crash_sign::blamed : sign);
    }
}

} // namespace

command_answer on(control_state& state, std::uint64_t /*index*/, const register_worker& value)
{
    worker_record& worker = state.workers[value.name];
    if (std::find(worker.replaced.begin(), worker.replaced.end(), value.incarnation) != worker.replaced.end())
    {
        return {}; // of a report that was held up until the next process had registered
    }
    if (!worker.incarnation.empty() && worker.incarnation != value.incarnation)
    {
        worker.replaced.push_back(worker.incarnation);
        if (worker.replaced.size() > most_replaced)
        {
            worker.replaced.erase(worker.replaced.begin());
        }
        // By the workers' contract an incarnation's tasks have ended before the next one registers.
        const std::vector<std::string> held = worker.jobs;
        lose_process(state, held, value.crashed);
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

command_answer on(control_state& state, std::uint64_t /*index*/, const set_worker_aside& value)
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

command_answer on(control_state& state, std::uint64_t index, const submit_job& value)
{
    const auto present = state.jobs.find(value.spec.id);
    if (present != state.jobs.end())
    {
        if (!(present->second.spec == value.spec))
        {
            return refuse(errc::job_exists, "job " + value.spec.id);
        }
        return accepted_job(present->second); // a resend
    }
    if (!state.config.teams.contains(value.spec.team))
    {
        return refuse(errc::unknown_team, "job " + value.spec.id + ", team " + value.spec.team);
    }
    if (const std::string never = why_never(state, value.spec); !never.empty())
    {
        command_answer answer = refuse(errc::can_never_run, "job " + value.spec.id);
        answer.message += ": " + never;
        return answer;
    }
    if (state.jobs.size() - state.finished_order.size() >= max_unfinished_jobs)
    {
        return refuse(errc::too_many_jobs, "job " + value.spec.id);
    }
    add_job(state, index, value.spec);
    return accepted_job(state.jobs.at(value.spec.id));
}

command_answer on(control_state& state, std::uint64_t /*index*/, const cancel_job& value)
{
    const auto found = state.jobs.find(value.job);
    if (found == state.jobs.end())
    {
        return refuse(errc::unknown_job, "job " + value.job);
    }
    job& cancelled = found->second;
    if (cancelled.phase == job_phase::cancelled || cancelled.cancel_requested)
    {
        return accepted_job(cancelled); // idempotent
    }
    if (cancelled.finished())
    {
        return refuse(errc::job_finished, "job " + value.job);
    }
    cancelled.cancel_requested = true;
    if (!cancelled.live.has_value())
    {
        end_cancelled(state, cancelled);
        return accepted_job(cancelled);
    }
    cancelled.live->order = task_order::stop;
    cancelled.live->reason = "cancelled";
    return accepted_job(cancelled);
}

command_answer on(control_state& state, std::uint64_t /*index*/, const judge_job& value)
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
    return accepted_job(judged);
}

command_answer on(control_state& state, std::uint64_t /*index*/, const place_task& value)
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
    if (!value.reserved.fits(free_on(state, worker)))
    {
        return refuse(errc::no_capacity, "job " + value.job + " on worker " + value.worker);
    }
    const auto team = state.config.teams.find(placed.spec.team);
    resources& held = state.team_use[placed.spec.team];
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
    check_invariant(
        invariant::worker_within_capacity, worker.used.fits(room_on(state, worker)), "control::place_task");
    return accepted_job(placed);
}

command_answer on(control_state& state, std::uint64_t /*index*/, const order_task& value)
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
    if (ending && depth(value.order) <= depth(ordered.live->order))
    {
        return refuse(errc::order_not_allowed, "job " + value.job); // an ending is not taken back
    }
    if (depth(value.order) > depth(ordered.spec.interruptible) && !ordered.cancel_requested)
    {
        return refuse(errc::order_not_allowed, "job " + value.job);
    }
    state.counters.throttles += value.order == task_order::throttle ? 1U : 0U;
    ordered.live->order = value.order;
    ordered.live->reason = value.reason;
    return accepted_job(ordered);
}

command_answer on(control_state& state, std::uint64_t /*index*/, const resize_task& value)
{
    const auto found = state.jobs.find(value.job);
    if (found == state.jobs.end() || !found->second.live.has_value() ||
        found->second.live->token != value.token)
    {
        return refuse(errc::stale_token, "job " + value.job);
    }
    job& resized = found->second;
    worker_record& worker = state.workers.at(resized.live->worker);
    const resources grown = value.reserved - resized.live->reserved;
    if (!grown.fits(free_on(state, worker)))
    {
        return refuse(errc::no_capacity, "job " + value.job + " on worker " + worker.name);
    }
    worker.used += grown;
    state.team_use[resized.spec.team] += grown;
    resized.live->reserved = value.reserved;
    resized.learned = value.reserved;
    check_invariant(
        invariant::worker_within_capacity, worker.used.fits(room_on(state, worker)), "control::resize_task");
    return accepted_job(resized);
}

command_answer on(control_state& state, std::uint64_t /*index*/, const report_task& value)
{
    const auto found = state.jobs.find(value.job);
    if (found == state.jobs.end() || !found->second.live.has_value() ||
        found->second.live->token != value.token)
    {
        ++state.counters.stale_reports;
        return refuse(errc::stale_token, "job " + value.job + ", token " + std::to_string(value.token));
    }
    job& reported = found->second;
    note_event(state, reported, value);
    command_answer answer;
    answer.detail = {{"job", value.job}};
    return answer;
}

} // namespace plumspoke::control::detail
