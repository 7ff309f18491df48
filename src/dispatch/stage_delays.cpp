#include "plumspoke/dispatch/stage_delays.hpp"

#include <algorithm>
#include <numeric>
#include <string>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::int64_t us_per_ms = 1000;
constexpr double max_weight = 200; // samples after which old ones fade

std::int64_t percentile_95(std::vector<std::int64_t>& of)
{
    const auto at = of.begin() + (std::ssize(of) - 1) * 95 / 100;
    std::nth_element(of.begin(), at, of.end());
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
    recent_mean& of = recent_.at(kind_index).at(stage_index);
    of.weight = std::min(of.weight + 1, max_weight);
    of.ms += (std::chrono::duration<double, std::milli>(took).count() - of.ms) / of.weight;
}

double stage_delays::overhead_ms(work_kind kind) const noexcept
{
    const auto& of = recent_[static_cast<std::size_t>(kind)];
    return of[static_cast<std::size_t>(task_stage::start_record)].ms +
           of[static_cast<std::size_t>(task_stage::start_order)].ms +
           of[static_cast<std::size_t>(task_stage::end_record)].ms;
}

logging::event stage_delays::to_event()
{
    logging::event line("dispatch", "task_stages", "How long tasks spent in each stage in this window.");
    for (std::size_t kind = 0; kind < work_kind_count; ++kind)
    {
        for (std::size_t stage = 0; stage < task_stage_count; ++stage)
        {
            samples& of = samples_.at(kind).at(stage);
            if (of.empty())
            {
                continue;
            }
            const std::string name = std::string(to_string(static_cast<work_kind>(kind))) + "_" +
                                     std::string(to_string(static_cast<task_stage>(stage)));
            const std::int64_t sum = std::accumulate(of.begin(), of.end(), std::int64_t{0});
            line.with(name + "_mean_ms", sum / std::ssize(of) / us_per_ms)
                .with(name + "_p95_ms", percentile_95(of) / us_per_ms);
        }
    }
    return line;
}

void stage_delays::clear() noexcept
{
    for (auto& stages : samples_)
    {
        for (samples& of : stages)
        {
            of.clear();
        }
    }
}

} // namespace plumspoke::dispatch
