#include "plumspoke/replica/snapshot_queue.hpp"

#include <utility>

namespace plumspoke::replica
{

snapshot_queue::snapshot_key snapshot_queue::key_of(const message& sent)
{
    return {sent.to, std::get<install_snapshot>(sent.body).state.index};
}

bool snapshot_queue::push(message sent)
{
    const bool replaces = in_flight_.has_value() && in_flight_->to != sent.to;
    pending_ = std::move(sent);
    return replaces;
}

std::optional<message> snapshot_queue::pop()
{
    if (pending_.has_value())
    {
        in_flight_ = key_of(*pending_);
    }
    return std::exchange(pending_, std::nullopt);
}

void snapshot_queue::finish(bool delivered)
{
    if (delivered && pending_.has_value() && in_flight_ == key_of(*pending_))
    {
        pending_.reset();
    }
    in_flight_.reset();
}

} // namespace plumspoke::replica
