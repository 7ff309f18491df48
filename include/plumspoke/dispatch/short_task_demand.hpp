#pragma once

/// @file
/// @brief Learns from recent short tasks how much capacity to keep free of lasting tasks, so that short tasks
///        start at once.
///
/// Without this headroom lasting tasks fill every worker, and bursts of short tasks that are larger than what
/// any worker has left wait until lasting tasks end. Keeping the same share free on each worker doesn't help:
/// a task that is larger than that share fits nowhere.
///
/// Headroom is therefore counted in slots: a worker's free processors count only if a task of the ninth
/// decile of recent sizes fits there. The target is the mean of the recent demand plus two standard
/// deviations; the demand of jobs that arrive as a Poisson process stays below that for 97% of the time.

#include "plumspoke/time/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace plumspoke::dispatch
{

/// @brief Short tasks of one size, running or waiting.
struct task_demand
{
    std::int64_t cpu_milli = 0; // of each
    std::uint32_t tasks = 0;
};

/// @brief Recent demand of the short tasks of one pool.
class short_task_demand
{
  public:
    /// @brief Updates the averages with the short tasks that run and wait now.
    void observe(time_point now, std::span<const task_demand> demands);

    /// @brief Headroom to keep free of lasting tasks, counted in slots.
    /// @param pool_milli all processors of the pool, in thousandths of a core
    /// @return thousandths of a core
    [[nodiscard]] std::int64_t target_milli(std::int64_t pool_milli) const noexcept;

    /// @brief How much of a worker's free processors counts as headroom: all if a slot fits, else nothing.
    /// @return thousandths of a core
    [[nodiscard]] std::int64_t usable_milli(std::int64_t free_milli) const noexcept;

    /// @brief The size of a slot in thousandths of a core: nine of ten recent short tasks fit.
    [[nodiscard]] std::int64_t slot_milli() const noexcept
    {
        return slot_milli_;
    }

  private:
    // A logarithmic histogram of sizes, whose bounds grow by a quarter from 0.1 to 1,000 cores.
    static constexpr std::size_t size_buckets = 42;
    [[nodiscard]] static std::size_t bucket_of(std::int64_t cpu_milli) noexcept;
    void add_sizes(std::span<const task_demand> demands, double decay);
    void update_slot_size() noexcept;

    std::optional<time_point> observed_at_;
    double weight_ = 0;
    double mean_milli_ = 0;
    double variance_ = 0;
    std::array<double, size_buckets> sizes_{};
    std::int64_t slot_milli_ = 0;
};

} // namespace plumspoke::dispatch
