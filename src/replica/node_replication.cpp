/// @file
/// @brief Replication of entries and snapshots to the members, and advancement of the commit index.

#include "plumspoke/replica/node.hpp"

#include "plumspoke/error/assert.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::replica
{

// ---- progress ----------------------------------------------------------------------------------

void node::progress::record_append(log_index last_index, std::size_t bytes)
{
    unacknowledged.push_back({last_index, bytes});
    unacknowledged_bytes += bytes;
}

void node::progress::record_match(log_index index)
{
    match = index;
    while (!unacknowledged.empty() && unacknowledged.front().last_index <= index)
    {
        unacknowledged_bytes -= unacknowledged.front().bytes;
        unacknowledged.pop_front();
    }
}

void node::progress::begin_probing() noexcept
{
    probing = true;
    unacknowledged.clear();
    unacknowledged_bytes = 0;
}

// ---- replication -------------------------------------------------------------------------------

void node::on(time_point now, const message& received, const append& body)
{
    if (received.term < hard_.term)
    {
        send(received.from, append_reply{false, last_index(), body.sent_at_us});
        return;
    }
    PLUMSPOKE_ASSERT(role_ != role::leader); // a term has at most one leader
    role_ = role::follower;
    pre_voting_ = false;
    leader_ = received.from;
    leader_contact_at_ = now;
    record_leader_contact(now);
    record_own_acknowledgement(now);
    reset_election_timer(now);

    if (body.previous_index < base_index_)
    {
        // Entries that the snapshot covers are committed, so they match.
        send(received.from, append_reply{true, commit_index_, body.sent_at_us});
        return;
    }
    const std::optional<term_number> own_term = term_at(body.previous_index);
    if (!own_term.has_value() || *own_term != body.previous_term)
    {
        log_index hint = std::min(last_index(), body.previous_index - 1);
        while (own_term.has_value() && hint > commit_index_ && term_at(hint) == own_term)
        {
            --hint; // skip all entries of the conflicting term
        }
        send(received.from, append_reply{false, std::max(hint, commit_index_), body.sent_at_us});
        return;
    }
    bool members_changed = false;
    for (const log_entry& entry : body.entries)
    {
        const std::optional<term_number> present = term_at(entry.index);
        if (present.has_value() && *present == entry.term)
        {
            continue;
        }
        if (present.has_value())
        {
            members_changed = members_changed || members_index_ >= entry.index;
            truncate_from(entry.index);
        }
        members_changed = members_changed || entry.kind == entry_kind::membership;
        PLUMSPOKE_ASSERT(entry.index == last_index() + 1);
        if (unpersisted_from_ == 0)
        {
            unpersisted_from_ = entry.index;
        }
        push_back(entry);
        log_.back().appended_at = now;
    }
    if (members_changed)
    {
        adopt_membership();
    }
    const log_index matched = body.previous_index + body.entries.size();
    commit_to(std::min(body.commit_index, matched));
    send(received.from, append_reply{true, matched, body.sent_at_us});
}

void node::record_own_acknowledgement(time_point now)
{
    acknowledged_at_ = now;
    if (now + options_.acknowledgement_window / 2 >= acknowledgement_limit_)
    {
        acknowledgement_limit_ = now + options_.acknowledgement_window;
        acknowledgement_limit_changed_ = true;
    }
}

void node::record_acknowledgement(time_point now, progress& peer, std::int64_t sent_at_us)
{
    peer.acknowledged_sent_at =
        std::max(peer.acknowledged_sent_at, std::min(now, from_microseconds(sent_at_us)));
    peer.last_reply_at = now;
    peer.has_replied = true;
    peer.append_in_flight = false;
}

void node::on(time_point now, const message& received, const append_reply& body)
{
    const auto found = peers_.find(received.from);
    if (role_ != role::leader || received.term != hard_.term || found == peers_.end())
    {
        return;
    }
    progress& peer = found->second;
    record_acknowledgement(now, peer, body.sent_at_us);
    if (!body.success)
    {
        peer.begin_probing();
        peer.next = std::max(std::min(body.match_index, last_index()), peer.match) + 1;
        send_append(now, received.from, peer);
        return;
    }
    peer.probing = false;
    if (body.match_index > peer.match)
    {
        peer.record_match(body.match_index);
        advance_commit();
    }
    peer.next = std::max(peer.next, peer.match + 1);
    if (peer.next <= last_index())
    {
        send_append(now, received.from, peer);
    }
}

void node::on(time_point now, const message& received, const install_snapshot& body)
{
    if (received.term < hard_.term)
    {
        send(received.from, append_reply{false, last_index(), body.sent_at_us});
        return;
    }
    role_ = role::follower;
    pre_voting_ = false;
    leader_ = received.from;
    leader_contact_at_ = now;
    record_leader_contact(now);
    record_own_acknowledgement(now);
    reset_election_timer(now);
    if (body.state.index > commit_index_)
    {
        log_.clear();
        log_bytes_ = 0;
        base_index_ = body.state.index;
        base_term_ = body.state.term;
        base_members_ = body.state.members;
        latest_snapshot_ = body.state;
        commit_index_ = base_index_;
        delivered_index_ = base_index_;
        unpersisted_from_ = 0;
        pending_truncate_ = 0;
        pending_install_ = body.state;
        hard_changed_ = true; // the new log file starts with the term and vote
        adopt_membership();
    }
    send(received.from, append_reply{true, commit_index_, body.sent_at_us});
}

void node::append_local(time_point now, log_entry entry)
{
    entry.appended_at = now;
    entry.index = last_index() + 1;
    entry.term = hard_.term;
    if (unpersisted_from_ == 0)
    {
        unpersisted_from_ = entry.index;
    }
    push_back(std::move(entry));
}

void node::push_back(log_entry entry)
{
    log_bytes_ += entry.data.size();
    log_.push_back(std::move(entry));
}

void node::truncate_from(log_index index)
{
    PLUMSPOKE_ASSERT(index > commit_index_); // committed entries are never removed
    log_bytes_ -= data_bytes(entries_after(index - 1));
    log_.resize(index - base_index_ - 1);
    pending_truncate_ = pending_truncate_ == 0 ? index : std::min(pending_truncate_, index);
    if (unpersisted_from_ >= index)
    {
        unpersisted_from_ = 0;
    }
}

void node::adopt_membership()
{
    members_ = base_members_;
    members_index_ = base_index_;
    const auto newest = std::find_if(log_.rbegin(),
                                     log_.rend(),
                                     [](const log_entry& entry)
                                     {
                                         return entry.kind == entry_kind::membership;
                                     });
    if (newest != log_.rend())
    {
        members_ = newest->members;
        members_index_ = newest->index;
    }
    if (role_ != role::leader)
    {
        return;
    }
    std::erase_if(peers_,
                  [this](const auto& peer)
                  {
                      return members_.find(peer.first) == nullptr;
                  });
    for (const member& current : members_.members)
    {
        if (current.id != id_ && !peers_.contains(current.id))
        {
            peers_[current.id].next = last_index();
        }
    }
}

void node::advance_commit()
{
    std::vector<log_index> matches;
    for (const member& current : members_.members)
    {
        if (current.voter)
        {
            matches.push_back(match_index(current.id));
        }
    }
    if (matches.empty())
    {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const log_index candidate = matches[matches.size() / 2];
    if (candidate > commit_index_ && term_at(candidate) == hard_.term)
    {
        commit_to(candidate); // counting commits entries of the current term only: Raft, section 5.4.2
    }
}

void node::commit_to(log_index index)
{
    commit_index_ = std::max(commit_index_, std::min(index, last_index()));
}

void node::broadcast_append(time_point now)
{
    for (auto& [id, peer] : peers_)
    {
        send_append(now, id, peer);
    }
}

void node::send_append(time_point now, const member_id& to, progress& peer)
{
    record_own_acknowledgement(now); // a leader counts itself for the lease that the reply may renew
    const bool overdue = now >= peer.append_sent_at + options_.heartbeat_interval;
    if (peer.probing && peer.append_in_flight && !overdue)
    {
        return;
    }
    // Without an answer to the last append, entries would be sent in vain, and a lost disk's successor waits
    // behind them. A heartbeat is enough to learn that the member answers again.
    const bool has_capacity = peer.unacknowledged_bytes < options_.max_unacknowledged_bytes;
    const bool sends_entries =
        peer.probing ? !peer.append_in_flight : has_capacity && peer.is_responsive(now, options_);
    if (!peer.probing && !sends_entries && !overdue)
    {
        return;
    }
    const std::int64_t sent_at_us = to_microseconds(now);
    const std::optional<term_number> previous_term = term_at(peer.next - 1);
    if (!previous_term.has_value())
    {
        if (overdue || !peer.is_snapshot_in_flight(now, base_index_, options_.snapshot_resend_interval))
        {
            send_snapshot(now, to, peer);
        }
        return;
    }
    append body;
    body.previous_index = peer.next - 1;
    body.previous_term = *previous_term;
    body.commit_index = commit_index_;
    body.sent_at_us = sent_at_us;
    std::size_t bytes = 0;
    for (log_index index = peer.next; sends_entries && index <= last_index(); ++index)
    {
        if (body.entries.size() >= options_.max_entries_per_append || bytes >= options_.max_bytes_per_append)
        {
            break;
        }
        body.entries.push_back(at(index));
        bytes += at(index).data.size();
    }
    peer.append_sent_at = now;
    if (peer.probing)
    {
        peer.append_in_flight = true;
    }
    else
    {
        peer.next += body.entries.size();
        if (bytes > 0)
        {
            peer.record_append(peer.next - 1, bytes);
        }
    }
    send(to, std::move(body));
}

void node::send_snapshot(time_point now, const member_id& to, progress& peer)
{
    peer.begin_probing();
    peer.append_in_flight = true;
    peer.append_sent_at = now;
    const std::int64_t sent_at_us = to_microseconds(now);
    const bool in_flight = peer.is_snapshot_in_flight(now, base_index_, options_.snapshot_resend_interval);
    if (!peer.is_responsive(now, options_) || snapshot_pending_ || in_flight)
    {
        // Sends a heartbeat instead, because the lease may depend on this member's acknowledgement; the
        // member rejects it until the snapshot has arrived. A snapshot to an unresponsive member, such as a
        // lost disk, would waste bandwidth that others need; it is sent after the member's first reply.
        send(to, append{base_index_, base_term_, commit_index_, sent_at_us, {}});
        return;
    }
    peer.first_unacknowledged_snapshot = peer.first_unacknowledged_snapshot > peer.match
                                             ? peer.first_unacknowledged_snapshot
                                             : latest_snapshot_.index;
    peer.snapshot_sent = latest_snapshot_.index;
    peer.snapshot_sent_time = now;
    send(to, install_snapshot{latest_snapshot_, sent_at_us});
}

void node::send(const member_id& to, message_body body)
{
    messages_.push_back({id_, to, hard_.term, std::move(body)});
}

} // namespace plumspoke::replica
