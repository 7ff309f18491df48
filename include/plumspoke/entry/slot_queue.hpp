#pragma once

/// @file
/// @brief Queue of requests waiting for a slot: latency-critical ones first, then in order of arrival.

#include "plumspoke/time/time.hpp"

#include <atomic>
#include <boost/intrusive/list.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace plumspoke::entry
{

/// @brief A priority queue of waiting threads. Its mutex is never held during I/O.
class slot_queue
{
  public:
    /// @brief Tries to acquire a slot; returns whether it did.
    using acquire_function = std::function<bool()>;

    /// @brief Waits until an attempt succeeds or the timeout is reached.
    /// @param service identifies the service whose slots are waited for; never dereferenced
    /// @param latency_critical whether the waiter is queued ahead of non-critical ones
    /// @param until time of the last attempt
    /// @return whether an attempt succeeded
    [[nodiscard]] bool
    wait(const void* service, bool latency_critical, time_point until, const acquire_function& try_acquire);

    /// @brief A slot was released: the first waiter tries again.
    void notify_one();

    /// @brief Grants or routes have changed: all waiters try again.
    void notify_all();

    /// @brief Whether a waiter precedes a new request of this priority.
    [[nodiscard]] bool has_waiter_ahead(bool latency_critical) const noexcept
    {
        return waiting_critical_.load(std::memory_order_acquire) > 0 ||
               (!latency_critical && waiting_.load(std::memory_order_acquire) > 0);
    }

  private:
    struct waiter : boost::intrusive::list_base_hook<>
    {
        std::condition_variable wake;
        const void* service = nullptr;
        bool latency_critical = false;
        bool woken = false;
    };
    using waiter_list = boost::intrusive::list<waiter>;

    void insert(waiter& added);
    void wake_first_waiter(const waiter_list::iterator& from, const void* other_than);

    std::mutex mutex_;
    waiter_list waiters_;
    std::atomic<std::int64_t> waiting_{0};
    std::atomic<std::int64_t> waiting_critical_{0};
};

} // namespace plumspoke::entry
