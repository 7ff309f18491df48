#pragma once

/// @file
/// @brief Learns how long the steps of a queue take, and how much their submitters' guesses are worth.
///
/// Load that it answers: more work than the workers can take. Then it has to be known which jobs can still be
/// in time; by guesses that are off by a factor of two and more, jobs that are late already go first.
///
/// Logarithms of the guess and of the time are regressed on each other, by queue: guesses that say nothing
/// come out as the mean of the queue, good ones as they are. Until some steps have been seen the guess
/// counts.

#include <cstdint>
#include <map>
#include <string>

namespace plumspoke::dispatch
{

/// @brief Times of the steps that ended, by queue.
class step_duration_predictor
{
  public:
    /// @brief Takes one ended step in.
    /// @param estimate_ms the submitter's estimate; 0: none
    /// @param took_ms how long its longest task ran
    void observe(const std::string& queue, std::uint32_t estimate_ms, double took_ms);

    /// @brief How long the longest task of a step will run, in ms.
    /// @complexity Logarithmic in the number of queues.
    [[nodiscard]] double predict_ms(const std::string& queue, std::uint32_t estimate_ms) const;

  private:
    /// @brief Moments of logarithms, with old steps fading.
    struct moments
    {
        double weight = 0;
        double mean_estimate = 0;
        double mean_duration = 0;
        double estimate_variance = 0; // about the mean
        double covariance = 0;        // about both means
    };
    std::map<std::string, moments> queues_;
};

} // namespace plumspoke::dispatch
