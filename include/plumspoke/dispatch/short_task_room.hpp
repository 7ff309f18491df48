#pragma once

/// @file
/// @brief How much room is kept from lasting tasks so that short ones start at once, learned from short ones.
///
/// Load that it answers: lasting tasks that come until every worker is full, and short tasks that come in
/// bursts and are large against what is left on any one worker. A lasting task never makes room; a share of
/// each worker's processors is not room for one task anywhere where tasks are larger than that share.
///
/// So room counts as whole places: a worker's free processors count only where one task of nearly any size
/// seen (the ninth decile) fits there. As much is kept as short tasks wanted in the last seconds, on average
/// and two standard deviations more; a Poisson stream of jobs stays below that for 97% of the time.

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

/// @brief What short tasks of one pool have wanted.
class short_task_room
{
  public:
    /// @brief Takes in what runs and waits now.
    void observe(time_point now, std::span<const task_demand> demands);

    /// @brief Thousandths of a core that are to stay free of lasting tasks, in whole places.
    /// @param pool_milli all processors of the pool
    [[nodiscard]] std::int64_t wanted_milli(std::int64_t pool_milli) const noexcept;

    /// @brief How much of a worker's free processors is room for short tasks: all or nothing.
    [[nodiscard]] std::int64_t usable_milli(std::int64_t free_milli) const noexcept;

    /// @brief The size of one place: nine of ten short tasks fit into it.
    [[nodiscard]] std::int64_t place_milli() const noexcept
    {
        return place_milli_;
    }

  private:
    // Sizes grow by a quarter from bucket to bucket, from a tenth of a core to a thousand cores.
    static constexpr std::size_t size_buckets = 42;
    [[nodiscard]] static std::size_t bucket_of(std::int64_t cpu_milli) noexcept;
    void note_sizes(std::span<const task_demand> demands, double kept);
    void find_place() noexcept;

    std::optional<time_point> observed_at_;
    double weight_ = 0;
    double mean_milli_ = 0;
    double variance_ = 0;
    std::array<double, size_buckets> sizes_{};
    std::int64_t place_milli_ = 0;
};

} // namespace plumspoke::dispatch
