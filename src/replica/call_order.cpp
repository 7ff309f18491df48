#include "plumspoke/replica/call_order.hpp"

#include <algorithm>

namespace plumspoke::replica
{

call_order::call_order(duration max_wait, std::size_t max_senders) noexcept
    : max_wait_(max_wait), max_senders_(max_senders)
{
}

void call_order::begin(const std::string& sender, call_number which)
{
    std::unique_lock lock(mutex_);
    if (positions_.size() >= max_senders_ && !positions_.contains(sender))
    {
        positions_.clear(); // costs an ordering at most
    }
    position& current = positions_[sender];
    if (current.connection != which.connection)
    {
        current = {which.connection, which.sequence};
    }
    changed_.wait_for(lock,
                      max_wait_,
                      [this, &sender, which]
                      {
                          const auto found = positions_.find(sender);
                          return found == positions_.end() || found->second.connection != which.connection ||
                                 found->second.next >= which.sequence;
                      });
}

void call_order::end(const std::string& sender, call_number which)
{
    {
        const std::lock_guard lock(mutex_);
        const auto found = positions_.find(sender);
        if (found == positions_.end() || found->second.connection != which.connection)
        {
            return;
        }
        found->second.next = std::max(found->second.next, which.sequence + 1);
    }
    changed_.notify_all();
}

} // namespace plumspoke::replica
