#pragma once

/// @file
/// @brief Time that tasks spend in each stage from readiness to the record of their end, by kind of work.

#include "plumspoke/dispatch/placement_counts.hpp"
#include "plumspoke/time/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace plumspoke::dispatch
{

/// @brief A stage of a task, measured by the leader's clock.
enum class task_stage : std::uint8_t
{
    queued,       // from the readiness of the step to the first grant
    start_record, // from the grant to its commit
    start_order,  // from the commit to the worker's confirmation of the start
    run,          // from the confirmation until the leader has read the end
    end_record,   // from reading the end to its commit
};
inline constexpr std::size_t task_stage_count = 5;

/// @brief The name for log lines.
[[nodiscard]] std::string_view to_string(task_stage value) noexcept;

/// @brief Delays of the current report window, and running means over recent tasks.
class stage_delays
{
  public:
    void record(work_kind kind, task_stage stage, duration took);

    /// @brief Mean and 95th percentile of each stage in ms; omits stages without samples.
    [[nodiscard]] logging::event to_event();

    void clear() noexcept;

    /// @brief Mean time from the grant to the commit of the end, without the run itself, of recent tasks; in
    /// ms.
    /// @return 0 before the first task
    [[nodiscard]] double overhead_ms(work_kind kind) const noexcept;

  private:
    struct recent_mean
    {
        double ms = 0;
        double weight = 20; // of the initial 0, so that a single slow record has little effect
    };
    using samples = std::vector<std::int64_t>; // in microseconds
    std::array<std::array<samples, task_stage_count>, work_kind_count> samples_{};
    std::array<std::array<recent_mean, task_stage_count>, work_kind_count> recent_{};
};

} // namespace plumspoke::dispatch
