#pragma once

/// @file
/// @brief What work of a class really needs, learnt from late usage reports; declared sizes are a prior.

#include "plumspoke/control/model.hpp"

namespace plumspoke::control
{

/// @brief Learns a high quantile of use for each work class: upwards at once, downwards slowly.
class size_model
{
  public:
    /// @brief One task was seen to use this much.
    void observe(const std::string& work_class, const resources& used);

    /// @brief What to reserve for a job: its declared size until enough was seen of its class.
    /// @note Never below an eighth or above eight times what was declared.
    [[nodiscard]] resources estimate(const job_spec& spec) const;

    /// @brief How many reports of a class were seen.
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
