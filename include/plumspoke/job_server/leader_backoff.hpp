#pragma once

/// @file
/// @brief What an entry or a control VM does while nobody leads: how long calls wait, how often it searches,
///        when it connects anew, and when callers may return. No I/O, no clock.
///
/// Load that it answers: no leader for seconds, hundreds of daemons that search for one, and callers with a
/// limit of some seconds each. Searching ten times a second, with new connections to whoever didn't answer in
/// time, 147 entries could open up to 1,800 connections a second (by arithmetic) to VMs that had no processor
/// time left to elect a leader with; callers were held until their own limits.

#include "plumspoke/time/time.hpp"

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace plumspoke::job_server
{

/// @brief How long a call waits for a leader.
class leader_timeout
{
  public:
    /// @brief Until the call's deadline.
    leader_timeout() = default;

    /// @brief Only as long as waiting is likely to be worth it, for callers who can come back.
    /// @param threads_in_use share of the threads that serve callers
    [[nodiscard]] static leader_timeout for_caller(double threads_in_use) noexcept
    {
        leader_timeout out;
        out.bounded_ = true;
        out.crowded_ = threads_in_use > crowded_share;
        return out;
    }

    /// @param left until the call's deadline
    /// @param leaderless how long nobody has led
    [[nodiscard]] duration wait_limit(duration left, duration leaderless) const noexcept
    {
        if (!bounded_)
        {
            return left;
        }
        // Half of the time is left to the caller, for another try elsewhere.
        const duration longest = leaderless < usual_absence && !crowded_ ? left / 2 : short_wait;
        return std::min(left, longest);
    }

  private:
    // An election takes up to 1.5 s, and VMs that lost power some 1 s to come back. After that it is not
    // known when one leads, and who waits only holds a thread.
    static constexpr duration usual_absence = milliseconds(2500);
    static constexpr duration short_wait = milliseconds(150); // a round of the search over open connections
    static constexpr double crowded_share = 0.75;             // the rest gives refusals

    bool bounded_ = false;
    bool crowded_ = false;
};

/// @brief Pauses between searches for a leader: 100 ms at first, then up to 400 ms, and spread, so that
///        hundreds of searchers don't come at once (exponential backoff with jitter).
class search_backoff
{
  public:
    /// @param random from 0 to 1
    [[nodiscard]] duration next(double random) noexcept
    {
        const duration base = pause_;
        pause_ = std::min(2 * pause_, longest_pause);
        const auto spread = static_cast<std::int64_t>(static_cast<double>(base.count()) * (0.5 + random));
        return duration(spread);
    }

    void found() noexcept
    {
        pause_ = first_pause;
    }

  private:
    static constexpr duration first_pause = milliseconds(100);
    static constexpr duration longest_pause = milliseconds(400);

    duration pause_ = first_pause;
};

/// @brief How often the connection to one address may be replaced. One that has carried answers and is silent
///        now is replaced at once; a fresh one that doesn't answer either says that its VM is slow or away,
///        and that another connection would only add to its load.
class reconnect_backoff
{
  public:
    /// @param answered whether the present connection ever carried an answer
    [[nodiscard]] bool may_reconnect(time_point now, bool answered) noexcept
    {
        if (answered)
        {
            spacing_ = first_spacing;
        }
        else if (now < next_at_)
        {
            return false;
        }
        next_at_ = now + spacing_;
        spacing_ = std::min(2 * spacing_, longest_spacing);
        return true;
    }

  private:
    static constexpr duration first_spacing = milliseconds(200);
    static constexpr duration longest_spacing = milliseconds(1600);

    time_point next_at_{};
    duration spacing_ = first_spacing;
};

/// @brief When a caller that was refused may come back: after two elections on average, each at its own time
///        within two seconds, so that those who were refused together don't return together.
/// @param name of the call, such as its path: the same call always gets the same time
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
