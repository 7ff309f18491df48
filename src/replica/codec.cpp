#include "plumspoke/replica/codec.hpp"

namespace plumspoke::replica
{

namespace
{

/// @brief Writes a message body into the corresponding field.
struct body_writer
{
    wire::ReplicaMessage& out;

    void operator()(const pre_vote& body) const
    {
        out.mutable_pre_vote()->set_last_index(body.last_index);
        out.mutable_pre_vote()->set_last_term(body.last_term);
    }
    void operator()(const pre_vote_reply& body) const
    {
        out.mutable_pre_vote_reply()->set_granted(body.granted);
    }
    void operator()(const vote& body) const
    {
        out.mutable_vote()->set_last_index(body.last_index);
        out.mutable_vote()->set_last_term(body.last_term);
    }
    void operator()(const vote_reply& body) const
    {
        out.mutable_vote_reply()->set_granted(body.granted);
        out.mutable_vote_reply()->set_since_acknowledged_us(body.since_acknowledged_us);
    }
    void operator()(const append& body) const
    {
        wire::Append& to = *out.mutable_append();
        to.set_previous_index(body.previous_index);
        to.set_previous_term(body.previous_term);
        to.set_commit_index(body.commit_index);
        to.set_sent_at_us(body.sent_at_us);
        for (const log_entry& entry : body.entries)
        {
            *to.add_entries() = to_wire(entry);
        }
    }
    void operator()(const append_reply& body) const
    {
        wire::AppendReply& to = *out.mutable_append_reply();
        to.set_success(body.success);
        to.set_match_index(body.match_index);
        to.set_sent_at_us(body.sent_at_us);
    }
    void operator()(const install_snapshot& body) const
    {
        *out.mutable_install_snapshot()->mutable_snapshot() = to_wire(body.state);
        out.mutable_install_snapshot()->set_sent_at_us(body.sent_at_us);
    }
};

append read_append(const wire::Append& value)
{
    append body;
    body.previous_index = value.previous_index();
    body.previous_term = value.previous_term();
    body.commit_index = value.commit_index();
    body.sent_at_us = value.sent_at_us();
    body.entries.reserve(static_cast<std::size_t>(value.entries_size()));
    for (const wire::LogEntry& entry : value.entries())
    {
        body.entries.push_back(from_wire(entry));
    }
    return body;
}

} // namespace

wire::Member to_wire(const member& value)
{
    wire::Member out;
    out.set_id(value.id);
    out.set_name(value.name);
    out.set_address(value.address);
    out.set_voter(value.voter);
    return out;
}

member from_wire(const wire::Member& value)
{
    return member{value.id(), value.name(), value.address(), value.voter()};
}

wire::Membership to_wire(const membership& value)
{
    wire::Membership out;
    for (const member& item : value.members)
    {
        *out.add_members() = to_wire(item);
    }
    return out;
}

membership from_wire(const wire::Membership& value)
{
    membership out;
    for (const wire::Member& item : value.members())
    {
        out.members.push_back(from_wire(item));
    }
    return out;
}

wire::LogEntry to_wire(const log_entry& value)
{
    wire::LogEntry out;
    out.set_index(value.index);
    out.set_term(value.term);
    out.set_kind(static_cast<std::uint32_t>(value.kind));
    if (value.kind == entry_kind::membership)
    {
        out.set_data(to_wire(value.members).SerializeAsString());
    }
    else
    {
        out.set_data(value.data);
    }
    return out;
}

log_entry from_wire(const wire::LogEntry& value)
{
    log_entry out;
    out.index = value.index();
    out.term = value.term();
    out.kind = static_cast<entry_kind>(value.kind());
    if (out.kind == entry_kind::membership)
    {
        wire::Membership members;
        members.ParseFromString(value.data());
        out.members = from_wire(members);
    }
    else
    {
        out.data = value.data();
    }
    return out;
}

wire::Snapshot to_wire(const snapshot& value)
{
    wire::Snapshot out;
    out.mutable_meta()->set_index(value.index);
    out.mutable_meta()->set_term(value.term);
    *out.mutable_meta()->mutable_membership() = to_wire(value.members);
    out.set_data(value.data);
    return out;
}

snapshot from_wire(const wire::Snapshot& value)
{
    return snapshot{
        value.meta().index(), value.meta().term(), from_wire(value.meta().membership()), value.data()};
}

wire::ReplicaMessage to_wire(const message& value)
{
    wire::ReplicaMessage out;
    out.set_from(value.from);
    out.set_to(value.to);
    out.set_term(value.term);
    std::visit(body_writer{out}, value.body);
    return out;
}

std::optional<message> from_wire(const wire::ReplicaMessage& value)
{
    message out;
    out.from = value.from();
    out.to = value.to();
    out.term = value.term();
    switch (value.body_case())
    {
    case wire::ReplicaMessage::kPreVote:
        out.body = pre_vote{value.pre_vote().last_index(), value.pre_vote().last_term()};
        return out;
    case wire::ReplicaMessage::kPreVoteReply:
        out.body = pre_vote_reply{value.pre_vote_reply().granted()};
        return out;
    case wire::ReplicaMessage::kVote:
        out.body = vote{value.vote().last_index(), value.vote().last_term()};
        return out;
    case wire::ReplicaMessage::kVoteReply:
        out.body = vote_reply{value.vote_reply().granted(), value.vote_reply().since_acknowledged_us()};
        return out;
    case wire::ReplicaMessage::kAppend:
        out.body = read_append(value.append());
        return out;
    case wire::ReplicaMessage::kAppendReply:
        out.body = append_reply{value.append_reply().success(),
                                value.append_reply().match_index(),
                                value.append_reply().sent_at_us()};
        return out;
    case wire::ReplicaMessage::kInstallSnapshot:
        out.body = install_snapshot{from_wire(value.install_snapshot().snapshot()),
                                    value.install_snapshot().sent_at_us()};
        return out;
    case wire::ReplicaMessage::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace plumspoke::replica
