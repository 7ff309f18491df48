#pragma once

/// @file
/// @brief The orders that wait for one connection to a worker, in sending order. Performs no I/O and reads no
///        clock.
///
/// Guards against a worker that leaves every second call unanswered. Each such call occupies the connection
/// for its whole timeout, so starts wait for seconds, and their runs may have been stopped in the meantime.

#include "plumspoke/dispatch/orders.hpp"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>
#include <vector>

namespace plumspoke::job_server
{

/// @brief A queue of orders: stops first, otherwise first in, first out.
class order_queue
{
  public:
    [[nodiscard]] bool empty() const noexcept
    {
        return waiting_.empty();
    }

    /// @brief Adds an order.
    /// @return the queued starts that a stop cancels; they must never be sent. The stop may stay unanswered,
    ///         and a start of the same run sent after it would begin a stopped run.
    [[nodiscard]] std::vector<dispatch::order> push(dispatch::order order)
    {
        const auto* stop = std::get_if<dispatch::stop_order>(&order);
        std::vector<dispatch::order> dropped;
        if (stop == nullptr)
        {
            waiting_.push_back(std::move(order));
            return dropped;
        }
        const auto is_kept = [stop](const dispatch::order& one)
        {
            const auto* start = std::get_if<dispatch::start_order>(&one);
            return start == nullptr || !(start->name == stop->name);
        };
        const auto first_dropped = std::stable_partition(waiting_.begin(), waiting_.end(), is_kept);
        std::move(first_dropped, waiting_.end(), std::back_inserter(dropped));
        waiting_.erase(first_dropped, waiting_.end());
        // Every order ahead of a stop could delay it by a whole timeout.
        const auto first_other = std::find_if(waiting_.begin(),
                                              waiting_.end(),
                                              [](const dispatch::order& one)
                                              {
                                                  return !std::holds_alternative<dispatch::stop_order>(one);
                                              });
        waiting_.insert(first_other, std::move(order));
        return dropped;
    }

    /// @brief Removes and returns the next order.
    /// @pre not empty
    [[nodiscard]] dispatch::order pop()
    {
        dispatch::order next = std::move(waiting_.front());
        waiting_.pop_front();
        return next;
    }

    void clear() noexcept
    {
        waiting_.clear();
    }

  private:
    std::deque<dispatch::order> waiting_;
};

} // namespace plumspoke::job_server
