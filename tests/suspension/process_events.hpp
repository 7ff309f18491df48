#pragma once

/// @file
/// @brief When a process was killed, has stopped or was paused, as far as its clients may notice.

#include "plumspoke/time/time.hpp"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace plumspoke::test
{

/// @brief Safe for use by several threads.
class process_events
{
  public:
    /// @brief A killed process ends its connections later, when all of its threads have ended.
    void begin_kill()
    {
        const std::lock_guard lock(mutex_);
        kills_.emplace_back(boot_clock::now(), time_point::max());
    }

    void end_kill()
    {
        const std::lock_guard lock(mutex_);
        kills_.back().second = boot_clock::now();
    }

    void add_stop(time_point ended_at)
    {
        const std::lock_guard lock(mutex_);
        stops_.push_back(ended_at);
    }

    void begin_pause()
    {
        const std::lock_guard lock(mutex_);
        pauses_.emplace_back(boot_clock::now(), time_point::max());
    }

    void end_pause()
    {
        const std::lock_guard lock(mutex_);
        pauses_.back().second = boot_clock::now();
    }

    [[nodiscard]] bool killed_between(time_point from, time_point to) const
    {
        const std::lock_guard lock(mutex_);
        return std::any_of(kills_.begin(),
                           kills_.end(),
                           [from, to](const auto& one)
                           {
                               return from <= one.second && one.first <= to;
                           });
    }

    [[nodiscard]] bool stopped_between(time_point from, time_point to) const
    {
        const std::lock_guard lock(mutex_);
        return std::any_of(stops_.begin(),
                           stops_.end(),
                           [from, to](time_point one)
                           {
                               return from <= one && one <= to;
                           });
    }

    [[nodiscard]] milliseconds paused_between(time_point from, time_point to) const
    {
        const std::lock_guard lock(mutex_);
        auto paused = time_point::duration::zero();
        for (const auto& [began_at, ended_at] : pauses_)
        {
            paused +=
                std::max(std::min(to, ended_at) - std::max(from, began_at), time_point::duration::zero());
        }
        return std::chrono::duration_cast<milliseconds>(paused);
    }

  private:
    mutable std::mutex mutex_;
    std::vector<std::pair<time_point, time_point>> kills_;
    std::vector<time_point> stops_;
    std::vector<std::pair<time_point, time_point>> pauses_;
};

} // namespace plumspoke::test
