#include "plumspoke/dispatch/short_task_demand.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace plumspoke::dispatch
{

namespace
{

// Time constant of the moving averages. It spans several bursts, which last about a second, and is short
// against the minute for which a lasting task occupies the capacity that it takes.
constexpr double decay_time_s = 15;
constexpr double first_interval_s = 0.1; // for the first observation: the usual interval
constexpr double deviations = 2;
// Largest share of a pool that is kept free. Lasting tasks are users' work too: when short tasks need more,
// both have to wait.
constexpr double max_share = 0.3;
constexpr double slot_quantile = 0.9;
constexpr double min_size_milli = 100;
constexpr double bucket_factor = 1.25;

} // namespace

std::size_t short_task_demand::bucket_of(std::int64_t cpu_milli) noexcept
{
    const double ratio = std::max(static_cast<double>(cpu_milli) / min_size_milli, 1.0);
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(bucket_factor)));
    return std::min(bucket, size_buckets - 1);
}

void short_task_demand::observe(time_point now, std::span<const task_demand> demands)
{
    const double elapsed_s = observed_at_.has_value()
                                 ? std::chrono::duration<double>(now - *observed_at_).count()
                                 : first_interval_s;
    observed_at_ = now;
    double demand_milli = 0;
    for (const task_demand& demand : demands)
    {
        demand_milli += static_cast<double>(demand.cpu_milli) * demand.tasks;
    }
    // An arithmetic mean at first, which turns into an exponential moving average.
    const double decay = std::exp(-elapsed_s / decay_time_s);
    weight_ = weight_ * decay + (1 - decay);
    const double gain = (1 - decay) / weight_;
    const double deviation = demand_milli - mean_milli_;
    mean_milli_ += gain * deviation;
    variance_ = (1 - gain) * (variance_ + gain * deviation * deviation);
    add_sizes(demands, decay);
    update_slot_size();
}

void short_task_demand::add_sizes(std::span<const task_demand> demands, double decay)
{
    for (double& weight : sizes_)
    {
        weight *= decay;
    }
    for (const task_demand& demand : demands)
    {
        sizes_.at(bucket_of(demand.cpu_milli)) += (1 - decay) * demand.tasks;
    }
}

void short_task_demand::update_slot_size() noexcept
{
    const double total = std::accumulate(sizes_.begin(), sizes_.end(), 0.0);
    if (total <= 0)
    {
        return;
    }
    double cumulative = 0;
    for (std::size_t bucket = 0; bucket < size_buckets; ++bucket)
    {
        cumulative += sizes_.at(bucket);
        if (cumulative >= slot_quantile * total)
        {
            slot_milli_ = static_cast<std::int64_t>(min_size_milli *
                                                    std::pow(bucket_factor, static_cast<double>(bucket)));
            return;
        }
    }
}

std::int64_t short_task_demand::target_milli(std::int64_t pool_milli) const noexcept
{
    const double target = mean_milli_ + deviations * std::sqrt(variance_);
    return static_cast<std::int64_t>(std::min(target, max_share * static_cast<double>(pool_milli)));
}

std::int64_t short_task_demand::usable_milli(std::int64_t free_milli) const noexcept
{
    return free_milli >= slot_milli_ ? std::max<std::int64_t>(free_milli, 0) : 0;
}

} // namespace plumspoke::dispatch
