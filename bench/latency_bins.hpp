#pragma once

/// @file
/// @brief Latency quantiles: from a histogram for many values, by sorting for few.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <vector>

namespace plumspoke::bench
{

/// A latency histogram with logarithmic bins, in milliseconds.
class latency_bins
{
  public:
    void add(double ms)
    {
        const double position = std::log(std::max(ms, lowest_ms) / lowest_ms) / std::log(bin_ratio);
        ++bins_.at(std::min<std::size_t>(bin_count - 1, static_cast<std::size_t>(position)));
        ++count_;
    }
    [[nodiscard]] double quantile(double share) const
    {
        double seen = 0;
        for (std::size_t i = 0; i < bin_count; ++i)
        {
            seen += static_cast<double>(bins_.at(i));
            if (seen >= share * static_cast<double>(count_) && count_ > 0)
            {
                return lowest_ms * std::pow(bin_ratio, static_cast<double>(i) + 0.5);
            }
        }
        return 0;
    }
    void clear()
    {
        bins_.fill(0);
        count_ = 0;
    }

  private:
    static constexpr double bin_ratio = 1.01; // ratio of the lower bounds of adjacent bins
    static constexpr double lowest_ms = 1;
    static constexpr std::size_t bin_count = 1400;

    std::array<std::uint64_t, bin_count> bins_{};
    std::uint64_t count_ = 0;
};

/// Returns the `share` quantile of `values` (0 to 1), or 0 if there are no values.
[[nodiscard]] inline double quantile_of(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

} // namespace plumspoke::bench
