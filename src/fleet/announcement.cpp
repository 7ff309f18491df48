#include "plumspoke/fleet/announcement.hpp"

#include <limits>

namespace plumspoke::fleet
{

bool announcement::says_the_same(const announcement& other) const noexcept
{
    return life == other.life && service == other.service && address == other.address && zone == other.zone &&
           labels == other.labels && room == other.room && state == other.state &&
           time_left_ms == other.time_left_ms && vm == other.vm;
}

bool registry::receive(time_point now, const announcement& heard)
{
    record& entry = heard_[heard.life];
    if (heard.sequence < entry.last.sequence)
    {
        return false;
    }
    if (!entry.last.says_the_same(heard))
    {
        entry.relayed_term = 0;
    }
    entry.last = heard;
    entry.heard_at = now;
    entry.heard_since_relay = true;
    return true;
}

std::vector<announcement> registry::say_goodbye(time_point now, const std::string& id)
{
    std::vector<announcement> concerned;
    bool any_leaves = false;
    for (auto at = heard_.lower_bound({id, std::numeric_limits<std::int64_t>::min()});
         at != heard_.end() && at->first.id == id;
         ++at)
    {
        concerned.push_back(at->second.last);
        any_leaves = any_leaves || concerned.back().is_leaving();
    }
    // It names no life. One that comes late must not end the next life, on which tasks run by then.
    std::erase_if(concerned,
                  [any_leaves](const announcement& one)
                  {
                      return any_leaves && !one.is_leaving();
                  });
    for (announcement& one : concerned)
    {
        one.state = any_leaves ? worker_state::gone : worker_state::doubtful;
        receive(now, one);
    }
    return concerned;
}

std::vector<announcement> registry::all() const
{
    std::vector<announcement> out;
    for (const auto& [life, entry] : heard_)
    {
        out.push_back(entry.last);
    }
    return out;
}

std::optional<announcement> registry::find(const worker_life& life) const
{
    const auto found = heard_.find(life);
    return found == heard_.end() ? std::nullopt : std::optional(found->second.last);
}

std::vector<announcement> registry::changed_since_relay(std::uint64_t leader_term) const
{
    std::vector<announcement> out;
    for (const auto& [life, entry] : heard_)
    {
        if (entry.relayed_term != leader_term)
        {
            out.push_back(entry.last);
        }
    }
    return out;
}

std::vector<worker_life> registry::alive_since_relay(std::uint64_t leader_term) const
{
    std::vector<worker_life> out;
    for (const auto& [life, entry] : heard_)
    {
        if (entry.relayed_term == leader_term && entry.heard_since_relay)
        {
            out.push_back(life);
        }
    }
    return out;
}

void registry::note_relayed(std::uint64_t leader_term, const std::vector<announcement>& relayed)
{
    for (const announcement& one : relayed)
    {
        const auto found = heard_.find(one.life);
        if (found != heard_.end() && found->second.last.says_the_same(one))
        {
            found->second.relayed_term = leader_term;
        }
    }
    for (auto& [life, entry] : heard_)
    {
        entry.heard_since_relay = entry.heard_since_relay && entry.relayed_term != leader_term;
    }
}

void registry::note_unknown(const std::vector<worker_life>& lives)
{
    for (const worker_life& life : lives)
    {
        const auto found = heard_.find(life);
        if (found != heard_.end())
        {
            found->second.relayed_term = 0;
        }
    }
}

bool registry::is_relayed(std::uint64_t leader_term, const worker_life& life) const
{
    const auto found = heard_.find(life);
    return found != heard_.end() && leader_term != 0 && found->second.relayed_term == leader_term;
}

void registry::expire(time_point now, duration silence)
{
    std::erase_if(heard_,
                  [&](const auto& entry)
                  {
                      return entry.second.heard_at + silence < now;
                  });
}

} // namespace plumspoke::fleet
