#pragma once

/// @file
/// @brief How far a leader is behind, and what it leaves for later because of it.
///
/// Renewals of leases come first: a lease that lapses throws work away and makes more to do. So a leader that
/// is late starts fewer tasks (additive increase, multiplicative decrease, as in Chiu and Jain, 1989), asks
/// its workers less often, and, where that is not enough, takes no new jobs.

#include "plumspoke/time/time.hpp"

#include <algorithm>
#include <cstddef>

namespace plumspoke::dispatch
{

/// @brief The strain of one term.
class overload_controller
{
  public:
    /// @brief Takes note of how late a decision comes.
    void record(time_point now, duration late) noexcept
    {
        smoothed_lateness_ = std::max(late, smoothed_lateness_ * decay_numerator / decay_denominator);
        if (late < lateness_limit)
        {
            starts_allowed_ = std::min(starts_allowed_ + start_increment, max_starts);
            behind_since_ = ++on_time_streak_ >= recovery_streak ? time_point{} : behind_since_;
            return;
        }
        on_time_streak_ = 0;
        starts_allowed_ = std::max(starts_allowed_ / 2, min_starts);
        behind_since_ = behind_since_ == time_point{} ? now : behind_since_;
        late_until_ = now + late_duration;
    }

    /// @brief How many tasks one decision may start.
    [[nodiscard]] std::size_t starts_allowed() const noexcept
    {
        return starts_allowed_;
    }

    /// @brief Whether the leader was late within the last second: then workers are asked less often.
    [[nodiscard]] bool is_late(time_point now) const noexcept
    {
        return now < late_until_;
    }

    /// @brief How long a worker whose tasks end isn't asked again: longer the later decisions come, well
    /// before they
    ///        count as late, so that a leader near the end of its processor makes itself less to do in time.
    ///
    /// For thousands of workers and a leader with little processor: its polls would take what starts need.
    [[nodiscard]] duration poll_delay_after_ends(duration shortest, duration longest) const noexcept
    {
        if (smoothed_lateness_ <= normal_lateness)
        {
            return shortest;
        }
        const duration over = std::min(smoothed_lateness_, lateness_limit) - normal_lateness;
        return shortest + (longest - shortest) * over.count() / (lateness_limit - normal_lateness).count();
    }

    /// @brief Whether the leader has been late for so long, without a breath between, that it should take no
    ///        more jobs.
    [[nodiscard]] bool refuses_jobs(time_point now) const noexcept
    {
        return is_late(now) && behind_since_ != time_point{} && now >= behind_since_ + overload_delay;
    }

  private:
    // A poll is sent once a second and renews for four: a wait of a tenth of a second is far from harm, and
    // more than any pause of a processor that is given out in tenths of a second.
    static constexpr duration lateness_limit = milliseconds(150);
    // Of a leader that has time: it looks each 25 ms, and decisions take a few.
    static constexpr duration normal_lateness = milliseconds(30);
    // Lateness fades by a tenth with each look: half of it within a fifth of a second.
    static constexpr int decay_numerator = 9;
    static constexpr int decay_denominator = 10;
    static constexpr duration late_duration = milliseconds(1000);
    // Starting fewer tasks takes effect within two decisions; a burst of work passes in a second.
    static constexpr duration overload_delay = milliseconds(1000);
    // Looks in a row, of some 25 ms each: a leader that is late once a second keeps up otherwise.
    static constexpr int recovery_streak = 8;
    static constexpr std::size_t max_starts = 512;
    static constexpr std::size_t min_starts = 4;
    // Of a new leader, which doesn't know yet what it bears: too many at once would make it late for the
    // leases that it took over. All are allowed after 28 looks on time, some 0.7 s.
    static constexpr std::size_t initial_starts = 64;
    static constexpr std::size_t start_increment = 16;

    std::size_t starts_allowed_ = initial_starts;
    duration smoothed_lateness_{};
    int on_time_streak_ = 0; // in a row
    time_point behind_since_{};
    time_point late_until_{};
};

} // namespace plumspoke::dispatch
