/// @file
/// @brief Keeps headroom for short tasks free of lasting tasks, for each pool.

#include "ready_step.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

void dispatcher::update_short_task_demand(time_point now, std::span<const ready_step> ready)
{
    if (now >= next_demand_update_at_)
    {
        next_demand_update_at_ = now + sweep_interval();
        std::map<std::string, std::vector<task_demand>> demands;
        const std::string* pool_service = nullptr; // runs of one pool are mostly consecutive: saves lookups
        std::vector<task_demand>* pool_demands = nullptr;
        for (const auto& [name, run] : runs_)
        {
            if (run.lasting || run.filler || run.on == nullptr)
            {
                continue;
            }
            if (pool_service == nullptr || *pool_service != run.on->info.service)
            {
                pool_service = &run.on->info.service;
                pool_demands = &demands[*pool_service];
            }
            pool_demands->push_back({run.needs.cpu_milli, 1});
        }
        for (const ready_step& step : ready)
        {
            const std::vector<jobs::task>& tasks = step.state().tasks;
            const auto waiting = std::count_if(tasks.begin(),
                                               tasks.end(),
                                               [](const jobs::task& task)
                                               {
                                                   return task.phase == jobs::task_phase::waiting;
                                               });
            if (!step.spec->lasting && !step.spec->filler)
            {
                demands[step.job->source_queue.service].push_back(
                    {step.spec->needs.cpu_milli, static_cast<std::uint32_t>(waiting)});
            }
        }
        for (auto& [service, headroom] : headroom_by_pool_)
        {
            headroom.demand.observe(now, demands[service]);
        }
        update_pool_use(now);
    }
    update_usable_headroom(now);
}

void dispatcher::update_usable_headroom(time_point now)
{
    for (auto& [service, headroom] : headroom_by_pool_)
    {
        headroom.pool_milli = 0;
        headroom.lasting_milli = 0;
        headroom.usable_milli = 0;
        headroom.available_milli = 0;
        headroom.used_milli = 0;
    }
    const std::string* service = nullptr; // workers of one pool are mostly consecutive: saves lookups
    pool_headroom* headroom = nullptr;
    for (const worker_view* worker : all_workers())
    {
        if (!worker->announced || worker->evacuated || worker->info.state != fleet::worker_state::ready)
        {
            continue;
        }
        if (service == nullptr || *service != worker->info.service)
        {
            service = &worker->info.service;
            headroom = &headroom_by_pool_[*service];
        }
        headroom->pool_milli += worker->info.room.cpu_milli;
        headroom->lasting_milli += worker->lasting_cpu_milli;
        if (can_take_tasks(now, *worker))
        {
            headroom->available_milli += worker->info.room.cpu_milli;
            headroom->used_milli += worker->used.cpu_milli;
        }
        headroom->usable_milli +=
            headroom->demand.usable_milli(worker->info.room.cpu_milli - worker->lasting_cpu_milli);
    }
}

void dispatcher::add_headroom_fields(logging::event& line) const
{
    std::int64_t total = 0;
    std::int64_t lasting = 0;
    std::int64_t usable = 0;
    std::int64_t target = 0;
    std::int64_t slot = 0;
    for (const auto& [service, headroom] : headroom_by_pool_)
    {
        total += headroom.pool_milli;
        lasting += headroom.lasting_milli;
        usable += headroom.usable_milli;
        target += headroom.demand.target_milli(headroom.pool_milli);
        slot = std::max(slot, headroom.demand.slot_milli());
    }
    line.with("room_milli", total)
        .with("room_lasting_milli", lasting)
        .with("room_whole_places_milli", usable)
        .with("room_wanted_milli", target)
        .with("room_place_milli", slot);
}

const dispatcher::pool_headroom* dispatcher::find_headroom(const std::string& service) const
{
    const auto found = headroom_by_pool_.find(service);
    return found == headroom_by_pool_.end() ? nullptr : &found->second;
}

std::int64_t dispatcher::usable_headroom_milli(const worker_view& worker) const
{
    const pool_headroom* headroom = find_headroom(worker.info.service);
    const std::int64_t free = worker.info.room.cpu_milli - worker.lasting_cpu_milli;
    return headroom == nullptr ? free : headroom->demand.usable_milli(free);
}

bool dispatcher::leaves_headroom(const worker_view& worker, const ready_step& step) const
{
    const pool_headroom* found = find_headroom(worker.info.service);
    if (found == nullptr || !is_on(mechanism::short_task_room))
    {
        return true;
    }
    const pool_headroom& headroom = *found;
    const std::int64_t free = worker.info.room.cpu_milli - worker.lasting_cpu_milli;
    const std::int64_t taken =
        headroom.demand.usable_milli(free) - headroom.demand.usable_milli(free - step.spec->needs.cpu_milli);
    const std::int64_t target = headroom.demand.target_milli(headroom.pool_milli);
    if (taken == 0 || headroom.usable_milli - taken >= target)
    {
        return true;
    }
    if (step.owed && is_mostly_free(worker.info.service))
    {
        return true; // also with what this placement has granted
    }
    // The headroom must not keep a job without any running task for long.
    const bool stuck =
        step.idle >= urgent_after && activity_of(decided_at_, *step.job, &step) == job_activity::idle;
    return step.urgent && (stuck || !has_runs(*step.job));
}

} // namespace plumspoke::dispatch
