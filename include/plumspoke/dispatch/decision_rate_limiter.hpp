#pragma once

/// @file
/// @brief How often a leader decides.

#include "plumspoke/time/time.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

/// @brief Rests after each decision for a multiple of what it took, so that answers and renewals of leases
///        have the larger part of a small processor, however much there is to decide.
///
/// What happens meanwhile is taken into one decision. Time is counted by the clock, not by the processor: a
/// leader that is kept from running decides less often too.
class decision_rate_limiter
{
  public:
    /// @brief When the next decision may be made.
    [[nodiscard]] time_point next_at() const noexcept
    {
        return next_at_;
    }

    /// @brief Takes note of a decision.
    void record(time_point begun, time_point ended) noexcept
    {
        next_at_ = ended + std::min<time_point::duration>(pause_factor * (ended - begun), max_pause);
    }

    /// @brief Whether a decision gives way to the heartbeats that renew the leader's own lease.
    /// @param lease_left of the leader's lease, which its peers renew
    ///
    /// Load that it answers: a leader at the end of its processors. Its heartbeats and their answers share
    /// them with the decisions; a term that ends for want of a renewal costs every run's lease and a
    /// take-over, and makes more to do for the next leader. A decision put off by a fifth of a second costs a
    /// few starts.
    [[nodiscard]] bool should_defer(time_point now, duration lease_left) noexcept
    {
        if (lease_left >= min_lease_left)
        {
            deferring_since_ = time_point{};
            return false;
        }
        if (deferring_since_ == time_point{})
        {
            deferring_since_ = now;
        }
        if (now < deferring_since_ + max_deferral)
        {
            return true;
        }
        deferring_since_ = now; // one decision; where peers are always slow, one each time
        return false;
    }

  private:
    // A lease lasts 600 ms after the heartbeat that renewed it, and one is sent each 150 ms: with less than
    // this left two in a row are missing.
    static constexpr duration min_lease_left = milliseconds(250);
    // Renewals of workers' leases are due once a second.
    static constexpr duration max_deferral = milliseconds(200);
    // Decisions of up to 17 ms take a quarter of the time at most; the bound on the rest keeps longer ones
    // going.
    static constexpr int pause_factor = 3;
    // A start waits for its record for some 15 ms anyway, and a renewal is due once a second.
    static constexpr duration max_pause = milliseconds(50);

    time_point next_at_{};
    time_point deferring_since_{};
};

} // namespace plumspoke::dispatch
