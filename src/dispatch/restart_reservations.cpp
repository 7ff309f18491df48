/// @file
/// @brief Reserves workers for lasting tasks that lost their worker.

#include "ready_step.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

// Share of the workers that may be reserved at once; the others continue to run short tasks.
constexpr double max_reserved_share = 0.1;

} // namespace

jobs::resources dispatcher::capacity_beside_lasting(const worker_view& worker) const
{
    jobs::resources left = worker.info.room;
    for (const run_view& run : worker.runs)
    {
        if (run.lasting)
        {
            left -= run.needs;
        }
    }
    return left;
}

// Backfilling with reservations (EASY, Lifka 1995). Without them short tasks take capacity as soon as it is
// released, and a large task that lost its worker is starved for as long as short tasks arrive.
void dispatcher::reserve_workers(time_point now, const ready_step& step, std::uint32_t waiting)
{
    const auto max_reserved =
        static_cast<std::size_t>(max_reserved_share * static_cast<double>(workers_.size())) + 1;
    if (reserved_worker_count_ >= max_reserved || !is_on(mechanism::held_room))
    {
        return;
    }
    std::vector<worker_view*> busy;
    for (auto& [id, worker] : workers_)
    {
        const std::int64_t beside_lasting = worker.info.room.cpu_milli - worker.lasting_cpu_milli;
        if (beside_lasting >= step.spec->needs.cpu_milli &&
            check_eligibility(now, worker, step, start_kind::restart_anywhere) ==
                eligibility::insufficient_capacity &&
            step.spec->needs.fits_into(capacity_beside_lasting(worker)))
        {
            busy.push_back(&worker);
        }
    }
    const std::size_t count =
        std::min({busy.size(), std::size_t{waiting}, max_reserved - reserved_worker_count_});
    const auto last = busy.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(busy.begin(),
                      last,
                      busy.end(),
                      [](const worker_view* left, const worker_view* right)
                      {
                          return left->info.room.cpu_milli - left->used.cpu_milli >
                                 right->info.room.cpu_milli - right->used.cpu_milli;
                      });
    std::for_each(busy.begin(),
                  last,
                  [](worker_view* worker)
                  {
                      worker->reserved = true;
                  });
    reserved_worker_count_ += count;
}

} // namespace plumspoke::dispatch
