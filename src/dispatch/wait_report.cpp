/// @file
/// @brief Logs the longest waits and their causes once a second, so that endless waits of any cause show up.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

constexpr auto report_interval = seconds(1);
constexpr std::int64_t cancel_overdue_ms = 1500;
constexpr std::int64_t never = -1; // logged as the age of what has not happened

duration elapsed(time_point since, time_point now)
{
    return std::chrono::duration_cast<duration>(now - since);
}

std::size_t count_recorded(const jobs::job& job)
{
    std::size_t count = 0;
    for (const auto& [number, occurrence] : job.occurrences)
    {
        for (const jobs::step& step : occurrence.steps)
        {
            for (const jobs::task& task : step.tasks)
            {
                count += task.runs.size();
            }
        }
    }
    return count;
}

} // namespace

void dispatcher::note_run_wait(time_point now, const run_view& run)
{
    const duration since = elapsed(std::max(run.added_at, run.confirmed_at), now);
    if (longest_waits::is_long(since))
    {
        longest_waits_.note({run.name, cause_of(run), since, run.worker, since});
    }
}

void dispatcher::report_waits(time_point now, std::int64_t day_ms, const jobs::store& state)
{
    if (now < next_wait_report_at_)
    {
        return;
    }
    next_wait_report_at_ = now + report_interval;
    const auto unplaced_before = std::exchange(unplaced_since_, {});
    for (const auto& [accepted, job] : state.live())
    {
        const bool all_tracked = count_recorded(*job) <= count_tracked_runs(*job);
        for (const auto& [number, occurrence] : job->occurrences)
        {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step)
            {
                if (job->is_ready(occurrence, step))
                {
                    const step_key key{job->id, number, step};
                    const auto before = unplaced_before.find(key);
                    const time_point since = before == unplaced_before.end() ? now : before->second;
                    if (note_task_waits(now, since, day_ms, *job, occurrence, step, all_tracked))
                    {
                        unplaced_since_.emplace(key, since);
                    }
                }
            }
        }
    }
    for (logging::event& line : longest_waits_.take_report())
    {
        events_.push_back(std::move(line));
    }
    report_stalled_jobs(now, day_ms, state);
    report_overdue_cancels(now, day_ms, state);
}

// Reports one run of each such job.
void dispatcher::report_overdue_cancels(time_point now, std::int64_t day_ms, const jobs::store& state)
{
    const auto age_ms = [now](time_point at)
    {
        return at == time_point{} ? never : std::chrono::duration_cast<milliseconds>(now - at).count();
    };
    for (const auto& [id, cancelled_at_ms] : cancelled_at_ms_)
    {
        const auto at = runs_.lower_bound({{id, 0, 0, 0}, 0});
        const bool tracked = at != runs_.end() && at->first.task.job == id;
        if (day_ms < cancelled_at_ms + cancel_overdue_ms || !state.ended_with_runs().contains(id))
        {
            continue;
        }
        logging::event line(
            "dispatch", "cancel_overdue", "A run of a cancelled job has not been confirmed as ended.");
        line.with("job", id)
            .with("cancel_age_ms", day_ms - cancelled_at_ms)
            .with("term_age_ms", age_ms(leading_since_))
            .with("followed", tracked ? 1 : 0);
        if (tracked)
        {
            const run_view& run = at->second;
            line.with("step", run.name.task.step)
                .with("index", run.name.task.index)
                .with("attempt", run.name.attempt)
                .with("worker", run.worker.id)
                .with("stage", static_cast<std::int64_t>(run.stage))
                .with("stops_sent", run.stops_sent)
                .with("first_stop_age_ms", age_ms(run.first_stop_at))
                .with("stop_in_flight", run.stop_in_flight ? 1 : 0)
                .with("stop_acknowledged_age_ms", age_ms(run.stop_acknowledged_at.value_or(time_point{})))
                .with("contacted", run.on->contacted ? 1 : 0)
                .with("unanswered_polls", run.on->unanswered_calls)
                .with("answer_age_ms", age_ms(run.on->answered_at));
        }
        events_.push_back(std::move(line));
    }
}

std::size_t dispatcher::count_tracked_runs(const jobs::job& job) const
{
    std::size_t count = 0;
    for (auto entry = runs_.lower_bound({{job.id, 0, 0, 0}, 0});
         entry != runs_.end() && entry->first.task.job == job.id;
         ++entry)
    {
        count += entry->second.stage == run_stage::proposed ? 0 : 1;
    }
    return count;
}

// A recorded run that the leader doesn't track would never be ended.
void dispatcher::take_over_orphan(time_point now,
                                  const jobs::job& job,
                                  const jobs::run_name& name,
                                  const jobs::run& run)
{
    take_over(now, job, name.task, std::span(&run, 1));
    events_.push_back(
        logging::event("dispatch", "run_taken_over", "A recorded run was not tracked by the leader.")
            .with("job", name.task.job)
            .with("step", name.task.step)
            .with("index", name.task.index)
            .with("attempt", name.attempt)
            .with("worker", run.worker.id)
            .with("born_ms", run.worker.born_ms));
}

wait_cause dispatcher::cause_of(const run_view& run) noexcept
{
    switch (run.stage)
    {
    case run_stage::proposed:
        return wait_cause::start_not_committed;
    case run_stage::ordered:
    case run_stage::inherited:
        return wait_cause::start_unconfirmed;
    case run_stage::ending:
        return wait_cause::end_not_committed;
    case run_stage::running:
        break;
    }
    if (run.on->unanswered_calls > 0)
    {
        return wait_cause::worker_unresponsive;
    }
    return run.stop_wanted ? wait_cause::stop_pending : wait_cause::not_listed;
}

wait_cause
dispatcher::cause_without_run(time_point now, const jobs::job& job, const jobs::task_name& name) const
{
    if (retry_backoff_.is_backing_off(now, name))
    {
        return wait_cause::retry_backoff;
    }
    if (isolation_wait_since_.contains(name))
    {
        return wait_cause::isolation;
    }
    if (job.spec.steps[name.step].gang)
    {
        return wait_cause::gang_incomplete;
    }
    const bool blocked = blocked_steps_.contains({job.order, name.occurrence, name.step, true}) ||
                         blocked_steps_.contains({job.order, name.occurrence, name.step, false});
    return blocked ? wait_cause::no_worker : wait_cause::unplaced;
}

// Notes only the first of the step's tasks that have no run.
bool dispatcher::note_task_waits(time_point now,
                                 time_point unplaced_since,
                                 std::int64_t day_ms,
                                 const jobs::job& job,
                                 const jobs::occurrence& occurrence,
                                 std::uint32_t step,
                                 bool all_tracked)
{
    const duration since = milliseconds(day_ms - job.accepted_at_ms);
    const std::vector<jobs::task>& tasks = occurrence.steps[step].tasks;
    bool has_unplaced = false;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        const jobs::task& task = tasks[index];
        const jobs::task_name name{job.id, occurrence.number, step, index};
        for (const jobs::run& recorded : task.runs)
        {
            const jobs::run_name run{name, recorded.attempt};
            if (!all_tracked && find_run(run) == nullptr)
            {
                longest_waits_.note(
                    {run, wait_cause::untracked, since, recorded.worker, elapsed(leading_since_, now)});
                take_over_orphan(now, job, run, recorded);
            }
        }
        if (task.phase != jobs::task_phase::done && task.runs.empty() && !has_unplaced &&
            runs_of(name).count == 0)
        {
            has_unplaced = true;
            longest_waits_.note(
                {{name, 0}, cause_without_run(now, job, name), since, {}, elapsed(unplaced_since, now)});
        }
    }
    return has_unplaced;
}

} // namespace plumspoke::dispatch
