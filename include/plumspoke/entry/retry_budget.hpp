#pragma once

/// @file
/// @brief Limits retries to a share of the requests, so that failures do not multiply the load.

#include <atomic>
#include <cstdint>

namespace plumspoke::entry
{

/// @brief A token bucket filled by requests instead of time: each request adds a fraction of a retry.
class retry_budget
{
  public:
    /// @param percent retries allowed per hundred requests
    /// @param reserve capacity of the bucket, in retries; it starts full
    retry_budget(std::int64_t percent, std::int64_t reserve) noexcept
        : earned_per_request_(percent), max_balance_(reserve * units_per_retry),
          balance_(reserve * units_per_retry)
    {
    }

    void record_request() noexcept
    {
        std::int64_t balance = balance_.load(std::memory_order_relaxed);
        while (balance < max_balance_ &&
               !balance_.compare_exchange_weak(balance,
                                               balance + earned_per_request_ < max_balance_
                                                   ? balance + earned_per_request_
                                                   : max_balance_,
                                               std::memory_order_relaxed))
        {
        }
    }

    /// @return whether a retry is allowed; if so, it has been deducted
    [[nodiscard]] bool try_consume() noexcept
    {
        std::int64_t balance = balance_.load(std::memory_order_relaxed);
        while (balance >= units_per_retry)
        {
            if (balance_.compare_exchange_weak(balance, balance - units_per_retry, std::memory_order_relaxed))
            {
                return true;
            }
        }
        return false;
    }

  private:
    static constexpr std::int64_t units_per_retry = 100;

    std::int64_t earned_per_request_;
    std::int64_t max_balance_;
    std::atomic<std::int64_t> balance_;
};

} // namespace plumspoke::entry
