#include "plumspoke/dispatch/step_duration_predictor.hpp"

#include <algorithm>
#include <cmath>

namespace plumspoke::dispatch
{

namespace
{

// Steps in the exponential mean: about ten seconds of a busy queue, so that changes of its work are followed.
constexpr double max_weight = 200;
// Weight of the submitter's estimate, as a number of steps.
constexpr double prior_weight = 4;
constexpr double min_ms = 1;

double to_log(double ms) noexcept
{
    return std::log(std::max(ms, min_ms));
}

} // namespace

void step_duration_predictor::observe(const std::string& queue, std::uint32_t estimate_ms, double took_ms)
{
    moments& stats = queues_[queue];
    const double duration_log = to_log(took_ms);
    const double estimate = estimate_ms == 0 ? duration_log : to_log(estimate_ms);
    stats.weight = std::min(stats.weight + 1, max_weight);
    const double share = 1 / stats.weight;
    const double estimate_deviation = estimate - stats.mean_estimate;
    const double duration_deviation = duration_log - stats.mean_duration;
    stats.mean_estimate += share * estimate_deviation;
    stats.mean_duration += share * duration_deviation;
    stats.estimate_variance =
        (1 - share) * (stats.estimate_variance + share * estimate_deviation * estimate_deviation);
    stats.covariance = (1 - share) * (stats.covariance + share * estimate_deviation * duration_deviation);
}

double step_duration_predictor::predict_ms(const std::string& queue, std::uint32_t estimate_ms) const
{
    const auto found = queues_.find(queue);
    if (found == queues_.end())
    {
        return std::max<double>(estimate_ms, min_ms);
    }
    const moments& stats = found->second;
    const double estimate = estimate_ms == 0 ? stats.mean_estimate : to_log(estimate_ms);
    // The variance of the estimates is uncertain while few steps were seen, so the slope is bounded, which
    // shrinks the estimate towards the mean.
    const double slope =
        stats.estimate_variance > 0 ? std::clamp(stats.covariance / stats.estimate_variance, 0.0, 1.0) : 0.0;
    const double learned = stats.mean_duration + slope * (estimate - stats.mean_estimate);
    const double known = stats.weight / (stats.weight + prior_weight);
    const double prior = estimate_ms == 0 ? learned : estimate;
    return std::exp(known * learned + (1 - known) * prior);
}

} // namespace plumspoke::dispatch
