/// @file
/// @brief Finds the steps that are ready and orders them.

#include "ready_step.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace plumspoke::dispatch
{

namespace
{

// Late jobs keep some value up to three times their objective, by the users' rule for late work.
constexpr double late_factor = 3;
// A filler that would cause harm on every worker is placed after this; earlier it would cost more than it
// gains.
constexpr auto starving_after = milliseconds(8000);

} // namespace

/// @brief Duration of a job's steps run in sequence, in ms.
struct dispatcher::chain_durations
{
    double total_ms = 0;
    double remaining_ms = 0; // of the steps that have not ended
};

double dispatcher::predict_step_ms(const jobs::job& job, std::uint32_t step) const
{
    const std::uint32_t estimate_ms = job.spec.steps[step].estimate_ms;
    return is_on(mechanism::predicted_lateness)
               ? duration_predictor_.predict_ms(job.source_queue.name, estimate_ms)
               : estimate_ms;
}

dispatcher::chain_durations dispatcher::predict_chain(const ready_step& ready) const
{
    chain_durations out; // assumes that each step waits for the previous one, as most do
    const double overhead_ms = stage_delays_.overhead_ms(ready.kind());
    for (std::uint32_t step = 0; step < ready.at->steps.size(); ++step)
    {
        const bool ended = ready.at->steps[step].done == ready.at->steps[step].tasks.size();
        const auto seen = ended ? steps_.find({ready.job->id, step}) : steps_.end();
        const double took_ms = seen == steps_.end() ? 0 : seen->second->longest_ms;
        const double step_ms = took_ms > 0 ? took_ms : predict_step_ms(*ready.job, step);
        out.total_ms += step_ms;
        out.remaining_ms += ended ? 0 : step_ms + overhead_ms;
    }
    return out;
}

void dispatcher::rank(ready_step& ready, std::int64_t day_ms) const
{
    const jobs::job& job = *ready.job;
    const chain_durations chain = predict_chain(ready);
    const bool predicts = is_on(mechanism::predicted_lateness);
    const std::int64_t since = job.spec.repeat_count == 0
                                   ? job.accepted_at_ms
                                   : job.spec.first_due_ms + ready.at->number * job.spec.interval_ms;
    const auto objective_ms = static_cast<std::int64_t>(job.source_queue.objective_factor * chain.total_ms) +
                              job.source_queue.objective_extra_ms;
    const auto remaining_ms = predicts ? static_cast<std::int64_t>(chain.remaining_ms) : 0;
    ready.deadline_ms = since + objective_ms - remaining_ms;
    const std::int64_t age_ms = day_ms - since + remaining_ms;
    if (ready.spec->lasting || age_ms <= objective_ms)
    {
        ready.lateness = lateness_class::in_time;
    }
    else
    {
        const bool late = static_cast<double>(age_ms) <= late_factor * static_cast<double>(objective_ms);
        ready.lateness = late ? lateness_class::late : lateness_class::hopeless;
    }
}

dispatcher::ready_step dispatcher::make_ready_step(
    std::int64_t day_ms, const jobs::job& job, const jobs::occurrence& at, std::uint32_t step, duration idle)
{
    ready_step made;
    made.job = &job;
    made.at = &at;
    made.step = step;
    made.spec = &job.spec.steps[step];
    made.image_id = interference_.number_of(made.spec->image);
    made.idle = idle;
    rank(made, day_ms);
    made.urgent = is_urgent(made, day_ms);
    made.owed = is_owed(made);
    made.restarts_lasting_task = made.spec->lasting && has_lost_run(made);
    made.takes_precedence = made.urgent && (made.spec->lasting || !is_on(mechanism::predicted_lateness));
    const bool waits_long =
        made.idle >= starving_after || (made.urgent && day_ms > job.accepted_at_ms + starving_after.count());
    made.starving = is_on(mechanism::starving_fillers) && (made.owed || waits_long);
    return made;
}

std::vector<dispatcher::ready_step>
dispatcher::find_ready_steps(time_point now, std::int64_t day_ms, const jobs::store& state)
{
    std::vector<ready_step> ready;
    job_idle_times_.begin_placement(considers_fillers_);
    for (const auto& [accepted, job] : state.live())
    {
        std::optional<duration> idle; // of the job
        for (const auto& [number, at] : job->occurrences)
        {
            for (std::uint32_t step = 0; step < at.steps.size(); ++step)
            {
                const jobs::step_spec& spec = job->spec.steps[step];
                if (spec.filler && !considers_fillers_)
                {
                    continue;
                }
                if (!has_waiting(at.steps[step], spec) || !job->is_ready(at, step))
                {
                    continue;
                }
                if (!idle.has_value())
                {
                    idle = idle_time_of(now, day_ms, *job);
                }
                ready.push_back(make_ready_step(day_ms, *job, at, step, *idle));
            }
        }
    }
    sort_by_precedence(ready);
    return ready;
}

// Answers a load of more work than fits. By deadline alone the steps of begun jobs compete with the first
// steps of all others, and each gets its workers at its latest start: all jobs are begun, few of them end in
// time, and the backlog keeps every later job at its limit as well. With begun jobs first, the surplus waits
// before its first task, and what is begun ends in time.
void dispatcher::sort_by_precedence(std::vector<ready_step>& ready) const
{
    const bool begun_first = is_on(mechanism::begun_jobs_first);
    const auto key = [begun_first](const ready_step& one)
    {
        const bool not_begun = begun_first && !one.job->granted;
        return std::tuple(
            one.job->source_queue.priority, !one.takes_precedence, one.lateness, not_begun, one.deadline_ms);
    };
    std::stable_sort(ready.begin(),
                     ready.end(),
                     [&key](const ready_step& left, const ready_step& right)
                     {
                         return key(left) < key(right);
                     });
}

// Most live steps have all their tasks running, so this check avoids a lookup per task.
bool dispatcher::has_waiting(const jobs::step& step, const jobs::step_spec& spec) const
{
    const bool copies = spec.copies_allowed && !copy_wanted_.empty();
    return std::any_of(step.tasks.begin(),
                       step.tasks.end(),
                       [copies](const jobs::task& one)
                       {
                           return one.phase != jobs::task_phase::done && (copies || one.runs.empty());
                       });
}

bool dispatcher::has_lost_run(const ready_step& ready)
{
    const std::vector<jobs::task>& tasks = ready.state().tasks;
    return std::any_of(tasks.begin(),
                       tasks.end(),
                       [](const jobs::task& one)
                       {
                           return one.last_attempt > 0 && one.runs.empty();
                       });
}

} // namespace plumspoke::dispatch
