#include "plumspoke/dispatch/short_task_room.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace plumspoke::dispatch
{

namespace
{

// What short tasks wanted fades with this time constant: several bursts of the second's length long, short
// against how long a lasting task stays (a minute), since room that one takes is gone for that long.
constexpr double memory_s = 15;
constexpr double first_span_s = 0.1; // that the first look stands for: a look's usual distance
constexpr double deviations = 2;
// Of a pool, at most: lasting tasks are users' work too, and when short ones want more all have to wait.
constexpr double most_share = 0.3;
constexpr double place_quantile = 0.9;
constexpr double least_size_milli = 100;
constexpr double bucket_factor = 1.25;

} // namespace

std::size_t short_task_room::bucket_of(std::int64_t cpu_milli) noexcept
{
    const double ratio = std::max(static_cast<double>(cpu_milli) / least_size_milli, 1.0);
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(bucket_factor)));
    return std::min(bucket, size_buckets - 1);
}

void short_task_room::observe(time_point now, std::span<const task_demand> demands)
{
    const double passed_s =
        observed_at_.has_value() ? std::chrono::duration<double>(now - *observed_at_).count() : first_span_s;
    observed_at_ = now;
    double wanted = 0;
    for (const task_demand& one : demands)
    {
        wanted += static_cast<double>(one.cpu_milli) * one.tasks;
    }
    // A plain mean at first, then one that fades.
    const double kept = std::exp(-passed_s / memory_s);
    weight_ = weight_ * kept + (1 - kept);
    const double share = (1 - kept) / weight_;
    const double off = wanted - mean_milli_;
    mean_milli_ += share * off;
    variance_ = (1 - share) * (variance_ + share * off * off);
    note_sizes(demands, kept);
    find_place();
}

void short_task_room::note_sizes(std::span<const task_demand> demands, double kept)
{
    for (double& one : sizes_)
    {
        one *= kept;
    }
    for (const task_demand& one : demands)
    {
        sizes_.at(bucket_of(one.cpu_milli)) += (1 - kept) * one.tasks;
    }
}

void short_task_room::find_place() noexcept
{
    const double all = std::accumulate(sizes_.begin(), sizes_.end(), 0.0);
    if (all <= 0)
    {
        return;
    }
    double below = 0;
    for (std::size_t bucket = 0; bucket < size_buckets; ++bucket)
    {
        below += sizes_.at(bucket);
        if (below >= place_quantile * all)
        {
            place_milli_ = static_cast<std::int64_t>(least_size_milli *
                                                     std::pow(bucket_factor, static_cast<double>(bucket)));
            return;
        }
    }
}

std::int64_t short_task_room::wanted_milli(std::int64_t pool_milli) const noexcept
{
    const double wanted = mean_milli_ + deviations * std::sqrt(variance_);
    return static_cast<std::int64_t>(std::min(wanted, most_share * static_cast<double>(pool_milli)));
}

std::int64_t short_task_room::usable_milli(std::int64_t free_milli) const noexcept
{
    return free_milli >= place_milli_ ? std::max<std::int64_t>(free_milli, 0) : 0;
}

} // namespace plumspoke::dispatch
