#pragma once

/// @file
/// @brief Online model of how much each work class slows a service down on a shared worker.
///
/// The p99 of a service on a worker is modelled, for each load level, as
/// `baseline(level) * (1 + sum over classes of share * slowdown(class, level))`, where `share` is the share
/// of the worker's processors that tasks of the class hold. Each measurement corrects the slowdowns of the
/// classes present, in proportion to their share (normalised least mean squares: Widrow and Hoff, 1960).

#include "plumspoke/time/time.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace plumspoke::control
{

/// @brief Number of load levels that are learnt separately. Load is the share of busy slots, 0 to 1.
inline constexpr std::size_t load_levels = 4;
[[nodiscard]] std::size_t load_level_of(double load) noexcept;

/// @brief The share of a worker's processors that tasks of one class hold, 0 to 1.
struct class_share
{
    std::string work_class;
    double share = 0;
};

/// @brief One measurement of a service on a worker, with the tasks that ran there.
struct slowdown_sample
{
    std::string service;
    double load = 0;
    double p99_ms = 0;
    std::span<const class_share> colocated;
};

/// @brief Learns and predicts slowdowns for pairs of service and work class.
class interference_model
{
  public:
    /// @param half_life time after which the confidence in a pair has halved, because workloads change
    explicit interference_model(duration half_life = seconds(600)) noexcept : half_life_(half_life)
    {
    }

    void observe(time_point now, const slowdown_sample& sample);

    /// @brief The predicted slowdown of a service if tasks of a class held the whole worker.
    /// @return the increase of the p99 relative to its baseline: 0.5 is 50 percent slower
    /// @note With few observations the value stays close to a cautious prior.
    [[nodiscard]] double
    slowdown(time_point now, const std::string& service, const std::string& work_class, double load) const;

    /// @brief The predicted ratio of a service's p99 to its baseline beside these classes; 1 is undisturbed.
    [[nodiscard]] double expected_factor(time_point now,
                                         const std::string& service,
                                         double load,
                                         std::span<const class_share> colocated) const;

    /// @brief The p99 of an undisturbed service at a load, in ms; 0 before the first measurement.
    [[nodiscard]] double baseline_p99_ms(const std::string& service, double load) const;

    /// @brief The highest load-weighted mean of a service's baseline p99 so far, in ms; 0 before the first
    ///        measurement.
    [[nodiscard]] double peak_load_baseline_ms(const std::string& service) const;

  private:
    struct pair_key
    {
        std::string service;
        std::string work_class;
        std::size_t level = 0;

        bool operator<(const pair_key& other) const noexcept
        {
            return std::tie(service, work_class, level) <
                   std::tie(other.service, other.work_class, other.level);
        }
    };
    struct pair_state
    {
        double slowdown = 0;
        double weight = 0;
        time_point updated{};
    };
    /// @brief Moving average of the baseline p99 over all workers, weighted by load, and its maximum, which
    ///        decays slowly.
    struct peak_baseline_state
    {
        double mean_ms = 0;
        double highest_ms = 0;
    };
    struct baseline_state
    {
        double p99_ms = 0;
        double samples = 0;
    };

    [[nodiscard]] double decayed_weight(const pair_state& pair, time_point now) const;

    void update_peak_baseline(const slowdown_sample& sample);

    duration half_life_;
    std::map<std::string, peak_baseline_state> peak_baselines_;
    std::map<pair_key, pair_state> pairs_;
    std::map<std::string, std::map<std::size_t, baseline_state>> baselines_;
};

} // namespace plumspoke::control
