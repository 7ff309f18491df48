#pragma once

/// @file
/// @brief Estimates the resources that jobs of a class use, from usage reports.

#include "plumspoke/control/model.hpp"

namespace plumspoke::control
{

/// @brief Tracks a high quantile of use per work class: it rises quickly and falls slowly.
class size_model
{
  public:
    /// @brief Takes in the measured use of one task.
    void observe(const std::string& work_class, const resources& used);

    /// @brief The resources to reserve for a job: its declared size until its class has enough reports.
    /// @note Stays between an eighth and eight times the declared size.
    [[nodiscard]] resources estimate(const job_spec& spec) const;

    /// @brief Number of usage reports of a class.
    [[nodiscard]] std::size_t samples(const std::string& work_class) const;

  private:
    struct class_estimate
    {
        double millicores = 0;
        double memory_mb = 0;
        std::size_t samples = 0;
    };

    std::map<std::string, class_estimate> classes_;
};

} // namespace plumspoke::control
