#include "plumspoke/replica/snapshot_queue.hpp"

#include <utility>

namespace plumspoke::replica
{

snapshot_queue::identity snapshot_queue::identity_of(const message& sent)
{
    return {sent.to, std::get<install_snapshot>(sent.body).state.index};
}

bool snapshot_queue::push(message sent)
{
    const bool replaces = in_flight_.has_value() && in_flight_->to != sent.to;
    waiting_ = std::move(sent);
    return replaces;
}

std::optional<message> snapshot_queue::take()
{
    if (waiting_.has_value())
    {
        in_flight_ = identity_of(*waiting_);
    }
    return std::exchange(waiting_, std::nullopt);
}

void snapshot_queue::finish(bool delivered)
{
    if (delivered && waiting_.has_value() && in_flight_ == identity_of(*waiting_))
    {
        waiting_.reset();
    }
    in_flight_.reset();
}

} // namespace plumspoke::replica
