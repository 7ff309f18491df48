#pragma once

/// @file
/// @brief A circuit breaker for one endpoint. Reads no clock: the current time is a parameter.

#include "plumspoke/time/time.hpp"

namespace plumspoke::endpoint
{

/// @brief Options of a guard.
struct guard_options
{
    int failures = 5;                       // consecutive failures that open the guard
    duration open_for = milliseconds(1000); // first open time; doubles with each failed trial
    int max_doublings = 5;                  // limits the open time to 2^5 times the first
};

/// @brief Circuit breaker. Closed: all requests pass. Open: none pass until the open time has elapsed. Trial:
///        one request passes, and its result closes or reopens the guard.
class guard
{
  public:
    enum class state : std::uint8_t
    {
        closed,
        open,
        trial,
    };

    explicit guard(guard_options options) noexcept : options_(options)
    {
    }

    /// @brief Whether a request may be sent now. While a trial is running, no other request may.
    [[nodiscard]] bool permits(time_point now) const noexcept;

    /// @brief Records that a request is sent; starts the trial if the open time has elapsed.
    void record_sent(time_point now) noexcept;

    void record_success() noexcept;

    /// @param may_open false if the limit of open guards of the service is reached
    void record_failure(time_point now, bool may_open) noexcept;

    /// @brief Opens a closed guard, because the endpoint is slow compared to its peers.
    void trip(time_point now) noexcept;

    [[nodiscard]] state current() const noexcept
    {
        return state_;
    }
    [[nodiscard]] bool is_excluded(time_point now) const noexcept
    {
        return state_ != state::closed && !permits(now);
    }

  private:
    void open(time_point now) noexcept;

    guard_options options_;
    state state_ = state::closed;
    int consecutive_failures_ = 0;
    int consecutive_openings_ = 0;
    time_point open_until_{};
    time_point trial_since_{};
};

} // namespace plumspoke::endpoint
