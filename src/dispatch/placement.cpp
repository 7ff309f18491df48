/// @file
/// @brief Decides which waiting tasks start in a round and on which workers.

#include "plumspoke/metrics/thread_meter.hpp"
#include "ready_step.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::size_t max_copies = 2; // the store accepts no more
// Starts beyond a decision's limit, for jobs that have had no task running for long.
constexpr std::size_t extra_urgent_starts = 4;
constexpr std::size_t min_filler_share_divisor = 4;
// A blocked step checks only workers that have changed since, and all of them at this interval: some
// conditions expire without a change, such as the pause of 150 ms after a rejected start or the seconds for
// which a worker is set aside.
constexpr auto full_rescan_interval = milliseconds(200);
constexpr auto report_interval = seconds(1); // matches the interval of the control loop's own report

} // namespace

void dispatcher::begin_placement(time_point now)
{
    update_set_aside_limit(now);
    ++placements_;
    reserved_worker_count_ = 0;
    index_.clear();
    granted_.clear();
    for (worker_view* worker : all_workers())
    {
        worker->reserved = false;
        worker->granted = false;
    }
    considers_fillers_ = now >= next_filler_placement_at_;
}

void dispatcher::place(time_point now, std::int64_t day_ms, const jobs::store& state, jobs::round& round)
{
    const metrics::scoped_loop_part placing(metrics::loop_part::place);
    begin_placement(now);
    const std::vector<ready_step> ready = find_ready_steps(now, day_ms, state);
    const std::size_t max_starts = std::min(options_.max_starts_per_round, overload_.starts_allowed());
    const std::array<std::size_t, work_kind_count> limits = compute_start_limits(max_starts, ready);
    update_min_filler_cpu(ready);
    update_short_task_demand(now, ready);
    std::vector<const ready_step*> over_limit;
    const auto place_within = [&](const ready_step& step, std::size_t limit)
    {
        if (!place_within_limit(now, step, limit, round))
        {
            over_limit.push_back(&step);
        }
    };
    std::vector<const ready_step*> limited_lasting;
    // Starts that short tasks leave unused go to lasting tasks before fillers.
    const auto place_limited_lasting = [&]
    {
        for (const ready_step* step : std::exchange(limited_lasting, {}))
        {
            place_within(*step, max_starts);
        }
    };
    for (const ready_step& step : ready)
    {
        const std::size_t limit = limits.at(static_cast<std::size_t>(step.kind()));
        if (step.spec->lasting && limit < max_starts)
        {
            if (round.starts.size() < limit)
            {
                (void)place_within_limit(now, step, limit, round);
            }
            if (round.starts.size() >= limit)
            {
                limited_lasting.push_back(&step);
            }
            continue;
        }
        if (step.spec->filler)
        {
            place_limited_lasting();
        }
        place_within(step, limit);
    }
    place_limited_lasting();
    place_beyond_limits(now, over_limit, round);
    const bool all_within_limits = over_limit.empty();
    count_placement(all_within_limits, max_starts, limits);
    report_placements(now, ready);
    if (!all_within_limits)
    {
        capacity_changed_ = true; // the remaining steps are placed in the next round
        blocked_steps_.clear();   // steps that were not tried have outdated entries
        return;
    }
    if (considers_fillers_)
    {
        erase_unblocked_steps();
    }
}

bool dispatcher::place_within_limit(time_point now,
                                    const ready_step& step,
                                    std::size_t limit,
                                    jobs::round& round)
{
    if (round.starts.size() >= limit)
    {
        ++window_.of(step.kind()).steps_over_limit;
        return false;
    }
    starts_limit_ = limit;
    place_step(now, step, round);
    return true;
}

// An overloaded leader would starve low priorities for as long as tasks of higher ones arrive, and fillers
// for as long as short tasks use their share of the starts. By waiting time each step gets its turn.
void dispatcher::place_beyond_limits(time_point now,
                                     std::span<const ready_step* const> steps,
                                     jobs::round& round)
{
    std::vector<std::pair<duration, const ready_step*>> waiting;
    for (const ready_step* step : steps)
    {
        if (step->urgent)
        {
            waiting.emplace_back(wait_of(now, *step), step);
        }
    }
    const auto shorter = [](const auto& left, const auto& right)
    {
        return left.first < right.first;
    };
    std::make_heap(waiting.begin(), waiting.end(), shorter); // cheaper than sorting all for a few starts
    const std::size_t limit = round.starts.size() + extra_urgent_starts;
    while (!waiting.empty() && round.starts.size() < limit)
    {
        std::pop_heap(waiting.begin(), waiting.end(), shorter);
        starts_limit_ = round.starts.size() + 1;
        place_step(now, *waiting.back().second, round);
        waiting.pop_back();
    }
}

// Lasting tasks that lost their worker are placed first. There may be thousands of them, and short tasks
// would be late behind them, so up to half of the starts stay free for short ones. Starts of fillers add to
// the overhead of short tasks in the following decisions. Fillers get fewer starts when that overhead exceeds
// the constant part of the strictest short job's latency objective.
std::array<std::size_t, work_kind_count>
dispatcher::compute_start_limits(std::size_t all, std::span<const ready_step> ready) const
{
    std::size_t short_tasks = 0;
    double allowed_ms = std::numeric_limits<double>::infinity();
    for (const ready_step& step : ready)
    {
        if (step.kind() == work_kind::short_task && step.lateness != lateness_class::hopeless)
        {
            short_tasks += step.count_waiting();
            allowed_ms = std::min<double>(allowed_ms, step.job->source_queue.objective_extra_ms);
        }
    }
    const double overhead_ms = stage_delays_.overhead_ms(work_kind::short_task);
    const double share = overhead_ms > allowed_ms ? allowed_ms / overhead_ms : 1;
    const auto filler_starts = static_cast<std::size_t>(static_cast<double>(all) * share);
    std::array<std::size_t, work_kind_count> limits{};
    limits.at(static_cast<std::size_t>(work_kind::lasting)) = all - std::min(all / 2, short_tasks);
    limits.at(static_cast<std::size_t>(work_kind::short_task)) = all;
    limits.at(static_cast<std::size_t>(work_kind::filler)) =
        std::max(filler_starts, all / min_filler_share_divisor);
    return limits;
}

void dispatcher::count_placement(bool all_within_limits,
                                 std::size_t max_starts,
                                 std::span<const std::size_t, work_kind_count> limits)
{
    const std::int64_t limited = all_within_limits ? 0 : 1;
    ++window_.placements;
    window_.limited += limited;
    window_.with_fillers += considers_fillers_ ? 1 : 0;
    window_.limited_with_fillers += considers_fillers_ ? limited : 0;
    window_.max_starts = max_starts;
    window_.max_filler_starts = limits[static_cast<std::size_t>(work_kind::filler)];
}

void dispatcher::report_placements(time_point now, std::span<const ready_step> ready)
{
    if (now < next_placement_report_at_ || !considers_fillers_)
    {
        return;
    }
    next_placement_report_at_ = now + report_interval;
    count_waiting(ready);
    logging::event line = window_.to_event();
    add_headroom_fields(line);
    events_.push_back(std::move(line));
    window_ = {};
    events_.push_back(stage_delays_.to_event());
    stage_delays_.clear();
}

void dispatcher::count_waiting(std::span<const ready_step> ready)
{
    for (const ready_step& step : ready)
    {
        kind_counts& counts = window_.of(step.kind());
        ++counts.steps_ready;
        counts.steps_late += step.lateness == lateness_class::late ? 1 : 0;
        counts.steps_hopeless += step.lateness == lateness_class::hopeless ? 1 : 0;
        counts.tasks_waiting += static_cast<std::int64_t>(step.count_waiting());
    }
}

void dispatcher::erase_unblocked_steps()
{
    std::erase_if(blocked_steps_,
                  [this](const auto& entry)
                  {
                      return entry.second.placement != placements_;
                  });
}

bool dispatcher::needs_run(const ready_step& step, const waiting_task& task) const
{
    const jobs::task& recorded = step.state().tasks[task.name.index];
    // A copy of a task that crashes its worker would crash a second worker.
    const bool wants_copy =
        step.spec->copies_allowed && copy_wanted_.contains(task.name) && !is_suspect(recorded.evidence);
    if (recorded.phase == jobs::task_phase::done || (!wants_copy && !recorded.runs.empty()))
    {
        return false;
    }
    return task.runs.count < (wants_copy ? max_copies : 1);
}

dispatcher::task_runs dispatcher::runs_of(const jobs::task_name& name) const
{
    task_runs found;
    for (auto entry = runs_.lower_bound({name, 0}); entry != runs_.end() && entry->first.task == name;
         ++entry)
    {
        found.first_worker = found.count == 0 ? entry->second.on : found.first_worker;
        ++found.count;
        found.last_attempt = entry->first.attempt;
    }
    return found;
}

void dispatcher::place_step(time_point now, const ready_step& step, jobs::round& round)
{
    if (step.spec->gang)
    {
        place_gang(now, step, round);
        return;
    }
    const std::size_t before = round.starts.size();
    place_waiting_tasks(now, step, false, round);
    place_waiting_tasks(now, step, true, round);
    if (round.starts.size() > before)
    {
        const jobs::run_started& first = round.starts[before];
        const auto count = static_cast<std::int64_t>(round.starts.size() - before);
        kind_counts& counts = window_.of(step.kind());
        counts.granted_late += step.lateness == lateness_class::late ? count : 0;
        counts.granted_hopeless += step.lateness == lateness_class::hopeless ? count : 0;
        const duration queued = queueing_time(now, round.at_ms, step);
        for (std::size_t i = before; i < round.starts.size(); ++i)
        {
            if (round.starts[i].name.attempt == 1)
            {
                stage_delays_.record(step.kind(), task_stage::queued, queued);
            }
        }
        events_.push_back(
            logging::event("dispatch", "tasks_granted", "Tasks of a step were assigned to workers.")
                .with("job", step.job->id)
                .with("step", step.step)
                .with("tasks", count)
                .with("first_worker", first.worker.id)
                .with("first_worker_born_ms", first.worker.born_ms)
                .with("first_attempt", first.name.attempt)
                .with("worth", static_cast<std::int64_t>(step.lateness)));
    }
}

duration dispatcher::queueing_time(time_point now, std::int64_t day_ms, const ready_step& step) const
{
    const jobs::job& job = *step.job;
    const std::int64_t since_ms = job.spec.repeat_count == 0
                                      ? job.accepted_at_ms
                                      : job.spec.first_due_ms + step.at->number * job.spec.interval_ms;
    duration waited = milliseconds(std::max<std::int64_t>(day_ms - since_ms, 0));
    for (const std::uint32_t before : step.spec->after)
    {
        const auto stats = steps_.find({job.id, before});
        if (stats != steps_.end() && stats->second->last_end_at != time_point{})
        {
            waited = std::min(waited, std::chrono::duration_cast<duration>(now - stats->second->last_end_at));
        }
    }
    return waited;
}

void dispatcher::place_waiting_tasks(time_point now,
                                     const ready_step& step,
                                     bool first_start,
                                     jobs::round& round)
{
    const std::vector<jobs::task>& tasks = step.state().tasks;
    const step_id id{step.job->order, step.at->number, step.step, first_start};
    std::optional<std::vector<candidate>> candidates; // shared by all tasks of the step, which are alike
    waiting_task task{step.task(0), {}};
    start_kind start = first_start ? start_kind::first : start_kind::restart;
    const auto update_candidates = [&](std::size_t wanted)
    {
        const auto blocked = blocked_steps_.find(id);
        const bool known = blocked != blocked_steps_.end() && now < blocked->second.full_rescan_at &&
                           (start != start_kind::shared_processors || blocked->second.tried_sharing);
        candidates = find_candidates(now, step, start, known ? blocked->second.changes : 0, wanted);
    };
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        if (round.starts.size() >= starts_limit_)
        {
            capacity_changed_ = true; // the remaining tasks of the step are placed in the next round
            return;
        }
        const bool may_need_run = !tasks[index].runs.empty() ? step.spec->copies_allowed
                                                             : tasks[index].phase != jobs::task_phase::done;
        if ((tasks[index].last_attempt == 0) != first_start || !may_need_run)
        {
            continue; // the record alone rules the task out, so its runs need no lookup
        }
        task.name.index = index;
        task.runs = runs_of(task.name);
        if (!needs_run(step, task) || retry_backoff_.is_backing_off(now, task.name))
        {
            continue;
        }
        const bool shares = !candidates.has_value() && may_share_processors(now, step);
        if (shares)
        {
            start = start_kind::shared_processors;
        }
        if (!candidates.has_value())
        {
            update_candidates(shares ? 1 : tasks.size() - index);
        }
        const bool wants_copy = step.spec->copies_allowed && copy_wanted_.contains(task.name);
        placement_result result = place_task(step, task, start, *candidates, now, round);
        if (result == placement_result::no_worker && start == start_kind::restart && step.spec->lasting)
        {
            start =
                start_kind::restart_anywhere; // a restart takes precedence over the headroom for short tasks
            update_candidates(tasks.size() - index);
            result = place_task(step, task, start, *candidates, now, round);
        }
        if (shares)
        {
            start = first_start ? start_kind::first : start_kind::restart;
            candidates.reset(); // the step's other tasks find other workers
        }
        if (result != placement_result::no_worker || wants_copy)
        {
            continue;
        }
        blocked_step& blocked = blocked_steps_[id];
        blocked.changes = changes_;
        blocked.tried_sharing = shares;
        blocked.full_rescan_at =
            now < blocked.full_rescan_at ? blocked.full_rescan_at : now + full_rescan_interval;
        blocked.placement = placements_;
        ++window_.of(step.kind()).steps_without_worker;
        log_wait_reasons(now, step, index);
        if (step.restarts_lasting_task && !first_start)
        {
            reserve_workers(now, step, static_cast<std::uint32_t>(tasks.size()) - index);
        }
        return; // the step's other tasks are alike and would find no worker either
    }
}

dispatcher::placement_result dispatcher::place_task(const ready_step& step,
                                                    const waiting_task& task,
                                                    start_kind start,
                                                    std::vector<candidate>& candidates,
                                                    time_point now,
                                                    jobs::round& round)
{
    const jobs::task& recorded = step.state().tasks[task.name.index];
    worker_view* worker = choose_worker(now, step, task, start, {}, candidates);
    if (worker == nullptr)
    {
        return placement_result::no_worker;
    }
    if (is_suspect(recorded.evidence) && waits_for_isolation(now, task.name, *worker))
    {
        return placement_result::waits_for_isolation;
    }
    if (step.spec->copies_allowed && copy_wanted_.erase(task.name) > 0)
    {
        ++counts_.copies;
    }
    // The state doesn't contain the attempt number of a run whose record is not committed yet.
    const std::uint32_t last = std::max(recorded.last_attempt, task.runs.last_attempt);
    grant(now, step, task.name.index, last + 1, *worker, round);
    // Only the score and eligibility of the chosen worker have changed.
    const auto chosen = std::find_if(candidates.begin(),
                                     candidates.end(),
                                     [worker](const candidate& entry)
                                     {
                                         return entry.worker == worker;
                                     });
    if (check_eligibility(now, *worker, step, start) == eligibility::eligible)
    {
        chosen->score = score_worker(*worker, step, start);
    }
    else
    {
        candidates.erase(chosen);
    }
    return placement_result::placed;
}

void dispatcher::place_gang(time_point now, const ready_step& step, jobs::round& round)
{
    const std::vector<jobs::task>& tasks = step.state().tasks;
    std::uint32_t attempt = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        if (runs_of(step.task(index)).count > 0 || retry_backoff_.is_backing_off(now, step.task(index)))
        {
            return; // a gang restarts only after all runs of its previous attempt have ended
        }
        attempt = std::max(attempt, tasks[index].last_attempt);
    }
    if (!place_members(now, step, attempt + 1, false, round) && may_share_processors(now, step))
    {
        place_members(now, step, attempt + 1, true, round);
    }
}

bool dispatcher::place_members(
    time_point now, const ready_step& step, std::uint32_t attempt, bool shares_processors, jobs::round& round)
{
    const std::vector<jobs::task>& tasks = step.state().tasks;
    const std::size_t starts_before = round.starts.size();
    std::string rack;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        const start_kind own_processors =
            tasks[index].last_attempt == 0 ? start_kind::first : start_kind::restart_anywhere;
        const start_kind start = shares_processors ? start_kind::shared_processors : own_processors;
        const waiting_task task{step.task(index), {}};
        worker_view* worker = choose_worker(now, step, task, start, rack, scan_all_workers(now, step, start));
        if (worker == nullptr)
        {
            while (round.starts.size() > starts_before)
            {
                remove_run(round.starts.back().name);
                round.starts.pop_back();
            }
            return false;
        }
        if (step.spec->single_rack && rack.empty())
        {
            rack = worker->info.rack;
        }
        grant(now, step, index, attempt, *worker, round);
    }
    return true;
}

void dispatcher::grant(time_point now,
                       const ready_step& step,
                       std::uint32_t index,
                       std::uint32_t attempt,
                       worker_view& worker,
                       jobs::round& round)
{
    run_view added = make_run_view({step.task(index), attempt}, worker.info.life, *step.job);
    added.granted_at = now;
    kind_counts& counts = window_.of(step.kind());
    ++counts.granted;
    counts.granted_restarts += attempt > 1 ? 1 : 0;
    round.starts.push_back({added.name, worker.info.life, worker.info.address});
    add_run(std::move(added));
    if (!worker.granted)
    {
        worker.granted = true;
        granted_.push_back(&worker);
    }
}

} // namespace plumspoke::dispatch
