/// @file
/// @brief Construction, access, events and the log records of a node.

#include "plumspoke/replica/node.hpp"

#include "plumspoke/error/assert.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::replica
{

// ---- construction ------------------------------------------------------------------------------

node::node(member_id id, node_options options, restored_state restored, time_point now, std::uint64_t seed)
    : id_(std::move(id)), options_(options), random_state_(seed), hard_(std::move(restored.hard)),
      leader_contact_at_(now), last_event_at_(now), actual_leader_contact_at_(now)
{
    base_index_ = restored.base.index;
    base_term_ = restored.base.term;
    base_members_ = restored.base.members;
    latest_snapshot_ = std::move(restored.base);
    log_ = std::move(restored.entries);
    log_bytes_ = data_bytes(log_);
    commit_index_ = base_index_;
    delivered_index_ = base_index_;
    persisted_index_ = last_index();
    output_last_index_ = persisted_index_;
    adopt_membership();
    reset_election_timer(now);
    // The lease of a single voter doesn't depend on acknowledgements, so their limit doesn't bound it.
    const bool is_bounded = restored.acknowledgement_limit.has_value() && members_.voter_count() > 1;
    acknowledged_at_ = is_bounded ? std::min(now, *restored.acknowledgement_limit) : now;
}

// ---- access ------------------------------------------------------------------------------------

log_index node::last_index() const noexcept
{
    return base_index_ + log_.size();
}

std::optional<term_number> node::term_at(log_index index) const noexcept
{
    if (index == base_index_)
    {
        return base_term_;
    }
    if (index < base_index_ || index > last_index())
    {
        return std::nullopt;
    }
    return at(index).term;
}

const log_entry& node::at(log_index index) const noexcept
{
    PLUMSPOKE_ASSERT(index > base_index_ && index <= last_index());
    return log_[index - base_index_ - 1];
}

const membership& node::members_at(log_index index) const noexcept
{
    const auto newest = std::find_if(log_.rbegin(),
                                     log_.rend(),
                                     [index](const log_entry& entry)
                                     {
                                         return entry.kind == entry_kind::membership && entry.index <= index;
                                     });
    return newest == log_.rend() ? base_members_ : newest->members;
}

std::span<const log_entry> node::entries_after(log_index index) const noexcept
{
    PLUMSPOKE_ASSERT(index >= base_index_);
    return std::span<const log_entry>(log_).subspan(std::min<std::size_t>(index - base_index_, log_.size()));
}

log_index node::match_index(const member_id& id) const noexcept
{
    if (id == id_)
    {
        return persisted_index_;
    }
    const auto found = peers_.find(id);
    return found == peers_.end() ? 0 : found->second.match;
}

std::optional<time_point> node::last_reply_time(const member_id& id) const noexcept
{
    const auto found = peers_.find(id);
    if (found == peers_.end() || !found->second.has_replied)
    {
        return std::nullopt;
    }
    return found->second.last_reply_at;
}

std::vector<time_point> node::voter_acknowledgements(const membership& members, time_point own) const
{
    std::vector<time_point> times;
    for (const member& current : members.members)
    {
        if (!current.voter)
        {
            continue;
        }
        if (current.id == id_)
        {
            times.push_back(own);
            continue;
        }
        const auto found = peers_.find(current.id);
        times.push_back(found == peers_.end() ? time_point{} : found->second.acknowledged_sent_at);
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times;
}

time_point node::lease_end() const noexcept
{
    return lease_end_with(members_);
}

time_point node::lease_end_with(const membership& members) const noexcept
{
    if (role_ != role::leader)
    {
        return time_point{};
    }
    const std::vector<time_point> times = voter_acknowledgements(members, time_point::max());
    if (times.empty())
    {
        return time_point{};
    }
    const time_point quorum_time = times[times.size() / 2];
    if (quorum_time == time_point::max())
    {
        return quorum_time;
    }
    return quorum_time + options_.election_timeout - options_.drift_margin;
}

bool node::holds_lease(time_point now) const noexcept
{
    return term_committed() && now < lease_end();
}

void node::set_snapshot(snapshot latest)
{
    latest_snapshot_ = std::move(latest);
    snapshot_pending_ = false;
}

node_output node::take_output(std::size_t max_committed_bytes)
{
    node_output output;
    if (hard_changed_)
    {
        output.hard = hard_;
        hard_changed_ = false;
    }
    if (acknowledgement_limit_changed_)
    {
        output.acknowledgement_limit = acknowledgement_limit_;
        acknowledgement_limit_changed_ = false;
    }
    output.truncate_from = std::exchange(pending_truncate_, 0);
    output.installed = std::exchange(pending_install_, std::nullopt);
    if (unpersisted_from_ != 0)
    {
        for (log_index index = std::max(unpersisted_from_, base_index_ + 1); index <= last_index(); ++index)
        {
            output.entries.push_back(at(index));
        }
        unpersisted_from_ = 0;
    }
    output.messages = std::exchange(messages_, {});
    for (std::size_t bytes = 0; delivered_index_ < commit_index_ && bytes < max_committed_bytes;)
    {
        ++delivered_index_;
        output.committed.push_back(at(delivered_index_));
        bytes += output.committed.back().data.size();
    }
    output_last_index_ = last_index();
    return output;
}

// ---- events ------------------------------------------------------------------------------------

void node::record_event_time(time_point now)
{
    longest_event_gap_ =
        std::max(longest_event_gap_, std::chrono::duration_cast<duration>(now - last_event_at_));
    // After a pause of the process or a clock jump it is unknown how long ago the leader was heard, as after
    // a restart.
    if (role_ != role::leader && now > last_event_at_ + options_.election_timeout / 2)
    {
        leader_contact_at_ = now;
        acknowledged_at_ = now;
        newest_acknowledgement_ = now;
        reset_election_timer(now);
    }
    last_event_at_ = now;
}

void node::tick(time_point now)
{
    record_event_time(now);
    if (role_ == role::leader)
    {
        check_quorum(now);
        if (role_ == role::leader && now >= next_heartbeat_)
        {
            next_heartbeat_ = now + options_.heartbeat_interval;
            broadcast_append(now);
        }
        return;
    }
    if (now >= election_deadline_)
    {
        reset_election_timer(now);
        if (electable())
        {
            start_pre_vote(now);
        }
    }
}

void node::receive(time_point now, const message& received)
{
    if (received.to != id_)
    {
        return; // addressed to an earlier disk at this address
    }
    record_event_time(now);
    const bool is_pre_vote = std::holds_alternative<pre_vote>(received.body);
    const bool is_vote = std::holds_alternative<vote>(received.body);
    if ((is_pre_vote || is_vote) && has_recent_leader_contact(now))
    {
        return; // dissertation, section 4.2.3: a vote must not disrupt a live leader or invalidate its lease
    }
    const auto* answered_pre_vote = std::get_if<pre_vote_reply>(&received.body);
    const bool term_is_proposed = is_pre_vote || (answered_pre_vote != nullptr && answered_pre_vote->granted);
    if (received.term > hard_.term && !term_is_proposed)
    {
        const bool from_leader = std::holds_alternative<append>(received.body) ||
                                 std::holds_alternative<install_snapshot>(received.body);
        record_step_down(now, step_down_reason::higher_term, received.term, received.from);
        become_follower(now, received.term, from_leader ? received.from : member_id());
    }
    std::visit(
        [this, now, &received](const auto& body)
        {
            on(now, received, body);
        },
        received.body);
}

std::optional<log_index> node::propose(time_point now, std::span<const std::string> commands)
{
    if (role_ != role::leader || commands.empty())
    {
        return std::nullopt;
    }
    const log_index first = last_index() + 1;
    for (const std::string& command : commands)
    {
        log_entry entry;
        entry.kind = entry_kind::command;
        entry.data = command;
        append_local(now, std::move(entry));
    }
    broadcast_append(now);
    return first;
}

bool node::propose_membership(time_point now, const membership& changed)
{
    if (role_ != role::leader || membership_change_pending() || commit_index_ < term_start_index_)
    {
        return false; // second and third condition: dissertation, section 4.1, and its 2015 correction
    }
    log_entry entry;
    entry.kind = entry_kind::membership;
    entry.members = changed;
    append_local(now, std::move(entry));
    adopt_membership();
    broadcast_append(now);
    return true;
}

void node::persisted(time_point /*now*/)
{
    persisted_index_ = std::min(output_last_index_, last_index());
    if (role_ != role::leader)
    {
        return;
    }
    advance_commit(); // followers get it with the next append or heartbeat; clients don't read from them
}

void node::compact(log_index index)
{
    if (index <= base_index_ || index > delivered_index_)
    {
        return;
    }
    index = retained_base_index(index);
    const term_number new_base_term = *term_at(index);
    base_members_ = membership(members_at(index));
    const auto kept = log_.begin() + static_cast<std::ptrdiff_t>(index - base_index_);
    log_bytes_ -= data_bytes(std::span(log_.begin(), kept));
    log_.erase(log_.begin(), kept);
    base_index_ = index;
    base_term_ = new_base_term;
}

// Keeps the entries that members which are catching up need next. Without the entries after a snapshot in
// flight, that snapshot would be useless as soon as the next one is saved.
log_index node::retained_base_index(log_index compacted) const noexcept
{
    if (role_ != role::leader)
    {
        return compacted;
    }
    // The match index of a member is unknown until it replies to this leader.
    const bool is_newly_elected = last_event_at_ < leader_since_ + options_.election_timeout;
    log_index from = compacted;
    for (const auto& [id, peer] : peers_)
    {
        if (is_newly_elected || peer.is_catching_up(last_event_at_, options_))
        {
            from = std::min(from, std::max(peer.match, peer.first_unacknowledged_snapshot));
        }
    }
    std::size_t bytes = 0;
    log_index retained = compacted;
    while (retained > std::max(from, base_index_) && compacted - retained < options_.max_retained_entries)
    {
        bytes += at(retained).data.size();
        if (bytes > options_.max_retained_bytes)
        {
            break;
        }
        --retained;
    }
    return retained;
}

void node::step_down(time_point now, step_down_reason reason)
{
    if (role_ == role::leader)
    {
        record_step_down(now, reason, 0, {});
        become_follower(now, hard_.term, member_id());
    }
}

// ---- records for log lines ---------------------------------------------------------------------

std::string_view to_string(step_down_reason value) noexcept
{
    switch (value)
    {
    case step_down_reason::lease_not_renewed:
        return "lease_not_renewed";
    case step_down_reason::higher_term:
        return "higher_term";
    case step_down_reason::resigned:
        return "resigned";
    case step_down_reason::disk_failed:
        return "disk_failed";
    }
    return "";
}

duration node::since_quorum_ack(time_point now) const
{
    const std::vector<time_point> times = voter_acknowledgements(members_, now);
    // Before the first acknowledgement by a quorum, the start of the term counts: the votes acknowledge it.
    const time_point newest =
        times.empty() ? leader_since_ : std::max(times[times.size() / 2], leader_since_);
    return std::chrono::duration_cast<duration>(now - newest);
}

void node::record_step_down(time_point now, step_down_reason reason, term_number seen, const member_id& from)
{
    if (role_ != role::leader)
    {
        return;
    }
    last_leadership_ = {hard_.term,
                        reason,
                        now,
                        std::chrono::duration_cast<duration>(now - leader_since_),
                        since_quorum_ack(now),
                        longest_event_gap_,
                        seen,
                        from,
                        voter_contacts(now)};
}

std::vector<voter_contact> node::voter_contacts(time_point now) const
{
    const auto since = [this, now](time_point at)
    {
        return std::chrono::duration_cast<duration>(now - std::max(at, leader_since_));
    };
    std::vector<voter_contact> out;
    for (const auto& [id, peer] : peers_)
    {
        if (members_.is_voter(id))
        {
            out.push_back({id, since(peer.acknowledged_sent_at), since(peer.last_reply_at)});
        }
    }
    return out;
}

void node::record_candidacy(time_point now)
{
    ++last_candidacy_.number;
    last_candidacy_.last_leader = leader_;
    last_candidacy_.since_leader_contact =
        std::chrono::duration_cast<duration>(now - actual_leader_contact_at_);
    last_candidacy_.longest_event_gap = longest_event_gap_;
}

void node::record_leader_contact(time_point now)
{
    actual_leader_contact_at_ = now;
    longest_event_gap_ = {};
}

} // namespace plumspoke::replica
