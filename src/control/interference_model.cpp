#include "plumspoke/control/interference_model.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace plumspoke::control
{

namespace
{

constexpr double prior_slowdown = 0.35;
constexpr double prior_weight = 0.2; // in the unit of a pair's weight: the sum of observed shares
constexpr double learning_rate = 0.08;
constexpr double regularization = 0.02; // limits the corrections from small shares
constexpr double max_slowdown = 20;
constexpr double baseline_slowdown_limit = 0.04; // of samples that update the baseline
constexpr double baseline_rate = 0.05;
constexpr double max_pair_weight = 3;
constexpr double peak_baseline_rate = 0.004;
constexpr double peak_baseline_decay = 1 - 1e-7;

} // namespace

std::size_t load_level_of(double load) noexcept
{
    const double scaled = std::clamp(load, 0.0, 0.999) * static_cast<double>(load_levels);
    return static_cast<std::size_t>(scaled);
}

double interference_model::decayed_weight(const pair_state& pair, time_point now) const
{
    const double passed =
        std::chrono::duration<double>(now - pair.updated) / std::chrono::duration<double>(half_life_);
    return pair.weight * std::exp2(-std::max(0.0, passed));
}

double interference_model::slowdown(time_point now,
                                    const std::string& service,
                                    const std::string& work_class,
                                    double load) const
{
    const auto found = pairs_.find({service, work_class, load_level_of(load)});
    if (found == pairs_.end())
    {
        return prior_slowdown;
    }
    const double weight = decayed_weight(found->second, now);
    return (found->second.slowdown * weight + prior_slowdown * prior_weight) / (weight + prior_weight);
}

double interference_model::expected_factor(time_point now,
                                           const std::string& service,
                                           double load,
                                           std::span<const class_share> colocated) const
{
    double result = 1;
    for (const class_share& share : colocated)
    {
        result += share.share * slowdown(now, service, share.work_class, load);
    }
    return result;
}

double interference_model::baseline_p99_ms(const std::string& service, double load) const
{
    const auto found = baselines_.find(service);
    if (found == baselines_.end())
    {
        return 0;
    }
    // A level without measurements uses the nearest level that has some.
    const std::size_t wanted = load_level_of(load);
    const auto nearest = std::min_element(found->second.begin(),
                                          found->second.end(),
                                          [wanted](const auto& left, const auto& right)
                                          {
                                              const auto distance = [wanted](std::size_t level)
                                              {
                                                  return level > wanted ? level - wanted : wanted - level;
                                              };
                                              return distance(left.first) < distance(right.first);
                                          });
    return nearest == found->second.end() ? 0 : nearest->second.p99_ms;
}

double interference_model::peak_load_baseline_ms(const std::string& service) const
{
    const auto found = peak_baselines_.find(service);
    return found == peak_baselines_.end() ? 0 : found->second.highest_ms;
}

void interference_model::update_peak_baseline(const slowdown_sample& sample)
{
    peak_baseline_state& peak = peak_baselines_[sample.service];
    const double baseline = baseline_p99_ms(sample.service, sample.load);
    if (peak.mean_ms == 0)
    {
        peak.mean_ms = baseline;
    }
    // Weighted by load, so that it represents the p99 that most answers see.
    peak.mean_ms += peak_baseline_rate * sample.load * (baseline - peak.mean_ms);
    peak.highest_ms = std::max(peak.highest_ms * peak_baseline_decay, peak.mean_ms);
}

void interference_model::observe(time_point now, const slowdown_sample& sample)
{
    const std::size_t level = load_level_of(sample.load);
    baseline_state& baseline = baselines_[sample.service][level];
    const double expected = expected_factor(now, sample.service, sample.load, sample.colocated);
    if (baseline.samples == 0)
    {
        baseline.p99_ms = sample.p99_ms / expected;
    }
    if (expected - 1 < baseline_slowdown_limit)
    {
        const double step = std::max(baseline_rate, 1 / (baseline.samples + 1));
        baseline.p99_ms += step * (sample.p99_ms / expected - baseline.p99_ms);
        baseline.samples += 1;
    }
    else if (baseline.samples == 0)
    {
        baseline.samples = 0.5; // estimated from a disturbed worker; the first undisturbed sample replaces it
    }
    update_peak_baseline(sample);
    double norm = regularization;
    for (const class_share& share : sample.colocated)
    {
        norm += share.share * share.share;
    }
    const double error = sample.p99_ms / baseline.p99_ms - expected;
    for (const class_share& share : sample.colocated)
    {
        pair_state& pair = pairs_[{sample.service, share.work_class, level}];
        if (pair.weight == 0)
        {
            pair.slowdown = prior_slowdown;
        }
        const double correction = learning_rate * error * share.share / norm;
        pair.slowdown = std::clamp(pair.slowdown + correction, 0.0, max_slowdown);
        pair.weight = std::min(max_pair_weight, decayed_weight(pair, now) + share.share);
        pair.updated = now;
    }
}

} // namespace plumspoke::control
