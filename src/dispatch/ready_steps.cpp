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
// A filler that would harm everywhere is placed after this; with 2 s the worth of a calm day of 66 workers
// fell from 0.844 to 0.609.
constexpr auto starving_after = milliseconds(8000);

} // namespace

void dispatcher::rank(ready_step& of, std::int64_t day_ms) const
{
    const jobs::job& job = *of.job;
    std::int64_t chain_ms = 0;
    for (const jobs::step_spec& spec : job.spec.steps)
    {
        chain_ms += spec.estimate_ms; // steps mostly wait for the one before
    }
    const std::int64_t since = job.spec.repeat_count == 0
                                   ? job.accepted_at_ms
                                   : job.spec.first_due_ms + of.at->number * job.spec.interval_ms;
    const auto objective_ms =
        static_cast<std::int64_t>(job.taken_from.objective_factor * static_cast<double>(chain_ms)) +
        job.taken_from.objective_extra_ms;
    of.deadline_ms = since + objective_ms;
    const std::int64_t age_ms = day_ms - since;
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
    std::vector<ready_step> ready;
    for (const auto& [accepted, job] : state.live())
    {
        for (const auto& [number, at] : job->occurrences)
        {
            for (std::uint32_t step = 0; step < at.steps.size(); ++step)
            {
                const jobs::step_spec& spec = job->spec.steps[step];
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
                found.starving = found.urgent && day_ms > job->accepted_at_ms + starving_after.count();
                ready.push_back(found);
            }
        }
    }
    std::stable_sort(
        ready.begin(),
        ready.end(),
        [](const ready_step& left, const ready_step& right)
        {
            return std::tuple(left.job->taken_from.priority, !left.urgent, left.worth, left.deadline_ms) <
                   std::tuple(right.job->taken_from.priority, !right.urgent, right.worth, right.deadline_ms);
        });
    return ready;
}

// Most live steps have all their tasks running: nothing is to be placed there, and looking it up for each
// task was a tenth of a leader's processor time at 490 workers.
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

bool dispatcher::is_urgent(const ready_step& of, std::int64_t day_ms) const
{
    const jobs::run_name first{{of.job->id, 0, 0, 0}, 0};
    const auto any = runs_.lower_bound(first);
    const bool has_runs = any != runs_.end() && any->first.task.job == of.job->id;
    const bool restarted = of.spec->lasting && of.job->granted;
    return restarted || (!has_runs && day_ms > of.job->accepted_at_ms + urgent_after.count());
}

} // namespace plumspoke::dispatch
