#pragma once

/// @file
/// @brief A circuit breaker for one endpoint: decisions only, times are handed in.

#include "plumspoke/time/time.hpp"

namespace plumspoke::endpoint
{

/// @brief Bounds of a guard.
struct guard_options
{
    int failures = 5;                       // in a row
    duration open_for = milliseconds(1000); // at first; doubles with each failed trial
    int max_doublings = 5;                  // up to 2^5 times the first
};

/// @brief Closed: all pass. Open: none pass until the time is over. Then one trial decides.
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

    /// @brief Whether a request may be sent now. Where it is the trial, others wait for its end.
    [[nodiscard]] bool permits(time_point now) const noexcept;

    /// @brief A request is sent; after an open time this begins the trial.
    void note_sent(time_point now) noexcept;

    void note_success() noexcept;

    /// @param may_open false where the service's share of open guards is used up
    void note_failure(time_point now, bool may_open) noexcept;

    /// @brief Opens for slowness against peers.
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
    int openings_ = 0;
    time_point open_until_{};
    time_point trial_since_{};
};

} // namespace plumspoke::endpoint
