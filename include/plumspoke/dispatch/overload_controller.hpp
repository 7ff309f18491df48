#pragma once

/// @file
/// @brief Overload control of a leader: sheds load when decisions come late.
///
/// Lease renewals have precedence, since a lapsed lease discards work and causes more of it. A late leader
/// starts fewer tasks (additive increase, multiplicative decrease; Chiu and Jain, 1989), polls its workers
/// less often and, if that is not enough, refuses new jobs.

#include "plumspoke/time/time.hpp"

#include <algorithm>
#include <cstddef>

namespace plumspoke::dispatch
{

/// @brief Measures the lateness of decisions in one term and derives the limits from it.
class overload_controller
{
  public:
    /// @brief Records how late a decision is made.
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

    /// @brief The number of tasks that one decision may start.
    [[nodiscard]] std::size_t starts_allowed() const noexcept
    {
        return starts_allowed_;
    }

    /// @brief Whether the leader was late within the last second; workers are polled less often then.
    [[nodiscard]] bool is_late(time_point now) const noexcept
    {
        return now < late_until_;
    }

    /// @brief Delay until the next poll of a worker whose tasks end. It grows with the lateness of decisions
    /// and
    ///        well before they count as late, so that a leader close to saturation sheds load in time.
    ///
    /// With thousands of workers and a small processor, polls would otherwise use the time that starts need.
    [[nodiscard]] duration poll_delay_after_ends(duration shortest, duration longest) const noexcept
    {
        if (smoothed_lateness_ <= normal_lateness)
        {
            return shortest;
        }
        const duration over = std::min(smoothed_lateness_, lateness_limit) - normal_lateness;
        return shortest + (longest - shortest) * over.count() / (lateness_limit - normal_lateness).count();
    }

    /// @brief Whether the leader has been late without recovering for so long that it should refuse new jobs.
    [[nodiscard]] bool refuses_jobs(time_point now) const noexcept
    {
        return is_late(now) && behind_since_ != time_point{} && now >= behind_since_ + overload_delay;
    }

  private:
    // Polls are sent once a second and renew for four, so this delay does no harm. It exceeds the pauses of
    // processor time that is allotted in periods of 100 ms.
    static constexpr duration lateness_limit = milliseconds(150);
    // Lateness of an idle leader: it checks every 25 ms, and decisions take a few milliseconds.
    static constexpr duration normal_lateness = milliseconds(30);
    // The smoothed lateness decays by a tenth with each check, to one half within about 200 ms.
    static constexpr int decay_numerator = 9;
    static constexpr int decay_denominator = 10;
    static constexpr duration late_duration = milliseconds(1000);
    // Starting fewer tasks takes effect within two decisions, and a burst of work is over within a second.
    static constexpr duration overload_delay = milliseconds(1000);
    // Consecutive checks on time, about 25 ms apart: a leader that is late only once a second keeps up.
    static constexpr int recovery_streak = 8;
    static constexpr std::size_t max_starts = 512;
    static constexpr std::size_t min_starts = 4;
    // A new leader doesn't know its capacity yet, and too many starts would delay the renewal of inherited
    // leases. The maximum is reached after 28 checks on time, about 0.7 s.
    static constexpr std::size_t initial_starts = 64;
    static constexpr std::size_t start_increment = 16;

    std::size_t starts_allowed_ = initial_starts;
    duration smoothed_lateness_{};
    int on_time_streak_ = 0;
    time_point behind_since_{};
    time_point late_until_{};
};

} // namespace plumspoke::dispatch
