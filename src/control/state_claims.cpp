// Unsafe requests under their callers' keys: claimed before they are sent, so that a key is sent once.

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
    claim told = found;
    told.state = state;
    answer.detail = told;
    return answer;
}

/// Makes room by forgetting the oldest claim that has ended.
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
                                claim_state::granted); // the asker's own claim, its answer was lost
        }
        return claim_answer(found->second, same ? found->second.state : claim_state::mismatch);
    }
    claim made;
    made.service = value.service;
    made.key = value.key;
    made.digest = value.digest;
    made.entry = value.entry;
    made.deadline_ms = value.deadline_ms;
    if (!evict_oldest_claims(state))
    {
        return claim_answer(made, claim_state::refused);
    }
    made.id = state.next_claim++;
    state.claims[name] = made;
    state.claim_order.push_back(name);
    state.open_claims.insert(name);
    ++state.counters.claims_granted;
    return claim_answer(made, claim_state::granted);
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
        return claim_answer(found->second, claim_state::done); // the first outcome stands
    }
    if (value.state == claim_state::granted)
    {
        // Proof that it did not run: the key may be claimed again, but only while nobody was told `unknown`.
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
