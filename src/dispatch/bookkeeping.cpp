/// @file
/// @brief Which runs are on which worker, and the room that they take there.

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

// Among the few runs of a worker a name is found with fewer comparisons than among all.
run_view* dispatcher::find_run_on(worker_view& of, const jobs::run_name& name) noexcept
{
    const auto found = std::find_if(of.runs.begin(),
                                    of.runs.end(),
                                    [&name](const run_view& one)
                                    {
                                        const jobs::task_name& task = one.name.task;
                                        return task.index == name.task.index &&
                                               one.name.attempt == name.attempt && one.name == name;
                                    });
    return found == of.runs.end() ? find_run(name) : &*found;
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

worker_view& dispatcher::meet_worker(const fleet::worker_life& life, const std::string& address)
{
    worker_view& of = find_or_add_worker(life);
    if (of.info.address.empty())
    {
        of.info.address = address;
        lives_at_[address].insert(life);
    }
    return of;
}

std::vector<worker_view*> dispatcher::other_lives(const fleet::worker_life& of)
{
    std::vector<worker_view*> others;
    for (auto at = workers_.lower_bound({of.id, std::numeric_limits<std::int64_t>::min()});
         at != workers_.end() && at->first.id == of.id;
         ++at)
    {
        if (at->first != of)
        {
            others.push_back(&at->second);
        }
    }
    return others;
}

void dispatcher::move_to_life(const jobs::run_name& name, const fleet::worker_life& next)
{
    run_view moved = runs_.at(name); // in no list
    moved.worker = next;
    remove_run(name);
    add_run(std::move(moved));
}

std::span<worker_view* const> dispatcher::all_workers()
{
    if (worker_list_stale_)
    {
        worker_list_stale_ = false;
        worker_list_.clear();
        for (auto& [id, of] : workers_)
        {
            worker_list_.push_back(&of);
        }
    }
    return worker_list_;
}

void dispatcher::add_run(run_view added)
{
    worker_view& on = workers_.at(added.worker);
    jobs::resources counted = added.needs;
    if (added.filler)
    {
        on.filler_cpu_milli += counted.cpu_milli;
        counted.cpu_milli = 0;
    }
    on.used += counted;
    on.serving_runs += added.serving ? 1 : 0;
    on.serving_cpu_milli += added.serving ? added.needs.cpu_milli : 0;
    on.suspects += is_suspect(added.evidence) ? 1 : 0;
    on.prime_suspects += is_prime_suspect(added.evidence) ? 1 : 0;
    if (added.lasting)
    {
        kept_room& room = kept_rooms_[on.info.service];
        room.usable_milli -= usable_room(on);
        on.lasting_cpu_milli += added.needs.cpu_milli;
        room.usable_milli += usable_room(on);
    }
    added.image_id = interference_.number_of(added.image);
    added.added_at = decided_at_;
    const jobs::run_name name = added.name;
    added.on = &on;
    added.siblings = stats_of(name.task);
    run_view& kept = runs_[name] = std::move(added);
    on.runs.push_back(kept);
    note_changed(on);
    attend(kept);
}

boost::intrusive_ptr<step_stats> dispatcher::stats_of(const jobs::task_name& name)
{
    boost::intrusive_ptr<step_stats>& found = steps_[{name.job, name.step}];
    if (found == nullptr)
    {
        found = new step_stats;
    }
    return found;
}

void dispatcher::note_changed(worker_view& of) noexcept
{
    of.changed = ++changes_;
}

bool dispatcher::may_need_order(const run_view& of) noexcept
{
    if (of.stage == run_stage::proposed || of.stage == run_stage::ending)
    {
        return false;
    }
    const bool to_stop = of.stop_wanted && (!of.stop_acknowledged_at.has_value() || of.stop_unreported);
    const bool other_pace = of.pace_unknown || of.wanted_pace != of.pace_percent;
    const bool to_pace = of.stage == run_stage::running && other_pace && !of.stop_wanted;
    return to_stop || to_pace || of.stage == run_stage::ordered;
}

void dispatcher::attend(run_view& of)
{
    if (!of.attended.is_linked() && may_need_order(of))
    {
        attended_.push_back(of);
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
    if (worker_view* on = find_worker(ended.worker); on != nullptr)
    {
        jobs::resources counted = ended.needs;
        if (ended.filler)
        {
            on->filler_cpu_milli -= counted.cpu_milli;
            counted.cpu_milli = 0;
        }
        on->used -= counted;
        on->serving_runs -= ended.serving ? 1 : 0;
        on->serving_cpu_milli -= ended.serving ? ended.needs.cpu_milli : 0;
        on->suspects -= is_suspect(ended.evidence) ? 1 : 0;
        on->prime_suspects -= is_prime_suspect(ended.evidence) ? 1 : 0;
        on->lasting_cpu_milli -= ended.lasting ? ended.needs.cpu_milli : 0;
        note_changed(*on);
    }
    runs_.erase(found);
    room_changed_ = true;
}

} // namespace plumspoke::dispatch
