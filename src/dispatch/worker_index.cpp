#include "plumspoke/dispatch/worker_index.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

void worker_index::sort(std::vector<indexed_worker>& all)
{
    // Stable: of equal ones the first worker by name is taken, as when all are asked in turn.
    std::stable_sort(all.begin(),
                     all.end(),
                     [](const indexed_worker& left, const indexed_worker& right)
                     {
                         return left.points > right.points;
                     });
}

} // namespace plumspoke::dispatch
