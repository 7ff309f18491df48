/// @file
/// @brief Which steps are ready, and in what order they have their turn.

#include "ready_step.hpp"

#include <algorithm>
#include <tuple>

namespace plumspoke::dispatch
{

namespace
{

// A job is worth something up to three times its objective: the users' rule for late work.
constexpr double late_factor = 3;
// A job with nothing running for so long takes any worker, also one that is set aside.
constexpr auto urgent_after = milliseconds(2000);
// A filler that would harm everywhere is placed after this: sooner it harms more than it earns.
constexpr auto starving_after = milliseconds(8000);

} // namespace

/// @brief How long a job's steps run one after the other, in ms.
struct dispatcher::chain_times
{
    double whole_ms = 0;
    double left_ms = 0; // of the steps that have not ended
};

double dispatcher::predict_step_ms(const jobs::job& of, std::uint32_t step) const
{
    const std::uint32_t estimate_ms = of.spec.steps[step].estimate_ms;
    return is_on(mechanism::predicted_lateness) ? task_times_.predict_ms(of.source_queue.name, estimate_ms)
                                                : estimate_ms;
}

dispatcher::chain_times dispatcher::predict_chain(const ready_step& of) const
{
    chain_times out; // steps mostly wait for the one before
    const double overhead_ms = stage_delays_.overhead_ms(of.kind());
    for (std::uint32_t step = 0; step < of.at->steps.size(); ++step)
    {
        const bool ended = of.at->steps[step].done == of.at->steps[step].tasks.size();
        const auto seen = ended ? steps_.find({of.job->id, step}) : steps_.end();
        const double took_ms = seen == steps_.end() ? 0 : seen->second->longest_ms;
        const double step_ms = took_ms > 0 ? took_ms : predict_step_ms(*of.job, step);
        out.whole_ms += step_ms;
        out.left_ms += ended ? 0 : step_ms + overhead_ms;
    }
    return out;
}

void dispatcher::rank(ready_step& of, std::int64_t day_ms) const
{
    const jobs::job& job = *of.job;
    const chain_times chain = predict_chain(of);
    const bool predicts = is_on(mechanism::predicted_lateness);
    const std::int64_t since = job.spec.repeat_count == 0
                                   ? job.accepted_at_ms
                                   : job.spec.first_due_ms + of.at->number * job.spec.interval_ms;
    const auto objective_ms = static_cast<std::int64_t>(job.source_queue.objective_factor * chain.whole_ms) +
                              job.source_queue.objective_extra_ms;
    const auto left_ms = predicts ? static_cast<std::int64_t>(chain.left_ms) : 0;
    of.deadline_ms = since + objective_ms - left_ms;
    const std::int64_t age_ms = day_ms - since + left_ms;
    if (of.spec->lasting || age_ms <= objective_ms)
    {
        of.worth = worth_class::in_time;
    }
    else
    {
        const bool late = static_cast<double>(age_ms) <= late_factor * static_cast<double>(objective_ms);
        of.worth = late ? worth_class::late : worth_class::hopeless;
    }
}

std::vector<dispatcher::ready_step> dispatcher::find_ready(std::int64_t day_ms, const jobs::store& state)
{
    const bool predicts = is_on(mechanism::predicted_lateness);
    const bool starves = is_on(mechanism::starving_fillers);
    std::vector<ready_step> ready;
    for (const auto& [accepted, job] : state.live())
    {
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
                ready_step found;
                found.job = job;
                found.at = &at;
                found.step = step;
                found.spec = &spec;
                found.image_id = interference_.number_of(spec.image);
                rank(found, day_ms);
                found.urgent = is_urgent(found, day_ms);
                found.regains = found.spec->lasting && has_lost_run(found);
                found.goes_first = found.urgent && (spec.lasting || !predicts);
                found.starving =
                    found.urgent && starves && day_ms > job->accepted_at_ms + starving_after.count();
                ready.push_back(found);
            }
        }
    }
    std::stable_sort(
        ready.begin(),
        ready.end(),
        [](const ready_step& left, const ready_step& right)
        {
            return std::tuple(
                       left.job->source_queue.priority, !left.goes_first, left.worth, left.deadline_ms) <
                   std::tuple(
                       right.job->source_queue.priority, !right.goes_first, right.worth, right.deadline_ms);
        });
    return ready;
}

// Most live steps have all their tasks running: nothing is to be placed there, so no task is looked up.
bool dispatcher::has_waiting(const jobs::step& of, const jobs::step_spec& spec) const
{
    const bool copies = spec.copies_allowed && !copy_wanted_.empty();
    return std::any_of(of.tasks.begin(),
                       of.tasks.end(),
                       [copies](const jobs::task& one)
                       {
                           return one.phase != jobs::task_phase::done && (copies || one.runs.empty());
                       });
}

bool dispatcher::has_lost_run(const ready_step& of)
{
    const std::vector<jobs::task>& tasks = of.state().tasks;
    return std::any_of(tasks.begin(),
                       tasks.end(),
                       [](const jobs::task& one)
                       {
                           return one.last_attempt > 0 && one.runs.empty();
                       });
}

bool dispatcher::has_runs(const jobs::job& of) const
{
    const auto any = runs_.lower_bound({{of.id, 0, 0, 0}, 0});
    return any != runs_.end() && any->first.task.job == of.id;
}

bool dispatcher::is_urgent(const ready_step& of, std::int64_t day_ms) const
{
    const bool restarted = of.spec->lasting && of.job->granted;
    return restarted || (!has_runs(*of.job) && day_ms > of.job->accepted_at_ms + urgent_after.count());
}

} // namespace plumspoke::dispatch
