#include "plumspoke/entry/slot_queue.hpp"

#include <algorithm>

namespace plumspoke::entry
{

void slot_queue::insert(waiter& added)
{
    if (!added.latency_critical)
    {
        waiters_.push_back(added);
        return;
    }
    const auto first_other = std::find_if(waiters_.begin(),
                                          waiters_.end(),
                                          [](const waiter& one)
                                          {
                                              return !one.latency_critical;
                                          });
    waiters_.insert(first_other, added);
}

void slot_queue::wake_first_waiter(const waiter_list::iterator& from, const void* other_than)
{
    // A waiter that is already woken was notified of another slot.
    const auto found = std::find_if(from,
                                    waiters_.end(),
                                    [other_than](const waiter& one)
                                    {
                                        return !one.woken && one.service != other_than;
                                    });
    if (found != waiters_.end())
    {
        found->woken = true;
        found->wake.notify_one();
    }
}

bool slot_queue::wait(const void* service,
                      bool latency_critical,
                      time_point until,
                      const acquire_function& try_acquire)
{
    waiter self;
    self.service = service;
    self.latency_critical = latency_critical;
    std::unique_lock lock(mutex_);
    insert(self);
    waiting_.fetch_add(1);
    waiting_critical_.fetch_add(latency_critical ? 1 : 0);
    bool taken = try_acquire(); // a slot may have been released before this waiter was in the queue
    while (!taken)
    {
        const bool in_time = self.wake.wait_until(lock,
                                                  until,
                                                  [&self]
                                                  {
                                                      return self.woken;
                                                  });
        self.woken = false;
        taken = try_acquire();
        if (!in_time)
        {
            break;
        }
        if (!taken)
        {
            // The released slot may belong to a worker of another service, so wake a waiter of another one.
            wake_first_waiter(std::next(waiter_list::s_iterator_to(self)), service);
        }
    }
    waiters_.erase(waiter_list::s_iterator_to(self));
    waiting_.fetch_sub(1);
    waiting_critical_.fetch_sub(latency_critical ? 1 : 0);
    return taken;
}

void slot_queue::notify_one()
{
    if (waiting_.load() == 0)
    {
        return;
    }
    const std::lock_guard lock(mutex_);
    wake_first_waiter(waiters_.begin(), nullptr);
}

void slot_queue::notify_all()
{
    const std::lock_guard lock(mutex_);
    for (waiter& one : waiters_)
    {
        one.woken = true;
        one.wake.notify_one();
    }
}

} // namespace plumspoke::entry
