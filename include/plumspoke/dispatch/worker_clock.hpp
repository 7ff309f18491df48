#pragma once

/// @file
/// @brief What is known of a worker's clock: a bound that is never ahead of it.

#include "plumspoke/time/time.hpp"

#include <optional>

namespace plumspoke::dispatch
{

/// @brief Bounds another machine's steady clock, which may run slow.
class worker_clock
{
  public:
    /// @param slowest the least that the clock moves for one second of ours, such as 0.98
    explicit worker_clock(double slowest) noexcept : slowest_(slowest)
    {
    }

    /// @brief Takes a reading that came with an answer.
    void observe(std::int64_t clock_ms, time_point received_at) noexcept;

    [[nodiscard]] bool known() const noexcept
    {
        return received_at_.has_value();
    }

    /// @brief A time that the clock has reached by `now`.
    [[nodiscard]] std::int64_t lower_bound(time_point now) const noexcept;

    /// @brief From when on the clock has surely passed `clock_ms`.
    [[nodiscard]] time_point certainly_past(std::int64_t clock_ms) const noexcept;

  private:
    double slowest_;
    std::int64_t clock_ms_ = 0;
    std::optional<time_point> received_at_;
};

} // namespace plumspoke::dispatch
