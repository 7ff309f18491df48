#pragma once

/// @file
/// @brief How much work of a class slows a service down on a shared worker, learnt from late measurements.
///
/// For a service at a load level, its p99 on a worker is taken as
/// `baseline(level) * (1 + sum over classes of share * slowdown(class, level))`, where `share` is the part of
/// the worker's processors that tasks of the class hold. Each measurement corrects the pairs that were
/// there, in proportion to their share (normalised least mean squares: Widrow and Hoff, 1960).

#include "plumspoke/time/time.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace plumspoke::control
{

/// @brief Load is learnt in four levels, by the share of peak slots.
inline constexpr std::size_t load_levels = 4;
[[nodiscard]] std::size_t load_level_of(double load) noexcept;

/// @brief The share of a worker's processors that tasks of one class hold.
struct class_share
{
    std::string work_class;
    double share = 0;
};

/// @brief One measurement of a service on a worker.
struct slowdown_sample
{
    std::string service;
    double load = 0;
    double p99_ms = 0;
    std::span<const class_share> colocated;
};

/// @brief Learns and predicts slowdowns.
class interference_model
{
  public:
    /// @param half_life after which a pair's confidence has halved; load shifts, so old knowledge fades
    explicit interference_model(duration half_life = seconds(600)) noexcept : half_life_(half_life)
    {
    }

    void observe(time_point now, const slowdown_sample& sample);

    /// @brief The slowdown that a whole worker full of this class is expected to cause, at a load level.
    /// @note Pairs that were hardly seen lean towards a cautious prior.
    [[nodiscard]] double
    slowdown(time_point now, const std::string& service, const std::string& work_class, double load) const;

    /// @brief The expected factor on a service's p99 colocated these classes; 1 is undisturbed.
    [[nodiscard]] double expected_factor(time_point now,
                                         const std::string& service,
                                         double load,
                                         std::span<const class_share> colocated) const;

    /// @brief The baseline p99 of a service at a load; 0 before the first measurement.
    [[nodiscard]] double baseline_p99_ms(const std::string& service, double load) const;

    /// @brief The baseline p99 that most answers saw when the service was at its busiest; 0 before the first
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
    /// @brief The baseline p99 over all workers, weighted by load, and the highest that it was.
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
