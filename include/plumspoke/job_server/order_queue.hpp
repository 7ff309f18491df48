#pragma once

/// @file
/// @brief The orders that wait for one connection to a worker, in the order in which they go. No I/O, no
/// clock.
///
/// Load that it answers: a worker that leaves every second call unanswered. Each takes its whole time limit
/// on the connection, so starts wait for seconds; by the time they go, their runs may not be wanted any more.

#include "plumspoke/dispatch/orders.hpp"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>
#include <vector>

namespace plumspoke::job_server
{

/// @brief Orders that wait: stops before all others, else in turn.
class order_queue
{
  public:
    [[nodiscard]] bool empty() const noexcept
    {
        return waiting_.empty();
    }

    /// @brief Adds an order.
    /// @return starts that it makes void: they are never to be sent. A stop that goes first may stay
    /// unanswered;
    ///         its run's start would go next, and begin what was stopped.
    [[nodiscard]] std::vector<dispatch::order> push(dispatch::order what)
    {
        const auto* stop = std::get_if<dispatch::stop_order>(&what);
        std::vector<dispatch::order> dropped;
        if (stop == nullptr)
        {
            waiting_.push_back(std::move(what));
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
        // What a stop would wait for may take a time limit for each order.
        const auto first_other = std::find_if(waiting_.begin(),
                                              waiting_.end(),
                                              [](const dispatch::order& one)
                                              {
                                                  return !std::holds_alternative<dispatch::stop_order>(one);
                                              });
        waiting_.insert(first_other, std::move(what));
        return dropped;
    }

    /// @brief Takes the next order.
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
