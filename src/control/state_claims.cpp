// Claims on idempotency keys: an entry claims a key before it sends the request, so that a request that must
// not be repeated is sent at most once.

#include "plumspoke/error/invariant.hpp"
#include "state_internal.hpp"

namespace plumspoke::control
{

std::string claim_map_key(const std::string& service, const std::string& key)
{
    return service + '\n' + key;
}

namespace detail
{

namespace
{

command_answer claim_answer(const claim& found, claim_state state)
{
    command_answer answer;
    answer.id = found.id;
    claim reply = found;
    reply.state = state;
    answer.detail = reply;
    return answer;
}

/// Removes the oldest claims while the table is full.
/// @return false if the oldest claim is in progress, so that no claim can be removed
bool evict_oldest_claims(control_state& state)
{
    while (state.claims.size() >= max_claims && !state.claim_order.empty())
    {
        const auto oldest = state.claims.find(state.claim_order.front());
        if (oldest != state.claims.end() && oldest->second.state == claim_state::in_progress)
        {
            return false;
        }
        if (oldest != state.claims.end())
        {
            state.claims.erase(oldest);
        }
        state.claim_order.pop_front();
    }
    return true;
}

} // namespace

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const begin_claim& value)
{
    const std::string name = claim_map_key(value.service, value.key);
    const auto found = state.claims.find(name);
    if (found != state.claims.end())
    {
        ++state.counters.claims_repeated;
        const bool same = found->second.digest == value.digest;
        if (same && found->second.entry == value.entry && found->second.state == claim_state::in_progress)
        {
            return claim_answer(found->second,
                                claim_state::granted); // the claimant asks again because the answer was lost
        }
        return claim_answer(found->second, same ? found->second.state : claim_state::mismatch);
    }
    claim created;
    created.service = value.service;
    created.key = value.key;
    created.digest = value.digest;
    created.entry = value.entry;
    created.deadline_ms = value.deadline_ms;
    if (!evict_oldest_claims(state))
    {
        return claim_answer(created, claim_state::refused);
    }
    created.id = state.next_claim++;
    state.claims[name] = created;
    state.claim_order.push_back(name);
    state.open_claims.insert(name);
    ++state.counters.claims_granted;
    return claim_answer(created, claim_state::granted);
}

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const finish_claim& value)
{
    const std::string name = claim_map_key(value.service, value.key);
    const auto found = state.claims.find(name);
    if (found == state.claims.end() || found->second.id != value.id)
    {
        return refuse(errc::unknown_claim, "service " + value.service);
    }
    if (found->second.state == claim_state::done)
    {
        return claim_answer(found->second, claim_state::done); // the first outcome is final
    }
    if (value.state == claim_state::granted)
    {
        // The request is known not to have run, so the key may be claimed again; but not after the claim was
        // ended as unknown, because another claimant may have been told so.
        if (found->second.state == claim_state::in_progress)
        {
            state.claims.erase(found);
            std::erase(state.claim_order, name);
            state.open_claims.erase(name);
        }
        return {};
    }
    state.open_claims.erase(name);
    found->second.state = value.state;
    found->second.status = value.status;
    found->second.content_type = value.content_type;
    found->second.body = value.body;
    return claim_answer(found->second, value.state);
}

} // namespace detail

} // namespace plumspoke::control
