#include "plumspoke/dispatch/stage_delays.hpp"

#include <algorithm>
#include <numeric>
#include <string>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::int64_t us_per_ms = 1000;

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
    samples_.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(stage)).push_back(took.count());
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
