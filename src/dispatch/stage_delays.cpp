#include "plumspoke/dispatch/stage_delays.hpp"

#include <algorithm>
#include <numeric>
#include <string>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::int64_t us_per_ms = 1000;
constexpr double max_weight = 200; // number of samples in the exponential mean

std::int64_t percentile_95(std::vector<std::int64_t>& values)
{
    const auto at = values.begin() + (std::ssize(values) - 1) * 95 / 100;
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

} // namespace

std::string_view to_string(task_stage value) noexcept
{
    switch (value)
    {
    case task_stage::queued:
        return "queued";
    case task_stage::start_record:
        return "start_record";
    case task_stage::start_order:
        return "start_order";
    case task_stage::run:
        return "run";
    case task_stage::end_record:
        return "end_record";
    }
    return "unknown";
}

void stage_delays::record(work_kind kind, task_stage stage, duration took)
{
    const auto kind_index = static_cast<std::size_t>(kind);
    const auto stage_index = static_cast<std::size_t>(stage);
    samples_.at(kind_index).at(stage_index).push_back(took.count());
    recent_mean& mean = recent_.at(kind_index).at(stage_index);
    mean.weight = std::min(mean.weight + 1, max_weight);
    mean.ms += (std::chrono::duration<double, std::milli>(took).count() - mean.ms) / mean.weight;
}

double stage_delays::overhead_ms(work_kind kind) const noexcept
{
    const auto& means = recent_[static_cast<std::size_t>(kind)];
    return means[static_cast<std::size_t>(task_stage::start_record)].ms +
           means[static_cast<std::size_t>(task_stage::start_order)].ms +
           means[static_cast<std::size_t>(task_stage::end_record)].ms;
}

logging::event stage_delays::to_event()
{
    logging::event line("dispatch", "task_stages", "Time that tasks spent in each stage in this window.");
    for (std::size_t kind = 0; kind < work_kind_count; ++kind)
    {
        for (std::size_t stage = 0; stage < task_stage_count; ++stage)
        {
            samples& series = samples_.at(kind).at(stage);
            if (series.empty())
            {
                continue;
            }
            const std::string name = std::string(to_string(static_cast<work_kind>(kind))) + "_" +
                                     std::string(to_string(static_cast<task_stage>(stage)));
            const std::int64_t sum = std::accumulate(series.begin(), series.end(), std::int64_t{0});
            line.with(name + "_mean_ms", sum / std::ssize(series) / us_per_ms)
                .with(name + "_p95_ms", percentile_95(series) / us_per_ms);
        }
    }
    return line;
}

void stage_delays::clear() noexcept
{
    for (auto& stages : samples_)
    {
        for (samples& series : stages)
        {
            series.clear();
        }
    }
}

} // namespace plumspoke::dispatch
