#include "plumspoke/fleet/announcement.hpp"

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
    record& entry = heard_[heard.life.id];
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

void registry::say_goodbye(time_point now, const std::string& id)
{
    const auto found = heard_.find(id);
    if (found == heard_.end())
    {
        return;
    }
    announcement last = found->second.last;
    last.state = worker_state::gone;
    receive(now, last);
}

std::vector<announcement> registry::all() const
{
    std::vector<announcement> out;
    for (const auto& [id, entry] : heard_)
    {
        out.push_back(entry.last);
    }
    return out;
}

std::optional<announcement> registry::find(const std::string& id) const
{
    const auto found = heard_.find(id);
    return found == heard_.end() ? std::nullopt : std::optional(found->second.last);
}

std::vector<announcement> registry::changed_since_relay(std::uint64_t leader_term) const
{
    std::vector<announcement> out;
    for (const auto& [id, entry] : heard_)
    {
        if (entry.relayed_term != leader_term)
        {
            out.push_back(entry.last);
        }
    }
    return out;
}

std::vector<std::string> registry::alive_since_relay(std::uint64_t leader_term) const
{
    std::vector<std::string> out;
    for (const auto& [id, entry] : heard_)
    {
        if (entry.relayed_term == leader_term && entry.heard_since_relay)
        {
            out.push_back(id);
        }
    }
    return out;
}

void registry::note_relayed(std::uint64_t leader_term, const std::vector<announcement>& relayed)
{
    for (const announcement& one : relayed)
    {
        const auto found = heard_.find(one.life.id);
        if (found != heard_.end() && found->second.last.says_the_same(one))
        {
            found->second.relayed_term = leader_term;
        }
    }
    for (auto& [id, entry] : heard_)
    {
        entry.heard_since_relay = entry.heard_since_relay && entry.relayed_term != leader_term;
    }
}

void registry::note_unknown(const std::vector<std::string>& ids)
{
    for (const std::string& id : ids)
    {
        const auto found = heard_.find(id);
        if (found != heard_.end())
        {
            found->second.relayed_term = 0;
        }
    }
}

bool registry::is_relayed(std::uint64_t leader_term, const std::string& id) const
{
    const auto found = heard_.find(id);
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
