/// @file
/// @brief Which tasks have waited longest, and for what: told once a second, so that a wait without an end is
/// seen
///        whatever its cause.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

constexpr auto report_interval = seconds(1);
constexpr std::int64_t overdue_cancel_ms = 1500;
constexpr std::int64_t never = -1; // for log lines

hold_cause cause_of(const run_view& of)
{
    switch (of.stage)
    {
    case run_stage::proposed:
        return hold_cause::record_under_way;
    case run_stage::ordered:
    case run_stage::inherited:
        return hold_cause::start_unheard;
    case run_stage::ending:
        return hold_cause::end_under_way;
    case run_stage::running:
        break;
    }
    if (of.on->unanswered_calls > 0)
    {
        return hold_cause::worker_silent;
    }
    return of.stop_wanted ? hold_cause::stop_under_way : hold_cause::not_listed;
}

std::size_t count_recorded(const jobs::job& of)
{
    std::size_t count = 0;
    for (const auto& [number, at] : of.occurrences)
    {
        for (const jobs::step& in : at.steps)
        {
            for (const jobs::task& one : in.tasks)
            {
                count += one.runs.size();
            }
        }
    }
    return count;
}

} // namespace

void dispatcher::note_held_run(time_point now, const run_view& of)
{
    const auto since = std::chrono::duration_cast<duration>(now - std::max(of.added_at, of.confirmed_at));
    if (held_tasks::is_long(since))
    {
        held_.note({of.name, cause_of(of), since, of.worker});
    }
}

void dispatcher::watch_held(time_point now, std::int64_t day_ms, const jobs::store& state)
{
    if (now < next_held_report_at_)
    {
        return;
    }
    next_held_report_at_ = now + report_interval;
    for (const auto& [accepted, job] : state.live())
    {
        const bool all_followed = count_recorded(*job) <= count_followed(*job);
        for (const auto& [number, at] : job->occurrences)
        {
            for (std::uint32_t step = 0; step < at.steps.size(); ++step)
            {
                if (job->is_ready(at, step))
                {
                    note_held_tasks(now, day_ms, *job, at, step, all_followed);
                }
            }
        }
    }
    for (logging::event& one : held_.take_report())
    {
        events_.push_back(std::move(one));
    }
    report_overdue_cancels(now, day_ms, state);
}

// One run stands for all of its job.
void dispatcher::report_overdue_cancels(time_point now, std::int64_t day_ms, const jobs::store& state)
{
    const auto age_ms = [now](time_point at)
    {
        return at == time_point{} ? never : std::chrono::duration_cast<milliseconds>(now - at).count();
    };
    for (const auto& [id, cancelled_at_ms] : cancelled_at_ms_)
    {
        const auto at = runs_.lower_bound({{id, 0, 0, 0}, 0});
        const bool followed = at != runs_.end() && at->first.task.job == id;
        if (day_ms < cancelled_at_ms + overdue_cancel_ms || !state.ended_with_runs().contains(id))
        {
            continue;
        }
        logging::event line(
            "dispatch", "cancel_overdue", "A cancelled job has a run that is not known to be over.");
        line.with("job", id)
            .with("cancel_age_ms", day_ms - cancelled_at_ms)
            .with("term_age_ms", age_ms(leading_since_))
            .with("followed", followed ? 1 : 0);
        if (followed)
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

std::size_t dispatcher::count_followed(const jobs::job& of) const
{
    std::size_t count = 0;
    for (auto at = runs_.lower_bound({{of.id, 0, 0, 0}, 0}); at != runs_.end() && at->first.task.job == of.id;
         ++at)
    {
        count += at->second.stage == run_stage::proposed ? 0 : 1;
    }
    return count;
}

// A run on record that nobody follows would never end, whatever it came by.
void dispatcher::take_over_orphan(time_point now,
                                  const jobs::job& of,
                                  const jobs::run_name& name,
                                  const jobs::run& run)
{
    take_over(now, of, name.task, std::span(&run, 1));
    events_.push_back(logging::event("dispatch", "run_taken_over", "A run on record was followed by nobody.")
                          .with("job", name.task.job)
                          .with("step", name.task.step)
                          .with("index", name.task.index)
                          .with("attempt", name.attempt)
                          .with("worker", run.worker.id)
                          .with("born_ms", run.worker.born_ms));
}

// Of the tasks of a step that have no run one stands for all.
void dispatcher::note_held_tasks(time_point now,
                                 std::int64_t day_ms,
                                 const jobs::job& of,
                                 const jobs::occurrence& at,
                                 std::uint32_t step,
                                 bool all_followed)
{
    const duration since = milliseconds(day_ms - of.accepted_at_ms);
    const std::vector<jobs::task>& tasks = at.steps[step].tasks;
    bool has_unplaced = false;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        const jobs::task& one = tasks[index];
        const jobs::task_name name{of.id, at.number, step, index};
        for (const jobs::run& recorded : one.runs)
        {
            const jobs::run_name run{name, recorded.attempt};
            if (!all_followed && find_run(run) == nullptr)
            {
                held_.note({run, hold_cause::no_view, since, recorded.worker});
                take_over_orphan(now, of, run, recorded);
            }
        }
        if (one.phase != jobs::task_phase::done && one.runs.empty() && !has_unplaced &&
            runs_of(name).count == 0)
        {
            has_unplaced = true;
            const bool paused = retry_backoff_.is_backing_off(now, name);
            held_.note({{name, 0}, paused ? hold_cause::retry_pause : hold_cause::not_placed, since, {}});
        }
    }
}

} // namespace plumspoke::dispatch
