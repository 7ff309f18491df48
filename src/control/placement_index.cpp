#include "plumspoke/control/placement_index.hpp"

#include <algorithm>
#include <bit>

namespace plumspoke::control
{

namespace
{

constexpr std::size_t max_probes_per_bucket = 64; // bounds the search where memory or accelerators don't fit

} // namespace

std::size_t placement_index::bucket_of(std::int64_t millicores) noexcept
{
    return millicores <= 0 ? 0
                           : std::min<std::size_t>(bucket_count - 1,
                                                   std::bit_width(static_cast<std::uint64_t>(millicores)));
}

void placement_index::insert(std::size_t index)
{
    placement_candidate& candidate = candidates_[index];
    candidate.bucket = bucket_of(candidate.free.millicores);
    candidate.position = buckets_.at(candidate.bucket).size();
    buckets_.at(candidate.bucket).push_back(index);
}

void placement_index::rebuild(const control_state& state,
                              const std::function<bool(const std::string&)>& usable)
{
    candidates_.clear();
    for (std::vector<std::size_t>& bucket : buckets_)
    {
        bucket.clear();
    }
    for (const auto& [name, worker] : state.workers)
    {
        const bool evacuated = state.config.evacuated_zones.contains(worker.availability_zone);
        if (!worker.removed && !worker.set_aside && !evacuated && usable(name))
        {
            candidates_.push_back({&worker, free_capacity_of(state, worker), 0, 0});
        }
    }
    for (std::size_t i = 0; i < candidates_.size(); ++i)
    {
        insert(i);
    }
}

void placement_index::sample_bucket(std::size_t bucket_number,
                                    const resources& needed,
                                    std::uint64_t random,
                                    std::size_t max_count,
                                    std::vector<placement_candidate*>& found)
{
    const std::vector<std::size_t>& bucket = buckets_.at(bucket_number);
    const std::size_t probes = std::min(bucket.size(), max_probes_per_bucket);
    for (std::size_t step = 0; step < probes && found.size() < max_count; ++step)
    {
        placement_candidate& candidate = candidates_[bucket[(random + step) % bucket.size()]];
        if (needed.fits(candidate.free) && std::find(found.begin(), found.end(), &candidate) == found.end())
        {
            found.push_back(&candidate);
        }
    }
}

std::vector<placement_candidate*>
placement_index::sample(const resources& needed, std::uint64_t random, std::size_t max_count)
{
    // Half from the emptiest workers, where interference is lowest, half from the fullest, which pack best.
    std::vector<placement_candidate*> found;
    const std::size_t lowest = bucket_of(needed.millicores);
    for (std::size_t b = bucket_count; b-- > lowest && found.size() < max_count / 2;)
    {
        sample_bucket(b, needed, random, max_count / 2, found);
    }
    for (std::size_t b = lowest; b < bucket_count && found.size() < max_count; ++b)
    {
        sample_bucket(b, needed, random, max_count, found);
    }
    return found;
}

placement_candidate* placement_index::first_with_room(const resources& needed)
{
    const auto found = std::find_if(candidates_.begin(),
                                    candidates_.end(),
                                    [&needed](const placement_candidate& candidate)
                                    {
                                        return needed.fits(candidate.free);
                                    });
    return found == candidates_.end() ? nullptr : &*found;
}

placement_candidate* placement_index::most_free(const resources& needed)
{
    for (std::size_t b = bucket_count; b-- > 0;)
    {
        placement_candidate* best = nullptr;
        for (const std::size_t index : buckets_.at(b))
        {
            placement_candidate& candidate = candidates_[index];
            if (needed.fits(candidate.free) &&
                (best == nullptr || candidate.free.millicores > best->free.millicores))
            {
                best = &candidate;
            }
        }
        if (best != nullptr)
        {
            return best;
        }
    }
    return nullptr;
}

void placement_index::reserve(placement_candidate& from, const resources& taken)
{
    std::vector<std::size_t>& bucket = buckets_.at(from.bucket);
    const std::size_t own = bucket[from.position];
    const std::size_t last = bucket.back();
    bucket[from.position] = last;
    candidates_[last].position = from.position;
    bucket.pop_back();
    from.free -= taken;
    insert(own);
}

} // namespace plumspoke::control
