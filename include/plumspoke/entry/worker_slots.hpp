#pragma once

/// @file
/// @brief Slots of one worker that control has granted to this entry.

#include "plumspoke/time/time.hpp"

#include <algorithm>
#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <mutex>
#include <string>
#include <vector>

namespace plumspoke::entry
{

/// @brief Counts used against granted slots. Lock-free, except for the slots of abandoned requests.
class worker_slots : public boost::intrusive_ref_counter<worker_slots>
{
  public:
    explicit worker_slots(std::string worker) : worker_(std::move(worker))
    {
    }

    /// @return whether a slot was acquired; return it with `release` or `schedule_release`
    [[nodiscard]] bool acquire() noexcept
    {
        std::int64_t used = used_.load(std::memory_order_relaxed);
        while (used < granted_.load(std::memory_order_acquire))
        {
            if (used_.compare_exchange_weak(used, used + 1, std::memory_order_acq_rel))
            {
                return true;
            }
        }
        return false;
    }

    void release() noexcept
    {
        used_.fetch_sub(1, std::memory_order_acq_rel);
    }

    /// @brief Releases a slot at `until`: its request was abandoned and may still run on the worker.
    void schedule_release(time_point until)
    {
        const std::lock_guard lock(mutex_);
        abandoned_.push_back(until);
    }

    /// @brief Releases the slots of abandoned requests whose release time has passed.
    /// @return number of released slots
    std::size_t release_expired(time_point now)
    {
        const std::lock_guard lock(mutex_);
        if (last_check_ != time_point{} && now > last_check_ + max_check_interval)
        {
            // The process was suspended or the clock jumped, so the time that the endpoint has had is
            // unknown: extend by the gap.
            for (time_point& until : abandoned_)
            {
                until += now - last_check_;
            }
        }
        last_check_ = now;
        const std::size_t count = std::erase_if(abandoned_,
                                                [now](time_point until)
                                                {
                                                    return until <= now;
                                                });
        used_.fetch_sub(static_cast<std::int64_t>(count), std::memory_order_acq_rel);
        return count;
    }

    /// @brief Sets the granted slots. A lower grant applies at once to new requests; those in flight finish.
    void set_granted(std::int64_t granted) noexcept
    {
        granted_.store(granted, std::memory_order_release);
    }

    [[nodiscard]] std::int64_t granted() const noexcept
    {
        return granted_.load(std::memory_order_acquire);
    }
    [[nodiscard]] std::int64_t used() const noexcept
    {
        return used_.load(std::memory_order_acquire);
    }
    /// @brief Slots that control must count as held: the larger of granted and used.
    [[nodiscard]] std::int64_t held() const noexcept
    {
        // The grant is read first: a slot acquired between the reads is within the reported number.
        const std::int64_t allowed = granted();
        return std::max(allowed, used());
    }
    [[nodiscard]] const std::string& worker() const noexcept
    {
        return worker_;
    }

    /// @brief Sets the number of connections that the worker accepts per slot.
    void set_connections_per_slot(std::int64_t connections) noexcept
    {
        connections_per_slot_.store(connections, std::memory_order_relaxed);
    }

    /// @brief Number of idle connections allowed beside one connection per granted slot.
    [[nodiscard]] std::int64_t idle_allowed() const noexcept
    {
        return granted() * (connections_per_slot_.load(std::memory_order_relaxed) - 1);
    }
    [[nodiscard]] std::int64_t idle() const noexcept
    {
        return idle_.load(std::memory_order_relaxed);
    }
    void add_idle(std::int64_t change) noexcept
    {
        idle_.fetch_add(change, std::memory_order_relaxed);
    }

  private:
    std::string worker_;
    std::mutex mutex_;
    static constexpr auto max_check_interval =
        seconds(1); // between two calls of release_expired, which are normally a quarter of it apart

    std::vector<time_point> abandoned_;
    time_point last_check_{};
    std::atomic<std::int64_t> granted_{0};
    std::atomic<std::int64_t> used_{0};
    std::atomic<std::int64_t> connections_per_slot_{1};
    std::atomic<std::int64_t> idle_{0};
};

} // namespace plumspoke::entry
