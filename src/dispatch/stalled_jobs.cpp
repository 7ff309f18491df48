/// @file
/// @brief Logs the jobs that stand still in a pool that is mostly free, with the reason of each worker.
///
/// Counts the runs that workers list, not those that were ordered. Users are promised that no job stands
/// still while nothing fails.

#include "ready_step.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

constexpr auto stalled_after = seconds(3);
constexpr auto lasting_task_stalled_after = seconds(6); // beside other tasks of its job
constexpr std::size_t max_reported = 16;                // lines per report
constexpr std::int64_t unlimited = std::numeric_limits<std::int32_t>::max();

std::int64_t times_within(std::int64_t needed, std::int64_t free)
{
    return needed <= 0 ? unlimited : std::max<std::int64_t>(free / needed, 0);
}

} // namespace

struct dispatcher::stalled_task
{
    ready_step step;
    std::uint32_t index = 0;
    duration idle{}; // of its job; of a lasting task whose job runs, its own
};

void dispatcher::report_stalled_jobs(time_point now, std::int64_t day_ms, const jobs::store& state)
{
    std::vector<stalled_task> stalled;
    note_used_pools(now);
    for (const auto& [accepted, job] : state.live())
    {
        if (!is_mostly_free(job->source_queue.service))
        {
            continue;
        }
        if (std::optional<stalled_task> found = find_stalled_task(now, day_ms, *job); found.has_value())
        {
            stalled.push_back(*found);
        }
    }
    const auto reported = static_cast<std::ptrdiff_t>(std::min(stalled.size(), max_reported));
    std::partial_sort(stalled.begin(),
                      stalled.begin() + reported,
                      stalled.end(),
                      [](const stalled_task& left, const stalled_task& right)
                      {
                          return left.idle > right.idle;
                      });
    for (std::ptrdiff_t i = 0; i < reported; ++i)
    {
        logging::event line = describe(now, stalled[static_cast<std::size_t>(i)]);
        line.with("stalled_jobs", static_cast<std::int64_t>(stalled.size()));
        events_.push_back(std::move(line));
    }
}

time_point dispatcher::unlisted_since(time_point now, std::int64_t day_ms, const jobs::job& job)
{
    for (auto at = runs_.lower_bound({{job.id, 0, 0, 0}, 0});
         at != runs_.end() && at->first.task.job == job.id;
         ++at)
    {
        if (was_confirmed(at->second))
        {
            listed_runs_.record(job.id, at->second.confirmed_at);
        }
    }
    const time_point listed = listed_runs_.last_listed(job.id, now);
    const time_point accepted = now - milliseconds(day_ms - job.accepted_at_ms);
    const bool never_started = !job.granted && job.spec.repeat_count == 0;
    return never_started && accepted < leading_since_ ? std::min(listed, accepted) : listed;
}

// A wait counts from when all of the promise's conditions hold.
void dispatcher::note_used_pools(time_point now)
{
    for (auto& [service, pool] : headroom_by_pool_)
    {
        pool.reported_mostly_used_at = is_mostly_free(service) ? pool.reported_mostly_used_at : now;
    }
}

time_point
dispatcher::due_since(time_point now, std::int64_t day_ms, const jobs::job& job, std::uint32_t occurrence)
{
    const std::int64_t due_ms = job.spec.first_due_ms + occurrence * job.spec.interval_ms;
    return job.spec.repeat_count == 0 ? time_point{} : now - milliseconds(day_ms - due_ms);
}

std::optional<dispatcher::stalled_task>
dispatcher::find_stalled_task(time_point now, std::int64_t day_ms, const jobs::job& job)
{
    const pool_headroom* pool = find_headroom(job.source_queue.service);
    const time_point unlisted = std::max(unlisted_since(now, day_ms, job), pool->reported_mostly_used_at);
    for (const auto& [number, at] : job.occurrences)
    {
        const auto idle = std::chrono::duration_cast<duration>(
            now - std::max(unlisted, due_since(now, day_ms, job, number)));
        for (std::uint32_t step = 0; step < at.steps.size(); ++step)
        {
            const auto unplaced = unplaced_since_.find({job.id, number, step});
            const bool lasting = job.spec.steps[step].lasting && unplaced != unplaced_since_.end();
            const duration own =
                lasting ? std::chrono::duration_cast<duration>(now - unplaced->second) : duration{};
            if ((idle < stalled_after && own < lasting_task_stalled_after) || !job.is_ready(at, step))
            {
                continue;
            }
            const std::vector<jobs::task>& tasks = at.steps[step].tasks;
            const auto waiting = std::find_if(tasks.begin(),
                                              tasks.end(),
                                              [idle](const jobs::task& one)
                                              {
                                                  const bool open = one.phase != jobs::task_phase::done;
                                                  return open && (idle >= stalled_after || one.runs.empty());
                                              });
            if (waiting == tasks.end())
            {
                continue;
            }
            stalled_task found{make_ready_step(day_ms, job, at, step, idle),
                               static_cast<std::uint32_t>(waiting - tasks.begin()),
                               std::max(idle, own)};
            if (fits_twice(now, found.step))
            {
                return found;
            }
        }
    }
    return std::nullopt;
}

bool dispatcher::fits_twice(time_point now, const ready_step& step)
{
    const jobs::step_spec& spec = *step.spec;
    const std::int64_t wanted = 2 * static_cast<std::int64_t>(spec.gang ? spec.task_count : 1);
    std::int64_t places = 0;
    for (const worker_view* worker : all_workers())
    {
        const std::vector<std::string>& labels = worker->info.labels;
        const bool has_label = spec.required_label.empty() ||
                               std::find(labels.begin(), labels.end(), spec.required_label) != labels.end();
        if (worker->info.service != step.job->source_queue.service || !has_label ||
            !can_take_tasks(now, *worker))
        {
            continue;
        }
        jobs::resources free = worker->info.room;
        free -= worker->used;
        const std::int64_t cpu_milli = spec.filler ? 0 : spec.needs.cpu_milli; // not counted against the room
        const std::int64_t allowed =
            spec.max_per_worker == 0
                ? unlimited
                : std::max<std::int64_t>(std::int64_t{spec.max_per_worker} - count_step_runs(*worker, step),
                                         0);
        places += std::min({times_within(cpu_milli, free.cpu_milli),
                            times_within(spec.needs.memory_mb, free.memory_mb),
                            times_within(spec.needs.accelerators, free.accelerators),
                            allowed});
        if (places >= wanted)
        {
            return true;
        }
    }
    return false;
}

wait_cause dispatcher::cause_of_stall(time_point now, const jobs::job& job, const jobs::task_name& name) const
{
    const auto run = runs_.lower_bound({name, 0});
    const bool has_run = run != runs_.end() && run->first.task == name;
    return has_run ? cause_of(run->second) : cause_without_run(now, job, name);
}

std::int64_t dispatcher::isolation_wait_ms(time_point now, const jobs::task_name& name) const
{
    const auto waiting = isolation_wait_since_.find(name);
    return waiting == isolation_wait_since_.end()
               ? 0
               : std::chrono::duration_cast<milliseconds>(now - waiting->second).count();
}

logging::event dispatcher::describe(time_point now, const stalled_task& task)
{
    const jobs::job& job = *task.step.job;
    const jobs::task_name name = task.step.task(task.index);
    const jobs::task& recorded = task.step.state().tasks[task.index];
    logging::event line("dispatch", "job_stalled", "A job that could run has had nothing running for 3 s.");
    line.with("job", job.id)
        .with("occurrence", name.occurrence)
        .with("step", name.step)
        .with("index", name.index)
        .with("attempt", recorded.last_attempt)
        .with("idle_ms", std::chrono::duration_cast<milliseconds>(task.idle).count())
        .with("term_age_ms", std::chrono::duration_cast<milliseconds>(now - leading_since_).count())
        .with("cause", to_string(cause_of_stall(now, job, name)))
        .with("granted", job.granted ? 1 : 0)
        .with("crashes", recorded.evidence.crashes)
        .with("blamed", recorded.evidence.blamed)
        .with("isolation_ms", isolation_wait_ms(now, name))
        .with("worth", static_cast<std::int64_t>(task.step.lateness))
        .with("owed", task.step.owed ? 1 : 0);
    add_wait_reasons(now, task.step, task.index, line);
    return line;
}

} // namespace plumspoke::dispatch
