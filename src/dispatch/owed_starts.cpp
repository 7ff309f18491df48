/// @file
/// @brief Which steps are owed a start: what users are promised, as one condition.
///
/// A job that has nothing running for 3 s while a task of it could run and under half of its pool is in use
/// counts as stuck, and so does a lasting task for itself. Whatever holds a task back asks here whether it
/// may.

#include "ready_step.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

// The same in a pool that is mostly free. Leaves a second for the start.
constexpr auto owed_after = milliseconds(2000);
// Of a lasting task beside others of its job: its wait is noticed up to a second late, by the report of
// waits.
constexpr auto lasting_owed_after = milliseconds(1700);
// How long an order to start may take, until which its task counts as at work.
constexpr auto max_start_delay = milliseconds(1000);
// Workers list their runs about once a second.
constexpr auto max_confirmation_age = milliseconds(1500);

} // namespace

bool dispatcher::has_runs(const jobs::job& job) const
{
    const auto any = runs_.lower_bound({{job.id, 0, 0, 0}, 0});
    return any != runs_.end() && any->first.task.job == job.id;
}

job_activity dispatcher::activity_of(time_point now, const jobs::job& job, const ready_step* starting) const
{
    const auto is_starting_gang = [starting](const jobs::task_name& task)
    {
        return starting != nullptr && starting->spec->gang && task.step == starting->step &&
               task.occurrence == starting->at->number;
    };
    job_activity most = job_activity::idle;
    for (auto at = runs_.lower_bound({{job.id, 0, 0, 0}, 0});
         at != runs_.end() && at->first.task.job == job.id;
         ++at)
    {
        const run_view& run = at->second;
        if (is_starting_gang(run.name.task))
        {
            continue;
        }
        if (is_at_work(run) && run.on->unanswered_calls <= options_.max_unanswered_calls)
        {
            return job_activity::at_work;
        }
        const bool ordered = run.stage == run_stage::proposed || run.stage == run_stage::ordered;
        const time_point granted_at = std::max(run.added_at, run.granted_at);
        const bool may_begin = ordered && !run.stop_wanted && now < granted_at + max_start_delay;
        most = may_begin ? job_activity::starting : most;
    }
    return most;
}

// A job that was accepted under an earlier leader and never started has waited since then. Its age by the
// time of day alone isn't enough, since that may have stepped back.
duration dispatcher::idle_time_of(time_point now, std::int64_t day_ms, const jobs::job& job)
{
    const job_activity activity = activity_of(now, job);
    const duration idle = job_idle_times_.record(now, job.id, activity);
    const duration age = milliseconds(day_ms - job.accepted_at_ms);
    const bool never_started = !job.granted && job.spec.repeat_count == 0 && activity == job_activity::idle;
    return never_started && age > now - leading_since_ ? std::max(idle, age) : idle;
}

bool dispatcher::is_urgent(const ready_step& ready, std::int64_t day_ms) const
{
    const bool restarted = ready.spec->lasting && ready.job->granted;
    const bool old = milliseconds(day_ms - ready.job->accepted_at_ms) > urgent_after;
    return restarted || ready.idle >= urgent_after || (old && !has_runs(*ready.job));
}

bool dispatcher::is_owed(const ready_step& ready) const
{
    const bool waited = ready.idle >= owed_after ||
                        (ready.spec->lasting && wait_of(decided_at_, ready) >= lasting_owed_after);
    return waited && is_mostly_free(ready.job->source_queue.service);
}

// A filler's processors are not reserved, so that those of other fillers don't excuse its wait. Only one task
// of a job at a time, since all fillers of a worker get slower by it; and without a wait, or else a job of
// brief tasks would stand still between them for most of the time.
bool dispatcher::may_share_processors(time_point now, const ready_step& step) const
{
    const jobs::job& job = *step.job;
    if (!step.spec->filler || (step.spec->gang && !step.owed) || !is_mostly_free(job.source_queue.service) ||
        activity_of(now, job) != job_activity::idle)
    {
        return false;
    }
    for (auto at = runs_.lower_bound({{job.id, 0, 0, 0}, 0});
         at != runs_.end() && at->first.task.job == job.id;
         ++at)
    {
        const run_view& run = at->second;
        const bool may_be_listed = run.stage == run_stage::inherited && !run.stop_wanted &&
                                   now < run.added_at + max_confirmation_age;
        const bool leaves_room = run.stage == run_stage::ending && now < run.end_read_at + max_start_delay;
        if (may_be_listed || leaves_room)
        {
            return false; // of an earlier leader, or its processors are about to become free
        }
    }
    return true;
}

// The promise holds for each lasting task by itself.
duration dispatcher::wait_of(time_point now, const ready_step& ready) const
{
    const auto found = ready.spec->lasting
                           ? unplaced_since_.find({ready.job->id, ready.at->number, ready.step})
                           : unplaced_since_.end();
    return found == unplaced_since_.end()
               ? ready.idle
               : std::max(ready.idle, std::chrono::duration_cast<duration>(now - found->second));
}

bool dispatcher::is_mostly_free(const std::string& service) const
{
    const pool_headroom* pool = find_headroom(service);
    return pool != nullptr && 2 * (pool->used_milli - pool->without_effect_milli) < pool->available_milli;
}

// Such a run may reserve its worker's processors for as long as a late order may take.
bool dispatcher::is_without_effect(time_point now, const run_view& run) noexcept
{
    return !is_at_work(run) && now > std::max(run.confirmed_at, run.added_at) + max_confirmation_age;
}

void dispatcher::update_pool_use(time_point now)
{
    for (auto& [service, pool] : headroom_by_pool_)
    {
        pool.without_effect_milli = 0;
    }
    for (const auto& [name, run] : runs_)
    {
        if (!run.filler && is_without_effect(now, run) && run.on != nullptr && can_take_tasks(now, *run.on))
        {
            headroom_by_pool_[run.on->info.service].without_effect_milli += run.needs.cpu_milli;
        }
    }
}

} // namespace plumspoke::dispatch
