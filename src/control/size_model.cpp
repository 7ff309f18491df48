#include "plumspoke/control/size_model.hpp"

#include <algorithm>
#include <cmath>

namespace plumspoke::control
{

namespace
{

constexpr std::size_t min_samples = 8;
constexpr double rise_rate = 0.5;
constexpr double fall_rate = 0.02;
constexpr double processor_margin = 1.1;
constexpr double memory_margin = 1.3; // larger than for processors, because memory can't be throttled
constexpr double max_estimate_ratio = 8;

void update_estimate(double& estimate, double seen)
{
    estimate += (seen > estimate ? rise_rate : fall_rate) * (seen - estimate);
}

std::int64_t clamp_to_declared(double learned, std::int64_t declared)
{
    const auto prior = static_cast<double>(declared);
    return std::llround(std::clamp(learned, prior / max_estimate_ratio, prior * max_estimate_ratio));
}

} // namespace

void size_model::observe(const std::string& work_class, const resources& used)
{
    class_estimate& known = classes_[work_class];
    if (known.samples == 0)
    {
        known.millicores = static_cast<double>(used.millicores);
        known.memory_mb = static_cast<double>(used.memory_mb);
    }
    update_estimate(known.millicores, static_cast<double>(used.millicores));
    update_estimate(known.memory_mb, static_cast<double>(used.memory_mb));
    ++known.samples;
}

resources size_model::estimate(const job_spec& spec) const
{
    const auto found = classes_.find(spec.work_class);
    if (found == classes_.end() || found->second.samples < min_samples)
    {
        return spec.declared;
    }
    resources result = spec.declared; // accelerators aren't shared, so they stay as declared
    result.millicores = std::max<std::int64_t>(
        1, clamp_to_declared(found->second.millicores * processor_margin, spec.declared.millicores));
    result.memory_mb = clamp_to_declared(found->second.memory_mb * memory_margin, spec.declared.memory_mb);
    return result;
}

std::size_t size_model::samples(const std::string& work_class) const
{
    const auto found = classes_.find(work_class);
    return found == classes_.end() ? 0 : found->second.samples;
}

} // namespace plumspoke::control
