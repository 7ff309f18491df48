#include "plumspoke/fleet/announcement.hpp"

#include <limits>

namespace plumspoke::fleet
{

bool announcement::has_same_content(const announcement& other) const noexcept
{
    return life == other.life && service == other.service && address == other.address && zone == other.zone &&
           labels == other.labels && room == other.room && state == other.state &&
           time_left_ms == other.time_left_ms && vm == other.vm;
}

bool worker_registry::receive(time_point now, const announcement& received)
{
    record& entry = records_[received.life];
    if (received.sequence < entry.last.sequence)
    {
        return false;
    }
    if (!entry.last.has_same_content(received))
    {
        entry.relayed_term = 0;
    }
    entry.last = received;
    entry.received_at = now;
    entry.received_since_relay = true;
    return true;
}

std::vector<announcement> worker_registry::handle_goodbye(time_point now, const std::string& id)
{
    std::vector<announcement> concerned;
    bool any_leaves = false;
    for (auto at = records_.lower_bound({id, std::numeric_limits<std::int64_t>::min()});
         at != records_.end() && at->first.id == id;
         ++at)
    {
        concerned.push_back(at->second.last);
        any_leaves = any_leaves || concerned.back().is_leaving();
    }
    // A goodbye names no life. A delayed one must not end the next life, which may already run tasks.
    std::erase_if(concerned,
                  [any_leaves](const announcement& one)
                  {
                      return any_leaves && !one.is_leaving();
                  });
    for (announcement& one : concerned)
    {
        one.state = any_leaves ? worker_state::gone : worker_state::leave_unconfirmed;
        receive(now, one);
    }
    return concerned;
}

std::vector<announcement> worker_registry::all() const
{
    std::vector<announcement> out;
    for (const auto& [life, entry] : records_)
    {
        out.push_back(entry.last);
    }
    return out;
}

std::optional<announcement> worker_registry::find(const worker_life& life) const
{
    const auto found = records_.find(life);
    return found == records_.end() ? std::nullopt : std::optional(found->second.last);
}

std::vector<announcement> worker_registry::changed_since_relay(std::uint64_t leader_term) const
{
    std::vector<announcement> out;
    for (const auto& [life, entry] : records_)
    {
        if (entry.relayed_term != leader_term)
        {
            out.push_back(entry.last);
        }
    }
    return out;
}

std::vector<worker_life> worker_registry::alive_since_relay(std::uint64_t leader_term) const
{
    std::vector<worker_life> out;
    for (const auto& [life, entry] : records_)
    {
        if (entry.relayed_term == leader_term && entry.received_since_relay)
        {
            out.push_back(life);
        }
    }
    return out;
}

void worker_registry::mark_relayed(std::uint64_t leader_term, const std::vector<announcement>& relayed)
{
    for (const announcement& one : relayed)
    {
        const auto found = records_.find(one.life);
        if (found != records_.end() && found->second.last.has_same_content(one))
        {
            found->second.relayed_term = leader_term;
        }
    }
    for (auto& [life, entry] : records_)
    {
        entry.received_since_relay = entry.received_since_relay && entry.relayed_term != leader_term;
    }
}

void worker_registry::mark_unknown(const std::vector<worker_life>& lives)
{
    for (const worker_life& life : lives)
    {
        const auto found = records_.find(life);
        if (found != records_.end())
        {
            found->second.relayed_term = 0;
        }
    }
}

bool worker_registry::is_relayed(std::uint64_t leader_term, const worker_life& life) const
{
    const auto found = records_.find(life);
    return found != records_.end() && leader_term != 0 && found->second.relayed_term == leader_term;
}

void worker_registry::expire(time_point now, duration silence)
{
    std::erase_if(records_,
                  [&](const auto& entry)
                  {
                      return entry.second.received_at + silence < now;
                  });
}

} // namespace plumspoke::fleet
