#pragma once

/// @file
/// @brief Detects that the process did not run.

#include "plumspoke/time/time.hpp"

#include <mutex>

namespace plumspoke
{

/// @brief Bounds the age of events that a process notices late because it was stopped by a signal, its VM was
///        suspended or it got no processor time. Thread-safe.
/// @note What arrives during a pause is noticed after it, as if it had just arrived.
class pause_detector
{
  public:
    /// @param tick_interval how often `tick` is called while the process runs
    pause_detector(time_point now, duration tick_interval) noexcept;

    /// @brief Reports that the process runs. Called by one thread.
    void tick(time_point now);

    /// @brief An upper bound on the age of an event.
    /// @param noticed_at when the process noticed the event
    /// @return the time since then, or since the beginning of a pause in which the event may have arrived. A
    ///         pause of less than twice the tick interval is not detected.
    [[nodiscard]] duration max_age(time_point now, time_point noticed_at) const;

  private:
    const duration min_pause_;
    mutable std::mutex mutex_;
    time_point last_tick_at_;
    time_point paused_at_;  // when the last pause began
    time_point resumed_at_; // when it ended
};

} // namespace plumspoke
