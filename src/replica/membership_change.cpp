/// @file
/// @brief Which learner is promoted, which lost disk is removed, and who is taken in, one step at a time.

#include "plumspoke/replica/membership_change.hpp"

#include <algorithm>
#include <chrono>

namespace plumspoke::replica
{

namespace
{

constexpr log_index promotion_lag = 64; // entries: a tenth of a second at full load

/// @brief How long a member has not answered; a leader that is young gives each the time since it began.
duration silence_of(const node& leader, const member& of, time_point now)
{
    if (of.id == leader.id())
    {
        return duration(0);
    }
    const time_point heard =
        std::max(leader.last_answer(of.id).value_or(time_point{}), leader.leader_since());
    return std::chrono::duration_cast<duration>(now - heard);
}

bool has_caught_up(const node& leader, const member& of)
{
    // Under load it is always a few entries behind; it holds what was committed when it joined.
    return leader.match_index(of.id) > 0 &&
           leader.match_index(of.id) + promotion_lag >= leader.commit_index();
}

/// @brief Whether a later member holds this one's name: the same VM with another disk.
/// @note Members are in the order in which they came: what replaces a disk came after it.
bool is_replaced(const membership& all, const member& old, bool by_voter)
{
    bool after = false;
    for (const member& one : all.members)
    {
        if (after && one.name == old.name && one.id != old.id && (one.voter || !by_voter))
        {
            return true;
        }
        after = after || one.id == old.id;
    }
    return false;
}

/// @brief A voter that is silent and whose disk is lost, or that has been silent for long.
const member* find_replaceable(const node& leader, time_point now, const node_options& options)
{
    const member* longest = nullptr;
    duration most = options.replace_after;
    for (const member& one : leader.members().members)
    {
        const duration silence = silence_of(leader, one, now);
        if (one.voter && is_replaced(leader.members(), one, false) && silence > options.election_timeout)
        {
            return &one;
        }
        if (one.voter && silence > most)
        {
            longest = &one;
            most = silence;
        }
    }
    return longest;
}

std::optional<membership> promote_learner(const node& leader, time_point now, const node_options& options)
{
    membership changed = leader.members();
    const bool room = options.wanted_voters == 0 || changed.voter_count() < options.wanted_voters;
    const bool replaces = options.wanted_voters > 0 && changed.voter_count() == options.wanted_voters &&
                          find_replaceable(leader, now, options) != nullptr;
    if (!room && !replaces)
    {
        return std::nullopt;
    }
    for (member& learner : changed.members)
    {
        const bool answers = silence_of(leader, learner, now) <= options.replace_after;
        if (!learner.voter && has_caught_up(leader, learner) && answers)
        {
            // Promoted first, and the lost disk removed after: the quorum never rests on fewer copies.
            learner.voter = true;
            return changed;
        }
    }
    return std::nullopt;
}

std::optional<membership> remove_member(const node& leader, time_point now, const node_options& options)
{
    membership changed = leader.members();
    const auto remove = [&changed](const member_id& id)
    {
        std::erase_if(changed.members,
                      [&id](const member& one)
                      {
                          return one.id == id;
                      });
        return changed;
    };
    for (const member& old : leader.members().members)
    {
        const bool silent = silence_of(leader, old, now) > options.election_timeout;
        if (old.id != leader.id() && silent && is_replaced(leader.members(), old, true))
        {
            return remove(old.id);
        }
    }
    if (options.wanted_voters > 0 && changed.voter_count() > options.wanted_voters)
    {
        if (const member* silent = find_replaceable(leader, now, options); silent != nullptr)
        {
            return remove(silent->id);
        }
    }
    return std::nullopt;
}

std::optional<membership>
take_in(const node& leader, std::span<const member> joining, time_point now, const node_options& options)
{
    membership changed = leader.members();
    for (const member& one : joining)
    {
        const bool known = changed.find(one.id) != nullptr;
        const member* same_name = changed.find_name(one.name);
        const bool name_in_use =
            same_name != nullptr &&
            (same_name->id == leader.id() ||
             leader.last_answer(same_name->id).value_or(time_point{}) + options.election_timeout > now);
        if (!known && !name_in_use)
        {
            std::erase_if(changed.members,
                          [&one](const member& other)
                          {
                              return other.name == one.name && !other.voter;
                          });
            changed.members.push_back({one.id, one.name, one.address, false});
            return changed;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<membership> next_membership(const node& leader,
                                          std::span<const member> joining,
                                          time_point now,
                                          const node_options& options)
{
    if (std::optional<membership> changed = promote_learner(leader, now, options))
    {
        return changed;
    }
    if (std::optional<membership> changed = remove_member(leader, now, options))
    {
        return changed;
    }
    return take_in(leader, joining, now, options);
}

} // namespace plumspoke::replica
