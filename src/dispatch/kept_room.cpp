/// @file
/// @brief Room that is kept from lasting tasks for short ones, over the workers of a pool.

#include "ready_step.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

void dispatcher::watch_short_tasks(time_point now, std::span<const ready_step> ready)
{
    if (now >= next_short_look_at_)
    {
        next_short_look_at_ = now + sweep_interval();
        std::map<std::string, std::vector<task_demand>> demands;
        const std::string* pool = nullptr; // runs of a pool mostly follow one another
        std::vector<task_demand>* of_pool = nullptr;
        for (const auto& [name, run] : runs_)
        {
            if (run.lasting || run.filler || run.on == nullptr)
            {
                continue;
            }
            if (pool == nullptr || *pool != run.on->info.service)
            {
                pool = &run.on->info.service;
                of_pool = &demands[*pool];
            }
            of_pool->push_back({run.needs.cpu_milli, 1});
        }
        for (const ready_step& what : ready)
        {
            const std::vector<jobs::task>& tasks = what.state().tasks;
            const auto waiting = std::count_if(tasks.begin(),
                                               tasks.end(),
                                               [](const jobs::task& one)
                                               {
                                                   return one.phase == jobs::task_phase::waiting;
                                               });
            if (!what.spec->lasting && !what.spec->filler)
            {
                demands[what.job->source_queue.service].push_back(
                    {what.spec->needs.cpu_milli, static_cast<std::uint32_t>(waiting)});
            }
        }
        for (auto& [service, room] : kept_rooms_)
        {
            room.wanted.observe(now, demands[service]);
        }
    }
    count_usable_room();
}

void dispatcher::count_usable_room()
{
    for (auto& [service, room] : kept_rooms_)
    {
        room.pool_milli = 0;
        room.lasting_milli = 0;
        room.usable_milli = 0;
    }
    const std::string* service = nullptr; // workers of a pool mostly follow one another
    kept_room* room = nullptr;
    for (const worker_view* of : all_workers())
    {
        if (!of->announced || of->info.state != fleet::worker_state::ready)
        {
            continue;
        }
        if (service == nullptr || *service != of->info.service)
        {
            service = &of->info.service;
            room = &kept_rooms_[*service];
        }
        room->pool_milli += of->info.room.cpu_milli;
        room->lasting_milli += of->lasting_cpu_milli;
        room->usable_milli += room->wanted.usable_milli(of->info.room.cpu_milli - of->lasting_cpu_milli);
    }
}

void dispatcher::add_room(logging::event& to) const
{
    std::int64_t all = 0;
    std::int64_t lasting = 0;
    std::int64_t usable = 0;
    std::int64_t wanted = 0;
    std::int64_t place = 0;
    for (const auto& [service, room] : kept_rooms_)
    {
        all += room.pool_milli;
        lasting += room.lasting_milli;
        usable += room.usable_milli;
        wanted += room.wanted.wanted_milli(room.pool_milli);
        place = std::max(place, room.wanted.place_milli());
    }
    to.with("room_milli", all)
        .with("room_lasting_milli", lasting)
        .with("room_whole_places_milli", usable)
        .with("room_wanted_milli", wanted)
        .with("room_place_milli", place);
}

std::int64_t dispatcher::usable_room(const worker_view& of) const
{
    const auto found = kept_rooms_.find(of.info.service);
    const std::int64_t free = of.info.room.cpu_milli - of.lasting_cpu_milli;
    return found == kept_rooms_.end() ? free : found->second.wanted.usable_milli(free);
}

bool dispatcher::leaves_short_room(const worker_view& of, const ready_step& what) const
{
    const auto found = kept_rooms_.find(of.info.service);
    if (found == kept_rooms_.end() || !is_on(mechanism::short_task_room))
    {
        return true;
    }
    const kept_room& room = found->second;
    const std::int64_t free = of.info.room.cpu_milli - of.lasting_cpu_milli;
    const std::int64_t taken =
        room.wanted.usable_milli(free) - room.wanted.usable_milli(free - what.spec->needs.cpu_milli);
    const std::int64_t wanted = room.wanted.wanted_milli(room.pool_milli);
    if (taken == 0 || room.usable_milli - taken >= wanted)
    {
        return true;
    }
    // Its users are not left without any task of it for long.
    return what.urgent && !has_runs(*what.job);
}

} // namespace plumspoke::dispatch
