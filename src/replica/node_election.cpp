/// @file
/// @brief Election of a node and loss of its leadership.

#include "plumspoke/replica/node.hpp"

#include <algorithm>

namespace plumspoke::replica
{

namespace
{

/// @brief Returns the next value of splitmix64 (Steele, Lea, Flood, 2014); suffices to randomize timeouts.
std::uint64_t next_random(std::uint64_t& state) noexcept
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

} // namespace

// ---- election ----------------------------------------------------------------------------------

void node::reset_election_timer(time_point now)
{
    const auto spread = static_cast<std::int64_t>(
        next_random(random_state_) % static_cast<std::uint64_t>(options_.election_timeout.count()));
    election_deadline_ = now + options_.election_timeout + duration(spread);
}

bool node::electable() const noexcept
{
    return members_.is_voter(id_);
}

bool node::has_recent_leader_contact(time_point now) const noexcept
{
    if (role_ == role::leader)
    {
        return now < lease_end();
    }
    return now < leader_contact_at_ + options_.election_timeout;
}

bool node::log_is_up_to_date(log_index last, term_number last_term) const noexcept
{
    const term_number own_term = *term_at(last_index());
    if (last_term != own_term)
    {
        return last_term > own_term;
    }
    return last >= last_index();
}

bool node::has_vote_quorum(const std::set<member_id>& votes) const noexcept
{
    const auto granted = std::count_if(members_.members.begin(),
                                       members_.members.end(),
                                       [&votes](const member& current)
                                       {
                                           return current.voter && votes.contains(current.id);
                                       });
    return static_cast<std::size_t>(granted) > members_.voter_count() / 2;
}

duration node::shortened_by_drift(duration on_other_clock) const noexcept
{
    const double slowest_rate =
        1 - std::chrono::duration<double>(options_.drift_margin) / options_.election_timeout;
    return duration(static_cast<std::int64_t>(slowest_rate * static_cast<double>(on_other_clock.count())));
}

void node::become_follower(time_point now, term_number term, const member_id& leader)
{
    if (term > hard_.term)
    {
        hard_.term = term;
        hard_.voted_for.clear();
        hard_changed_ = true;
    }
    if (role_ == role::leader)
    {
        // A former leader counts as having just heard from one: its followers may still honor its lease.
        leader_contact_at_ = now;
        record_leader_contact(now);
        record_own_acknowledgement(now);
    }
    role_ = role::follower;
    pre_voting_ = false;
    leader_ = leader;
    votes_.clear();
    peers_.clear();
    reset_election_timer(now);
}

void node::start_pre_vote(time_point now)
{
    record_candidacy(now);
    role_ = role::candidate;
    pre_voting_ = true;
    leader_.clear();
    votes_ = {id_};
    if (has_vote_quorum(votes_))
    {
        start_election(now);
        return;
    }
    for (const member& current : members_.members)
    {
        if (current.voter && current.id != id_)
        {
            messages_.push_back(
                {id_, current.id, hard_.term + 1, pre_vote{last_index(), *term_at(last_index())}});
        }
    }
}

void node::start_election(time_point now)
{
    role_ = role::candidate;
    pre_voting_ = false;
    hard_.term += 1;
    hard_.voted_for = id_;
    hard_changed_ = true;
    votes_ = {id_};
    newest_acknowledgement_ = acknowledged_at_;
    reset_election_timer(now);
    if (has_vote_quorum(votes_))
    {
        become_leader(now);
        return;
    }
    for (const member& current : members_.members)
    {
        if (current.voter && current.id != id_)
        {
            send(current.id, vote{last_index(), *term_at(last_index())});
        }
    }
}

void node::become_leader(time_point now)
{
    role_ = role::leader;
    pre_voting_ = false;
    leader_ = id_;
    leader_since_ = now;
    earlier_lease_end_ =
        members_.voter_count() > 1 ? std::min(now, newest_acknowledgement_ + options_.election_timeout) : now;
    record_leader_contact(now);
    peers_.clear();
    term_start_index_ = last_index() + 1;
    last_earlier_term_ = *term_at(last_index());
    append_local(now, log_entry{});
    for (const member& current : members_.members)
    {
        if (current.id != id_)
        {
            peers_[current.id].next = last_index();
        }
    }
    next_heartbeat_ = now + options_.heartbeat_interval;
    broadcast_append(now);
}

void node::check_quorum(time_point now)
{
    if (now < leader_since_ + options_.election_timeout)
    {
        return;
    }
    const std::vector<time_point> times = voter_acknowledgements(members_, now);
    const bool heard = !times.empty() && times[times.size() / 2] + options_.election_timeout > now;
    if (!heard)
    {
        record_step_down(now, step_down_reason::lease_not_renewed, 0, {});
        become_follower(now, hard_.term, member_id());
    }
}

void node::on(time_point /*now*/, const message& received, const pre_vote& body)
{
    const bool granted = role_ != role::leader && received.term > hard_.term &&
                         log_is_up_to_date(body.last_index, body.last_term);
    messages_.push_back({id_, received.from, granted ? received.term : hard_.term, pre_vote_reply{granted}});
}

void node::on(time_point now, const message& received, const pre_vote_reply& body)
{
    if (role_ != role::candidate || !pre_voting_ || !body.granted || received.term != hard_.term + 1)
    {
        return;
    }
    votes_.insert(received.from);
    if (has_vote_quorum(votes_))
    {
        start_election(now);
    }
}

void node::on(time_point now, const message& received, const vote& body)
{
    const bool free_to_vote = hard_.voted_for.empty() || hard_.voted_for == received.from;
    const bool granted = received.term == hard_.term && role_ == role::follower && free_to_vote &&
                         log_is_up_to_date(body.last_index, body.last_term);
    if (granted)
    {
        if (hard_.voted_for != received.from)
        {
            hard_.voted_for = received.from;
            hard_changed_ = true;
        }
        reset_election_timer(now);
    }
    const auto since_acknowledged = std::chrono::duration_cast<duration>(now - acknowledged_at_);
    send(received.from, vote_reply{granted, since_acknowledged.count()});
}

void node::on(time_point now, const message& received, const vote_reply& body)
{
    if (role_ != role::candidate || pre_voting_ || received.term != hard_.term || !body.granted)
    {
        return;
    }
    votes_.insert(received.from);
    const duration since_acknowledged =
        shortened_by_drift(std::max(duration(0), duration(body.since_acknowledged_us)));
    newest_acknowledgement_ = std::max(newest_acknowledgement_, now - since_acknowledged);
    if (has_vote_quorum(votes_))
    {
        become_leader(now);
    }
}

} // namespace plumspoke::replica
