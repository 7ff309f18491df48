#pragma once

/// @file
/// @brief State and metrics of one service in an entry, kept across configuration versions.

#include "plumspoke/entry/reason.hpp"
#include "plumspoke/entry/retry_budget.hpp"
#include "plumspoke/metrics/metrics.hpp"
#include "plumspoke/time/time.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace plumspoke::entry
{

/// @brief Counters, latency histograms and the retry budget of a service; lock-free.
class service_state : public boost::intrusive_ref_counter<service_state>
{
  public:
    service_state(std::string name, std::int64_t retry_percent, std::int64_t retry_reserve)
        : name_(std::move(name)), budget_(retry_percent, retry_reserve)
    {
    }

    [[nodiscard]] const std::string& name() const noexcept
    {
        return name_;
    }
    [[nodiscard]] retry_budget& budget() noexcept
    {
        return budget_;
    }

    /// @brief Smoothed time in microseconds that a slot is held; 0 before the first sample.
    [[nodiscard]] std::int64_t mean_slot_time_us() const noexcept
    {
        return mean_slot_time_us_.load(std::memory_order_relaxed);
    }
    void record_slot_time(duration took) noexcept
    {
        constexpr std::int64_t smoothing = 16;
        const std::int64_t before = mean_slot_time_us();
        const std::int64_t time = took.count() < 1 ? 1 : took.count();
        mean_slot_time_us_.store(before == 0 ? time : before + (time - before) / smoothing,
                                 std::memory_order_relaxed);
    }

    std::atomic<std::int64_t> in_flight{0};
    std::atomic<std::int64_t> waiting{0};
    metrics::counter requests;
    metrics::counter attempts;
    std::array<metrics::counter, refusal_count> refusals;
    std::array<metrics::counter, retry_reason_count> retries;
    std::array<metrics::latency_histogram, outcome_count>
        latency; // by outcome; its count is the number of such outcomes

  private:
    std::string name_;
    retry_budget budget_;
    std::atomic<std::int64_t> mean_slot_time_us_{0};
};

} // namespace plumspoke::entry
