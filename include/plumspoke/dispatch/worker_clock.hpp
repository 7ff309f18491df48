#pragma once

/// @file
/// @brief A lower bound on a worker's clock.

#include "plumspoke/time/time.hpp"

#include <optional>

namespace plumspoke::dispatch
{

/// @brief Lower bound on the steady clock of another machine, which may run slow.
class worker_clock
{
  public:
    /// @param slowest the slowest rate of that clock relative to ours, such as 0.98
    explicit worker_clock(double slowest) noexcept : slowest_(slowest)
    {
    }

    /// @brief Adds a reading that came with an answer.
    void observe(std::int64_t clock_ms, time_point received_at) noexcept;

    [[nodiscard]] bool known() const noexcept
    {
        return received_at_.has_value();
    }

    /// @brief A time that the clock has certainly reached by `now`.
    [[nodiscard]] std::int64_t lower_bound(time_point now) const noexcept;

    /// @brief The time from which on the clock has certainly passed `clock_ms`.
    [[nodiscard]] time_point certainly_past(std::int64_t clock_ms) const noexcept;

  private:
    double slowest_;
    std::int64_t clock_ms_ = 0;
    std::optional<time_point> received_at_;
};

} // namespace plumspoke::dispatch
