#pragma once

/// @file
/// @brief Limits how often a leader makes decisions.

#include "plumspoke/time/time.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

/// @brief Pauses after each decision for a multiple of its duration, so that answers and lease renewals get
///        the larger part of a small processor under any load.
///
/// Events that arrive during the pause are handled in one decision. Durations are wall-clock time rather
/// than processor time, so a leader that is not scheduled also decides less often.
class decision_rate_limiter
{
  public:
    /// @brief The earliest time of the next decision.
    [[nodiscard]] time_point next_at() const noexcept
    {
        return next_at_;
    }

    /// @brief Records a decision and computes the pause after it.
    void record(time_point begun, time_point ended) noexcept
    {
        next_at_ = ended + std::min<time_point::duration>(pause_factor * (ended - begun), max_pause);
    }

    /// @brief Whether a decision should be deferred in favour of the heartbeats that renew the leader's
    /// lease.
    /// @param lease_left the time left of the leader's lease, which its peers renew
    ///
    /// On a leader that uses all of its processors, heartbeats and their answers compete with decisions. A
    /// term that ends for lack of a renewal costs the leases of all runs and a take-over, which is more work
    /// for the next leader. Deferring a decision by 200 ms delays only a few starts.
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
        deferring_since_ = now; // allows one decision per `max_deferral` while peers stay slow
        return false;
    }

  private:
    // A lease lasts 600 ms from the heartbeat that renewed it, and heartbeats are sent every 150 ms: below
    // this, two in a row are missing.
    static constexpr duration min_lease_left = milliseconds(250);
    // Well below the interval of one second at which workers' leases are renewed.
    static constexpr duration max_deferral = milliseconds(200);
    // Decisions of up to 17 ms use at most a quarter of the time; `max_pause` bounds the pause after longer
    // ones.
    static constexpr int pause_factor = 3;
    // Committing a start takes about 15 ms anyway, and a lease renewal is due once a second.
    static constexpr duration max_pause = milliseconds(50);

    time_point next_at_{};
    time_point deferring_since_{};
};

} // namespace plumspoke::dispatch
