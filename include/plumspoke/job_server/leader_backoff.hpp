#pragma once

/// @file
/// @brief Timeouts and backoff of an entry or a control VM while there is no leader: how long calls wait, how
///        often the leader is searched for, when connections are replaced, and when callers may retry.
///        Performs no I/O and reads no clock.
///
/// Guards against overload while there is no leader for seconds, hundreds of daemons search for one, and
/// callers have timeouts of a few seconds. With ten searches per second and a new connection to every address
/// that timed out, 147 entries could open up to 1,800 connections per second (computed) to VMs that then had
/// no processor time left for an election; calls were held until their own timeouts.

#include "plumspoke/time/time.hpp"

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace plumspoke::job_server
{

/// @brief Limits how long a call waits for a leader.
class leader_timeout
{
  public:
    /// @brief Waits until the call's deadline.
    leader_timeout() = default;

    /// @brief Waits only while a leader is likely to appear, for callers that can retry.
    /// @param threads_in_use share of the HTTP threads that are serving callers, 0 to 1
    /// @param was_queued whether the call was queued until a thread was free: part of its time has passed
    ///        already, and further calls may be queued behind it
    [[nodiscard]] static leader_timeout for_caller(double threads_in_use, bool was_queued) noexcept
    {
        leader_timeout out;
        out.bounded_ = true;
        out.threads_scarce_ = was_queued || threads_in_use > scarce_threads_share;
        return out;
    }

    /// @brief The longest wait for a leader.
    /// @param left time until the call's deadline
    /// @param leaderless time since a leader was last known
    [[nodiscard]] duration wait_limit(duration left, duration leaderless) const noexcept
    {
        if (!bounded_)
        {
            return left;
        }
        // Leaves the caller half of its time for a retry at another entry.
        const duration longest =
            leaderless < typical_leaderless_time && !threads_scarce_ ? left / 2 : short_wait;
        return std::min(left, longest);
    }

  private:
    // An election takes up to 1.5 s and a VM that lost power about 1 s to return. After that the end of the
    // outage is unpredictable, and a waiting call only occupies a thread.
    static constexpr duration typical_leaderless_time = milliseconds(2500);
    static constexpr duration short_wait = milliseconds(150); // one search over open connections
    static constexpr double scarce_threads_share = 0.75;      // the remaining threads reject calls

    bool bounded_ = false;
    bool threads_scarce_ = false;
};

/// @brief Exponential backoff with jitter between searches for a leader, from 100 ms to 400 ms. The jitter
///        keeps hundreds of daemons from searching at the same time.
class search_backoff
{
  public:
    /// @brief The next pause.
    /// @param random uniformly distributed, 0 to 1
    [[nodiscard]] duration next(double random) noexcept
    {
        const duration base = pause_;
        pause_ = std::min(2 * pause_, max_pause);
        const auto spread = static_cast<std::int64_t>(static_cast<double>(base.count()) * (0.5 + random));
        return duration(spread);
    }

    void reset() noexcept
    {
        pause_ = initial_pause;
    }

  private:
    static constexpr duration initial_pause = milliseconds(100);
    static constexpr duration max_pause = milliseconds(400);

    duration pause_ = initial_pause;
};

/// @brief Limits how often the connection to one address is replaced. A connection that has carried answers
///        and has become unresponsive is replaced at once. If a new connection does not answer either, the VM
///        is slow or down, and further connections would only add load; they back off exponentially.
class reconnect_backoff
{
  public:
    /// @param answered whether the current connection ever carried an answer
    [[nodiscard]] bool may_reconnect(time_point now, bool answered) noexcept
    {
        if (answered)
        {
            interval_ = initial_interval;
        }
        else if (now < next_at_)
        {
            return false;
        }
        next_at_ = now + interval_;
        interval_ = std::min(2 * interval_, max_interval);
        return true;
    }

  private:
    static constexpr duration initial_interval = milliseconds(200);
    static constexpr duration max_interval = milliseconds(1600);

    time_point next_at_{};
    duration interval_ = initial_interval;
};

/// @brief The delay after which a rejected caller may retry, in milliseconds: two elections on average,
///        spread over two seconds so that callers rejected together do not retry together.
/// @param name identifies the call, such as its path; the same name always gets the same delay
[[nodiscard]] constexpr std::uint32_t jittered_return_ms(std::string_view name) noexcept
{
    constexpr std::uint32_t earliest_ms = 500;
    constexpr std::uint32_t spread_ms = 2000;
    std::uint32_t hash = 0x811c9dc5U; // FNV-1a (Fowler, Noll, Vo), 32 bit
    for (const char one : name)
    {
        hash = (hash ^ static_cast<unsigned char>(one)) * 0x01000193U;
    }
    return earliest_ms + hash % spread_ms;
}

} // namespace plumspoke::job_server
