/// @file
/// @brief Which runs are on which worker, and the room that they take there.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <utility>

namespace plumspoke::dispatch
{

run_view* dispatcher::find_run(const jobs::run_name& name) noexcept
{
    const auto found = runs_.find(name);
    return found == runs_.end() ? nullptr : &found->second;
}

worker_view* dispatcher::find_worker(const std::string& id) noexcept
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

void dispatcher::add_run(run_view added)
{
    worker_view& on = workers_.at(added.worker);
    jobs::room counted = added.needs;
    if (added.filler)
    {
        on.filler_cpu_milli += counted.cpu_milli;
        counted.cpu_milli = 0;
    }
    on.used += counted;
    on.serving_runs += added.serving ? 1 : 0;
    on.serving_cpu_milli += added.serving ? added.needs.cpu_milli : 0;
    on.runs.insert(added.name);
    const jobs::run_name name = added.name;
    runs_[name] = std::move(added);
}

void dispatcher::remove_run(const jobs::run_name& name)
{
    const auto found = runs_.find(name);
    if (found == runs_.end())
    {
        return;
    }
    const run_view& ended = found->second;
    if (worker_view* on = find_worker(ended.worker); on != nullptr && on->runs.erase(name) > 0)
    {
        jobs::room counted = ended.needs;
        if (ended.filler)
        {
            on->filler_cpu_milli -= counted.cpu_milli;
            counted.cpu_milli = 0;
        }
        on->used -= counted;
        on->serving_runs -= ended.serving ? 1 : 0;
        on->serving_cpu_milli -= ended.serving ? ended.needs.cpu_milli : 0;
    }
    runs_.erase(found);
    room_changed_ = true;
}

} // namespace plumspoke::dispatch
