#pragma once

/// @file
/// @brief Counters with labels and latency histograms in the Prometheus text format.

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plumspoke::metrics
{

/// @brief A monotonically increasing counter.
class counter
{
  public:
    void add(std::uint64_t amount = 1) noexcept
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

  private:
    std::atomic<std::uint64_t> value_{0};
};

/// @brief Histogram of durations in microseconds with logarithmic bins (Boost.Histogram, atomic counts).
class latency_histogram
{
  public:
    latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    ~latency_histogram();

    /// @brief Records one duration; lock-free.
    void record(std::int64_t microseconds) noexcept;

    /// @brief An upper bound of the quantile in microseconds; 0 if the histogram is empty.
    [[nodiscard]] double quantile(double share) const;
    [[nodiscard]] std::uint64_t count() const;

    /// @brief Writes `_bucket`, `_sum` and `_count` lines.
    void write(std::string& out, std::string_view name, std::string_view labels) const;

  private:
    struct bins;
    std::unique_ptr<bins> bins_;
    std::atomic<std::uint64_t> sum_us_{0};
};

/// @brief One counter in the metrics output; docs/COUNTERS.md lists them.
struct counter_line
{
    std::string name;
    std::string labels;
    std::uint64_t value = 0;
};

/// @brief Formats a label as `key="value"` with the value escaped.
[[nodiscard]] std::string label(std::string_view key, std::string_view value);

/// @brief Adds counters of the checks and violations of each invariant.
void add_invariant_lines(std::vector<counter_line>& lines);

/// @brief Formats counters, with one TYPE line for each name.
[[nodiscard]] std::string write_counters(std::span<const counter_line> lines);

} // namespace plumspoke::metrics
