#pragma once

/// @file
/// @brief State of one endpoint in an entry, kept across configuration versions.

#include "plumspoke/endpoint/connection.hpp"
#include "plumspoke/endpoint/guard.hpp"
#include "plumspoke/entry/worker_slots.hpp"

#include <memory>
#include <mutex>

namespace plumspoke::entry
{

/// @brief An endpoint with its guard, smoothed latency and idle connections.
/// @note The mutex is never held during blocking I/O.
class endpoint_state : public boost::intrusive_ref_counter<endpoint_state>
{
  public:
    endpoint_state(std::string address,
                   std::string availability_zone,
                   boost::intrusive_ptr<worker_slots> slots,
                   endpoint::guard_options options);
    endpoint_state(const endpoint_state&) = delete;
    endpoint_state& operator=(const endpoint_state&) = delete;
    ~endpoint_state();

    /// @name access
    /// @{
    [[nodiscard]] const std::string& address() const noexcept
    {
        return address_;
    }
    [[nodiscard]] const std::string& availability_zone() const noexcept
    {
        return availability_zone_;
    }
    [[nodiscard]] worker_slots& slots() const noexcept
    {
        return *slots_;
    }
    /// @brief Whether the platform's list or the endpoint itself reports that it is leaving.
    [[nodiscard]] bool leaving(time_point now) const noexcept
    {
        return listed_leaving_.load(std::memory_order_acquire) ||
               to_microseconds(now) < self_reported_leaving_until_us_.load(std::memory_order_acquire);
    }
    /// @brief When the endpoint was first known to be leaving.
    [[nodiscard]] time_point leaving_since() const noexcept
    {
        return from_microseconds(leaving_since_us_.load(std::memory_order_acquire));
    }
    /// @brief Smoothed answer time in microseconds; 0 before the first answer.
    [[nodiscard]] std::int64_t smoothed_latency_us() const noexcept
    {
        return smoothed_latency_us_.load(std::memory_order_relaxed);
    }
    [[nodiscard]] bool permits(time_point now) const;
    [[nodiscard]] bool is_excluded(time_point now) const;
    /// @}

    /// @name events
    /// @{
    /// @brief Sets whether the platform's list reports the endpoint as leaving.
    void set_listed_leaving(time_point now, bool leaving) noexcept;

    /// @brief Records that the endpoint's answer reported it as leaving; valid until `until`, since no later
    ///        answer revokes it.
    void record_self_reported_leaving(time_point now, time_point until) noexcept;

    void record_sent(time_point now);
    void record_success(duration took);
    void record_failure(time_point now, bool may_open);
    void trip(time_point now);
    /// @}

    /// @name connections
    /// @{

    /// @brief Takes an idle connection that is still open and idle for less than `longest_idle`; null if
    /// none.
    [[nodiscard]] std::unique_ptr<endpoint::connection> take_idle(time_point now, duration longest_idle);

    /// @brief Keeps a connection for reuse, within the worker's connection limit; otherwise closes it.
    void keep_idle(std::unique_ptr<endpoint::connection> kept, time_point now);

    /// @brief Closes the idle connections that exceed the limit after the grant was lowered.
    void trim_idle();
    /// @}

  private:
    using idle_list = boost::intrusive::list<endpoint::connection>;

    void close_idle(std::size_t count);

    std::string address_;
    std::string availability_zone_;
    boost::intrusive_ptr<worker_slots> slots_;
    std::atomic<bool> listed_leaving_{false};
    std::atomic<std::int64_t> self_reported_leaving_until_us_{0};
    std::atomic<std::int64_t> leaving_since_us_{0};
    std::atomic<std::int64_t> smoothed_latency_us_{0};
    std::atomic<bool> guard_closed_{true}; // lets the common case avoid the lock
    mutable std::mutex mutex_;
    endpoint::guard guard_;
    idle_list idle_;
};

} // namespace plumspoke::entry
