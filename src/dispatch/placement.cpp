/// @file
/// @brief Which tasks are granted in a round.

#include "plumspoke/metrics/thread_meter.hpp"
#include "ready_step.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::size_t max_copies = 2; // as the store allows
// Starts of a decision beyond its limit, for jobs that have had nothing running for long.
constexpr std::size_t extra_urgent_starts = 4;
constexpr std::size_t min_filler_share_divisor = 4;
// A step that found no room asks only workers that have changed since, and all of them again after this: for
// what changes with time alone (a pause after a refusal of 150 ms, a worker that was set aside for seconds).
constexpr auto whole_look_interval = milliseconds(200);
constexpr auto report_interval = seconds(1); // as the loop's own line

} // namespace

void dispatcher::begin_placement(time_point now)
{
    note_set_aside_share(now);
    ++placements_;
    held_count_ = 0;
    index_.clear();
    granted_.clear();
    for (worker_view* of : all_workers())
    {
        of->held = false;
        of->granted = false;
    }
    considers_fillers_ = now >= next_filler_placement_at_;
    extra_starts_ = extra_urgent_starts;
}

void dispatcher::place(time_point now, std::int64_t day_ms, const jobs::store& state, jobs::round& into)
{
    const metrics::measured_part placing(metrics::loop_part::place);
    begin_placement(now);
    const std::vector<ready_step> ready = find_ready_steps(day_ms, state);
    const std::size_t all = std::min(options_.max_starts_per_round, overload_.starts_allowed());
    const std::array<std::size_t, work_kind_count> limits = limit_starts(all, ready);
    note_least_filler(ready);
    watch_short_tasks(now, ready);
    bool all_asked = true;
    std::vector<const ready_step*> limited_lasting;
    // What short tasks leave of their part goes to lasting ones before fillers.
    const auto place_limited_lasting = [&]
    {
        for (const ready_step* what : std::exchange(limited_lasting, {}))
        {
            all_asked = place_in_turn(now, *what, {all, all}, into) && all_asked;
        }
    };
    for (const ready_step& what : ready)
    {
        const std::size_t limit = limits.at(static_cast<std::size_t>(what.kind()));
        if (what.spec->lasting && limit < all)
        {
            (void)place_in_turn(now, what, {limit, all}, into);
            if (into.starts.size() >= limit)
            {
                limited_lasting.push_back(&what);
            }
            continue;
        }
        if (what.spec->filler)
        {
            place_limited_lasting();
        }
        all_asked = place_in_turn(now, what, {limit, all}, into) && all_asked;
    }
    place_limited_lasting();
    ++window_.placements;
    window_.cut_short += all_asked ? 0 : 1;
    report_placements(now, ready);
    if (!all_asked)
    {
        room_changed_ = true; // the rest has its turn in the next round
        full_steps_.clear();  // not asked this time, so what was known of them is not kept up
        return;
    }
    if (considers_fillers_)
    {
        forget_placed_steps();
    }
}

bool dispatcher::place_in_turn(time_point now, const ready_step& what, start_limits limits, jobs::round& into)
{
    const std::size_t before = into.starts.size();
    const bool has_turn = before < limits.of_kind;
    // A leader that is behind would leave low priorities without any start for as long as higher ones
    // come: what has waited for long gets one task.
    const bool has_extra = before >= limits.of_all && what.urgent && extra_starts_ > 0;
    if (!has_turn && !has_extra)
    {
        ++window_.of(what.kind()).steps_without_turn;
        return false;
    }
    starts_limit_ = has_turn ? limits.of_kind : before + 1;
    place_step(now, what, into);
    extra_starts_ -= has_turn ? 0 : into.starts.size() - before;
    return has_turn;
}

// Lasting tasks that lost their worker come first and by the thousand: short ones would be late behind them.
// What a decision starts for fillers lengthens the way of short tasks through the next ones, and of that way
// a short job's objective allows for its constant part.
std::array<std::size_t, work_kind_count> dispatcher::limit_starts(std::size_t all,
                                                                  std::span<const ready_step> ready) const
{
    std::size_t short_tasks = 0;
    double allowed_ms = std::numeric_limits<double>::infinity();
    for (const ready_step& what : ready)
    {
        if (what.kind() == work_kind::brief && what.lateness != lateness_class::hopeless)
        {
            short_tasks += what.count_waiting();
            allowed_ms = std::min<double>(allowed_ms, what.job->source_queue.objective_extra_ms);
        }
    }
    const double overhead_ms = stage_delays_.overhead_ms(work_kind::brief);
    const double share = overhead_ms > allowed_ms ? allowed_ms / overhead_ms : 1;
    const auto of_fillers = static_cast<std::size_t>(static_cast<double>(all) * share);
    std::array<std::size_t, work_kind_count> limits{};
    limits.at(static_cast<std::size_t>(work_kind::lasting)) = all - std::min(all / 2, short_tasks);
    limits.at(static_cast<std::size_t>(work_kind::brief)) = all;
    limits.at(static_cast<std::size_t>(work_kind::filler)) =
        std::max(of_fillers, all / min_filler_share_divisor);
    return limits;
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
    add_room(line);
    events_.push_back(std::move(line));
    window_ = {};
    events_.push_back(stage_delays_.to_event());
    stage_delays_.clear();
}

void dispatcher::count_waiting(std::span<const ready_step> ready)
{
    for (const ready_step& what : ready)
    {
        kind_counts& of = window_.of(what.kind());
        ++of.steps_ready;
        of.steps_late += what.lateness == lateness_class::late ? 1 : 0;
        of.steps_hopeless += what.lateness == lateness_class::hopeless ? 1 : 0;
        of.tasks_waiting += static_cast<std::int64_t>(what.count_waiting());
    }
}

void dispatcher::forget_placed_steps()
{
    std::erase_if(full_steps_,
                  [this](const auto& entry)
                  {
                      return entry.second.placement != placements_;
                  });
}

bool dispatcher::wants_run(const ready_step& what, const waiting_task& task) const
{
    const jobs::task& recorded = what.state().tasks[task.name.index];
    // A copy of a task that crashes its worker would crash another one.
    const bool wants_copy =
        what.spec->copies_allowed && copy_wanted_.contains(task.name) && !is_suspect(recorded.evidence);
    if (recorded.phase == jobs::task_phase::done || (!wants_copy && !recorded.runs.empty()))
    {
        return false;
    }
    return task.runs.count < (wants_copy ? max_copies : 1);
}

dispatcher::task_runs dispatcher::runs_of(const jobs::task_name& name) const
{
    task_runs found;
    for (auto at = runs_.lower_bound({name, 0}); at != runs_.end() && at->first.task == name; ++at)
    {
        found.first_on = found.count == 0 ? at->second.on : found.first_on;
        ++found.count;
        found.last_attempt = at->first.attempt;
    }
    return found;
}

void dispatcher::place_step(time_point now, const ready_step& what, jobs::round& into)
{
    if (what.spec->gang)
    {
        place_gang(now, what, into);
        return;
    }
    const std::size_t before = into.starts.size();
    place_waiting(now, what, false, into);
    place_waiting(now, what, true, into);
    if (into.starts.size() > before)
    {
        const jobs::run_started& first = into.starts[before];
        const auto count = static_cast<std::int64_t>(into.starts.size() - before);
        kind_counts& of = window_.of(what.kind());
        of.granted_late += what.lateness == lateness_class::late ? count : 0;
        of.granted_hopeless += what.lateness == lateness_class::hopeless ? count : 0;
        const duration queued = queued_for(now, into.at_ms, what);
        for (std::size_t at = before; at < into.starts.size(); ++at)
        {
            if (into.starts[at].name.attempt == 1)
            {
                stage_delays_.record(what.kind(), task_stage::queued, queued);
            }
        }
        events_.push_back(logging::event("dispatch", "tasks_granted", "Tasks of a step are given to workers.")
                              .with("job", what.job->id)
                              .with("step", what.step)
                              .with("tasks", count)
                              .with("first_worker", first.worker.id)
                              .with("first_worker_born_ms", first.worker.born_ms)
                              .with("first_attempt", first.name.attempt)
                              .with("worth", static_cast<std::int64_t>(what.lateness)));
    }
}

duration dispatcher::queued_for(time_point now, std::int64_t day_ms, const ready_step& what) const
{
    const jobs::job& job = *what.job;
    const std::int64_t since_ms = job.spec.repeat_count == 0
                                      ? job.accepted_at_ms
                                      : job.spec.first_due_ms + what.at->number * job.spec.interval_ms;
    duration waited = milliseconds(std::max<std::int64_t>(day_ms - since_ms, 0));
    for (const std::uint32_t before : what.spec->after)
    {
        const auto seen = steps_.find({job.id, before});
        if (seen != steps_.end() && seen->second->last_end_at != time_point{})
        {
            waited = std::min(waited, std::chrono::duration_cast<duration>(now - seen->second->last_end_at));
        }
    }
    return waited;
}

void dispatcher::place_waiting(time_point now, const ready_step& what, bool first_start, jobs::round& into)
{
    const std::vector<jobs::task>& tasks = what.state().tasks;
    const step_id id{what.job->order, what.at->number, what.step, first_start};
    std::optional<std::vector<candidate>> candidates; // these tasks are alike: workers are asked once
    waiting_task task{what.task(0), {}};
    start_kind how = first_start ? start_kind::first : start_kind::again;
    const auto ask = [&](std::size_t wanted)
    {
        const auto full = full_steps_.find(id);
        const bool known = full != full_steps_.end() && now < full->second.whole_look_at;
        candidates = find_candidates(now, what, how, known ? full->second.changes : 0, wanted);
    };
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        if (into.starts.size() >= starts_limit_)
        {
            room_changed_ = true; // the rest of the step has its turn in the next round
            return;
        }
        const bool may_want = !tasks[index].runs.empty() ? what.spec->copies_allowed
                                                         : tasks[index].phase != jobs::task_phase::done;
        if ((tasks[index].last_attempt == 0) != first_start || !may_want)
        {
            continue; // told by the record alone: nothing is looked up
        }
        task.name.index = index;
        task.runs = runs_of(task.name);
        if (!wants_run(what, task) || retry_backoff_.is_backing_off(now, task.name))
        {
            continue;
        }
        if (!candidates.has_value())
        {
            ask(tasks.size() - index);
        }
        const bool wants_copy = what.spec->copies_allowed && copy_wanted_.contains(task.name);
        granted result = place_task(what, task, how, *candidates, now, into);
        if (result == granted::none_fits && how == start_kind::again && what.spec->lasting)
        {
            how = start_kind::again_anywhere; // it is to be away as shortly as can be
            ask(tasks.size() - index);
            result = place_task(what, task, how, *candidates, now, into);
        }
        if (result != granted::none_fits || wants_copy)
        {
            continue;
        }
        full_step& full = full_steps_[id];
        full.changes = changes_;
        full.whole_look_at = now < full.whole_look_at ? full.whole_look_at : now + whole_look_interval;
        full.placement = placements_;
        ++window_.of(what.kind()).steps_without_worker;
        explain_wait(now, what, index);
        if (what.restarts_lasting_task && !first_start)
        {
            hold_room(now, what, static_cast<std::uint32_t>(tasks.size()) - index);
        }
        return; // where one finds no room, no other does
    }
}

dispatcher::granted dispatcher::place_task(const ready_step& what,
                                           const waiting_task& task,
                                           start_kind how,
                                           std::vector<candidate>& candidates,
                                           time_point now,
                                           jobs::round& into)
{
    const jobs::task& recorded = what.state().tasks[task.name.index];
    worker_view* on = choose_worker(now, what, task, how, {}, candidates);
    if (on == nullptr)
    {
        return granted::none_fits;
    }
    if (is_suspect(recorded.evidence) && waits_for_isolation(now, task.name, *on))
    {
        return granted::waits_for_isolation;
    }
    if (what.spec->copies_allowed && copy_wanted_.erase(task.name) > 0)
    {
        ++counts_.copies;
    }
    // A run whose record is on its way has a number that the state doesn't know yet.
    const std::uint32_t last = std::max(recorded.last_attempt, task.runs.last_attempt);
    grant(now, what, task.name.index, last + 1, *on, into);
    // Only the worker that has just been given a task suits differently now.
    const auto chosen = std::find_if(candidates.begin(),
                                     candidates.end(),
                                     [on](const candidate& one)
                                     {
                                         return one.on == on;
                                     });
    if (may_take(now, *on, what, how) == fitness::fits)
    {
        chosen->points = score(*on, what, how);
    }
    else
    {
        candidates.erase(chosen);
    }
    return granted::yes;
}

void dispatcher::place_gang(time_point now, const ready_step& what, jobs::round& into)
{
    const std::vector<jobs::task>& tasks = what.state().tasks;
    std::uint32_t attempt = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        if (runs_of(what.task(index)).count > 0 || retry_backoff_.is_backing_off(now, what.task(index)))
        {
            return; // all members of the last run must be over
        }
        attempt = std::max(attempt, tasks[index].last_attempt);
    }
    const std::size_t planned_before = into.starts.size();
    std::string rack;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        const start_kind how =
            tasks[index].last_attempt == 0 ? start_kind::first : start_kind::again_anywhere;
        const waiting_task task{what.task(index), {}};
        worker_view* on = choose_worker(now, what, task, how, rack, ask_all(now, what, how));
        if (on == nullptr)
        {
            while (into.starts.size() > planned_before)
            {
                remove_run(into.starts.back().name);
                into.starts.pop_back();
            }
            return;
        }
        if (what.spec->single_rack && rack.empty())
        {
            rack = on->info.rack;
        }
        grant(now, what, index, attempt + 1, *on, into);
    }
}

void dispatcher::grant(time_point now,
                       const ready_step& what,
                       std::uint32_t index,
                       std::uint32_t attempt,
                       worker_view& on,
                       jobs::round& into)
{
    run_view added = make_run_view({what.task(index), attempt}, on.info.life, *what.job);
    added.granted_at = now;
    kind_counts& of = window_.of(what.kind());
    ++of.granted;
    of.granted_again += attempt > 1 ? 1 : 0;
    into.starts.push_back({added.name, on.info.life, on.info.address});
    add_run(std::move(added));
    if (!on.granted)
    {
        on.granted = true;
        granted_.push_back(&on);
    }
}

} // namespace plumspoke::dispatch
