/// @file
/// @brief Promotion of learners, removal of lost disks and addition of members, one change at a time.

#include "plumspoke/replica/membership_change.hpp"

#include <algorithm>
#include <chrono>

namespace plumspoke::replica
{

namespace
{

constexpr log_index promotion_lag = 64; // entries, 0.1 s at full load

/// @brief Time since a member's last reply, or since this replica became the leader if that was later.
duration time_since_reply(const node& leader, const member& of, time_point now)
{
    if (of.id == leader.id())
    {
        return duration(0);
    }
    const time_point heard =
        std::max(leader.last_reply_time(of.id).value_or(time_point{}), leader.leader_since());
    return std::chrono::duration_cast<duration>(now - heard);
}

bool has_caught_up(const node& leader, const member& of)
{
    // Under load a learner always lags by a few entries; it has all that were committed when it joined.
    return leader.match_index(of.id) > 0 &&
           leader.match_index(of.id) + promotion_lag >= leader.commit_index();
}

/// @brief Whether a later member has this one's name, i.e. the same VM has another disk.
/// @note Members are ordered by when they joined, so a disk's successor comes after it.
bool has_successor(const membership& all, const member& old, bool voters_only)
{
    bool after = false;
    for (const member& other : all.members)
    {
        if (after && other.name == old.name && other.id != old.id && (other.voter || !voters_only))
        {
            return true;
        }
        after = after || other.id == old.id;
    }
    return false;
}

/// @brief Finds an unresponsive voter whose disk was replaced, or else the voter that has been unresponsive
///        for longest, beyond the replacement timeout.
const member* find_replaceable_voter(const node& leader, time_point now, const node_options& options)
{
    const member* longest_silent = nullptr;
    duration longest_silence = options.voter_replacement_timeout;
    for (const member& current : leader.members().members)
    {
        const duration since_reply = time_since_reply(leader, current, now);
        if (current.voter && has_successor(leader.members(), current, false) &&
            since_reply > options.election_timeout)
        {
            return &current;
        }
        if (current.voter && since_reply > longest_silence)
        {
            longest_silent = &current;
            longest_silence = since_reply;
        }
    }
    return longest_silent;
}

/// @brief Whether the leader would soon lose its lease because of the new voters in a membership.
/// @note A learner that has caught up may acknowledge late. With lost disks among the voters its
///       acknowledgement counts for the quorum at once, and the leader would step down.
bool endangers_lease(const node& leader,
                     const membership& changed,
                     time_point now,
                     const node_options& options)
{
    return leader.lease_end_with(changed) < std::min(leader.lease_end(), now + options.heartbeat_interval);
}

std::optional<membership> promote_learner(const node& leader, time_point now, const node_options& options)
{
    membership changed = leader.members();
    const bool has_vacancy =
        options.target_voter_count == 0 || changed.voter_count() < options.target_voter_count;
    const bool can_replace = options.target_voter_count > 0 &&
                             changed.voter_count() == options.target_voter_count &&
                             find_replaceable_voter(leader, now, options) != nullptr;
    if (!has_vacancy && !can_replace)
    {
        return std::nullopt;
    }
    for (member& learner : changed.members)
    {
        const bool is_responsive =
            time_since_reply(leader, learner, now) <= options.voter_replacement_timeout;
        if (!learner.voter && has_caught_up(leader, learner) && is_responsive)
        {
            // The learner is promoted before the lost disk is removed, so the number of copies never drops.
            learner.voter = true;
            if (!endangers_lease(leader, changed, now, options))
            {
                return changed;
            }
            learner.voter = false;
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
                      [&id](const member& current)
                      {
                          return current.id == id;
                      });
        return changed;
    };
    for (const member& old : leader.members().members)
    {
        const bool unresponsive = time_since_reply(leader, old, now) > options.election_timeout;
        if (old.id != leader.id() && unresponsive && has_successor(leader.members(), old, true))
        {
            return remove(old.id);
        }
    }
    if (options.target_voter_count > 0 && changed.voter_count() > options.target_voter_count)
    {
        if (const member* unresponsive = find_replaceable_voter(leader, now, options);
            unresponsive != nullptr)
        {
            return remove(unresponsive->id);
        }
    }
    return std::nullopt;
}

std::optional<membership>
add_learner(const node& leader, std::span<const member> joining, time_point now, const node_options& options)
{
    membership changed = leader.members();
    for (const member& candidate : joining)
    {
        const bool known = changed.find(candidate.id) != nullptr;
        const member* same_name = changed.find_name(candidate.name);
        const bool name_in_use =
            same_name != nullptr &&
            (same_name->id == leader.id() ||
             leader.last_reply_time(same_name->id).value_or(time_point{}) + options.election_timeout > now);
        if (!known && !name_in_use)
        {
            std::erase_if(changed.members,
                          [&candidate](const member& other)
                          {
                              return other.name == candidate.name && !other.voter;
                          });
            changed.members.push_back({candidate.id, candidate.name, candidate.address, false});
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
    return add_learner(leader, joining, now, options);
}

} // namespace plumspoke::replica
