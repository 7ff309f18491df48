#pragma once

/// @file
/// @brief Predicts step durations per queue from past steps and the submitters' estimates.
///
/// Under overload the scheduler has to know which jobs can still meet their objective. With estimates that
/// are off by a factor of two or more, jobs that are already late would be preferred.
///
/// The logarithm of the duration is regressed on that of the estimate per queue: uninformative estimates
/// yield the mean of the queue, accurate ones are used as they are. The estimate alone counts until some
/// steps have ended.

#include <cstdint>
#include <map>
#include <string>

namespace plumspoke::dispatch
{

/// @brief Statistics of ended steps by queue.
class step_duration_predictor
{
  public:
    /// @brief Adds an ended step.
    /// @param estimate_ms the submitter's estimate; 0: none
    /// @param took_ms duration of its longest task
    void observe(const std::string& queue, std::uint32_t estimate_ms, double took_ms);

    /// @brief Predicted duration of the longest task of a step, in ms.
    /// @complexity Logarithmic in the number of queues.
    [[nodiscard]] double predict_ms(const std::string& queue, std::uint32_t estimate_ms) const;

  private:
    /// @brief Exponentially weighted moments of the logarithms of estimates and durations.
    struct moments
    {
        double weight = 0;
        double mean_estimate = 0;
        double mean_duration = 0;
        double estimate_variance = 0;
        double covariance = 0;
    };
    std::map<std::string, moments> queues_;
};

} // namespace plumspoke::dispatch
