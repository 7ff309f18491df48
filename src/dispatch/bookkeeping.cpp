/// @file
/// @brief Lookup of runs and workers, and the room that runs use on their workers.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace plumspoke::dispatch
{

run_view* dispatcher::find_run(const jobs::run_name& name) noexcept
{
    const auto found = runs_.find(name);
    return found == runs_.end() ? nullptr : &found->second;
}

// A search among the few runs of a worker needs fewer comparisons than one among all runs.
run_view* dispatcher::find_run_on(worker_view& worker, const jobs::run_name& name) noexcept
{
    const auto found = std::find_if(worker.runs.begin(),
                                    worker.runs.end(),
                                    [&name](const run_view& one)
                                    {
                                        const jobs::task_name& task = one.name.task;
                                        return task.index == name.task.index &&
                                               one.name.attempt == name.attempt && one.name == name;
                                    });
    return found == worker.runs.end() ? find_run(name) : &*found;
}

worker_view* dispatcher::find_worker(const fleet::worker_life& life) noexcept
{
    const auto found = worker_by_life_.find(life);
    return found == worker_by_life_.end() ? nullptr : found->second;
}

worker_view& dispatcher::find_or_add_worker(const fleet::worker_life& life)
{
    const auto [at, is_new] = workers_.try_emplace(life, options_.slowest_clock);
    if (is_new)
    {
        worker_list_stale_ = true;
        worker_by_life_[life] = &at->second;
        at->second.info.life = life;
    }
    return at->second;
}

worker_view& dispatcher::find_or_register_worker(const fleet::worker_life& life, const std::string& address)
{
    worker_view& worker = find_or_add_worker(life);
    if (worker.info.address.empty())
    {
        worker.info.address = address;
        lives_at_[address].insert(life);
    }
    return worker;
}

std::vector<worker_view*> dispatcher::other_lives(const fleet::worker_life& life)
{
    std::vector<worker_view*> others;
    for (auto at = workers_.lower_bound({life.id, std::numeric_limits<std::int64_t>::min()});
         at != workers_.end() && at->first.id == life.id;
         ++at)
    {
        if (at->first != life)
        {
            others.push_back(&at->second);
        }
    }
    return others;
}

void dispatcher::move_to_life(const jobs::run_name& name, const fleet::worker_life& next)
{
    run_view moved = runs_.at(name); // a copy, linked into no list
    moved.worker = next;
    moved.begun_clock_ms.reset(); // read on the clock of the life before
    remove_run(name);
    add_run(std::move(moved));
}

std::span<worker_view* const> dispatcher::all_workers()
{
    if (worker_list_stale_)
    {
        worker_list_stale_ = false;
        worker_list_.clear();
        for (auto& [id, worker] : workers_)
        {
            worker_list_.push_back(&worker);
        }
    }
    return worker_list_;
}

void dispatcher::add_run(run_view added)
{
    worker_view& worker = workers_.at(added.worker);
    jobs::resources counted = added.needs;
    if (added.filler)
    {
        worker.filler_cpu_milli += counted.cpu_milli;
        counted.cpu_milli = 0;
    }
    worker.used += counted;
    worker.serving_runs += added.serving ? 1 : 0;
    worker.serving_cpu_milli += added.serving ? added.needs.cpu_milli : 0;
    worker.suspects += is_suspect(added.evidence) ? 1 : 0;
    worker.critical_suspects += is_critical_suspect(added.evidence) ? 1 : 0;
    if (added.lasting)
    {
        pool_headroom& headroom = headroom_by_pool_[worker.info.service];
        headroom.usable_milli -= usable_headroom_milli(worker);
        worker.lasting_cpu_milli += added.needs.cpu_milli;
        headroom.usable_milli += usable_headroom_milli(worker);
        headroom.used_milli += added.needs.cpu_milli;
    }
    added.image_id = interference_.number_of(added.image);
    added.added_at = decided_at_;
    const jobs::run_name name = added.name;
    added.on = &worker;
    added.siblings = step_stats_of(name.task);
    run_view& kept = runs_[name] = std::move(added);
    worker.runs.push_back(kept);
    mark_changed(worker);
    track_if_actionable(kept);
}

boost::intrusive_ptr<step_stats> dispatcher::step_stats_of(const jobs::task_name& name)
{
    boost::intrusive_ptr<step_stats>& found = steps_[{name.job, name.step}];
    if (found == nullptr)
    {
        found = new step_stats;
    }
    return found;
}

void dispatcher::mark_changed(worker_view& worker) noexcept
{
    worker.changed = ++changes_;
    worker.changed_hook.unlink();
    changed_workers_.push_front(worker);
}

bool dispatcher::may_need_order(const run_view& run) noexcept
{
    if (run.stage == run_stage::proposed || run.stage == run_stage::ending)
    {
        return false;
    }
    const bool to_stop = run.stop_wanted && (!run.stop_acknowledged_at.has_value() || run.stop_unconfirmed);
    const bool other_pace = run.pace_unknown || run.wanted_pace != run.pace_percent;
    const bool to_pace = run.stage == run_stage::running && other_pace && !run.stop_wanted;
    return to_stop || to_pace || run.stage == run_stage::ordered;
}

void dispatcher::track_if_actionable(run_view& run)
{
    if (!run.actionable_hook.is_linked() && may_need_order(run))
    {
        actionable_.push_back(run);
    }
}

void dispatcher::remove_run(const jobs::run_name& name)
{
    const auto found = runs_.find(name);
    if (found == runs_.end())
    {
        return;
    }
    const run_view& ended = found->second;
    if (worker_view* worker = find_worker(ended.worker); worker != nullptr)
    {
        jobs::resources counted = ended.needs;
        if (ended.filler)
        {
            worker->filler_cpu_milli -= counted.cpu_milli;
            counted.cpu_milli = 0;
        }
        worker->used -= counted;
        worker->serving_runs -= ended.serving ? 1 : 0;
        worker->serving_cpu_milli -= ended.serving ? ended.needs.cpu_milli : 0;
        worker->suspects -= is_suspect(ended.evidence) ? 1 : 0;
        worker->critical_suspects -= is_critical_suspect(ended.evidence) ? 1 : 0;
        worker->lasting_cpu_milli -= ended.lasting ? ended.needs.cpu_milli : 0;
        mark_changed(*worker);
    }
    job_idle_times_.remove_run(
        ended.name.task.job, std::max(ended.confirmed_at, ended.ran_until), ended.added_at);
    if (was_confirmed(ended))
    {
        listed_runs_.record(ended.name.task.job, std::max(ended.confirmed_at, ended.ran_until));
    }
    runs_.erase(found);
    capacity_changed_ = true;
}

jobs::task_name dispatcher::early_ends_key(jobs::task_name task, bool gang)
{
    task.index = gang ? 0 : task.index; // the members of a gang are alike, and each ends with the others
    return task;
}

void dispatcher::record_early_end(const run_view& ended, jobs::run_end how)
{
    const jobs::task_name key = early_ends_key(ended.name.task, ended.gang);
    if (how == jobs::run_end::done || was_stable(ended))
    {
        early_ends_.reset(key);
        return;
    }
    const bool had_no_effect = how == jobs::run_end::not_begun || how == jobs::run_end::lost ||
                               how == jobs::run_end::lapsed ||
                               (ended.lasting && how == jobs::run_end::failed);
    if (had_no_effect && ended.starts_sent > 0)
    {
        early_ends_.record(key, ended.worker);
    }
}

} // namespace plumspoke::dispatch
