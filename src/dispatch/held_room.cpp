/// @file
/// @brief Room kept for lasting tasks that lost their worker.

#include "ready_step.hpp"

namespace plumspoke::dispatch
{

namespace
{

// Of the workers, at most so many are held at once: the rest goes on with short tasks.
constexpr double max_held_share = 0.1;

} // namespace

jobs::room dispatcher::room_beside_lasting(const worker_view& of) const
{
    jobs::room left = of.info.room;
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        if (run.lasting)
        {
            left -= run.needs;
        }
    }
    return left;
}

// As in backfilling with reservations (EASY, Lifka 1995): else short tasks take each bit of room that comes
// free, and a large task that lost its worker waits for as long as they come (20 s on the bench).
void dispatcher::hold_room(time_point now, const ready_step& what, std::uint32_t waiting)
{
    const auto most = static_cast<std::size_t>(max_held_share * static_cast<double>(workers_.size())) + 1;
    for (std::uint32_t i = 0; i < waiting && held_.size() < most; ++i)
    {
        const worker_view* best = nullptr;
        for (const auto& [id, of] : workers_)
        {
            const bool only_full = may_take(now, of, what, false) == fitness::no_room;
            if (!only_full || !what.spec->needs.fits_into(room_beside_lasting(of)))
            {
                continue;
            }
            const std::int64_t used = of.used.cpu_milli;
            if (best == nullptr ||
                of.info.room.cpu_milli - used > best->info.room.cpu_milli - best->used.cpu_milli)
            {
                best = &of;
            }
        }
        if (best == nullptr)
        {
            return;
        }
        held_.insert(best->info.id);
    }
}

} // namespace plumspoke::dispatch
