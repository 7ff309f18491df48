/// @file
/// @brief Room kept for lasting tasks that lost their worker.

#include "ready_step.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

// Of the workers, at most so many are held at once: the rest goes on with short tasks.
constexpr double max_held_share = 0.1;

} // namespace

jobs::resources dispatcher::room_beside_lasting(const worker_view& of) const
{
    jobs::resources left = of.info.room;
    for (const run_view& run : of.runs)
    {
        if (run.lasting)
        {
            left -= run.needs;
        }
    }
    return left;
}

// As in backfilling with reservations (EASY, Lifka 1995): else short tasks take each bit of room that comes
// free, and a large task that lost its worker waits for as long as they come.
void dispatcher::hold_room(time_point now, const ready_step& what, std::uint32_t waiting)
{
    const auto most = static_cast<std::size_t>(max_held_share * static_cast<double>(workers_.size())) + 1;
    if (held_count_ >= most || !is_on(mechanism::held_room))
    {
        return;
    }
    std::vector<worker_view*> full;
    for (auto& [id, of] : workers_)
    {
        const std::int64_t beside_lasting = of.info.room.cpu_milli - of.lasting_cpu_milli;
        if (beside_lasting >= what.spec->needs.cpu_milli &&
            may_take(now, of, what, start_kind::again_anywhere) == fitness::no_room &&
            what.spec->needs.fits_into(room_beside_lasting(of)))
        {
            full.push_back(&of);
        }
    }
    const std::size_t count = std::min({full.size(), std::size_t{waiting}, most - held_count_});
    const auto last = full.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(full.begin(),
                      last,
                      full.end(),
                      [](const worker_view* left, const worker_view* right)
                      {
                          return left->info.room.cpu_milli - left->used.cpu_milli >
                                 right->info.room.cpu_milli - right->used.cpu_milli;
                      });
    std::for_each(full.begin(),
                  last,
                  [](worker_view* of)
                  {
                      of->held = true;
                  });
    held_count_ += count;
}

} // namespace plumspoke::dispatch
