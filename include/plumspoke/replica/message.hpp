#pragma once

/// @file
/// @brief Log entries, snapshots and the messages between replicas, as plain value types.

#include "plumspoke/time/time.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace plumspoke::replica
{

using log_index = std::uint64_t;
using term_number = std::uint64_t;
constexpr term_number any_term = 0;
using member_id = std::string;

/// @brief One replica in a membership.
/// @note `id` identifies a disk: an empty disk gets a new id, so that it never votes as the disk it replaces.
struct member
{
    member_id id;
    std::string name;
    std::string address;
    bool voter = false;

    bool operator==(const member&) const = default;
};

/// @brief The members of a group, as of one log index.
struct membership
{
    std::vector<member> members;

    [[nodiscard]] const member* find(const member_id& id) const noexcept;
    [[nodiscard]] const member* find_name(const std::string& name) const noexcept;
    [[nodiscard]] std::size_t voter_count() const noexcept;
    [[nodiscard]] bool is_voter(const member_id& id) const noexcept;

    bool operator==(const membership&) const = default;
};

enum class entry_kind : std::uint8_t
{
    no_op = 0,
    command = 1,
    membership = 2,
};

/// @brief One entry of the replicated log.
struct log_entry
{
    log_index index = 0;
    term_number term = 0;
    entry_kind kind = entry_kind::no_op;
    std::string data;
    membership members; // only if kind is membership
    // When it was appended to this replica's log by this process. Neither sent nor persisted; entries read
    // from the disk have none.
    time_point appended_at{};

    bool operator==(const log_entry& other) const
    {
        return index == other.index && term == other.term && kind == other.kind && data == other.data &&
               members == other.members;
    }
};

/// @brief Raft's persistent term and vote; synced before a vote is sent.
struct hard_state
{
    term_number term = 0;
    member_id voted_for;

    bool operator==(const hard_state&) const = default;
};

/// @brief The state after applying all entries up to `index`, and the membership in force there.
struct snapshot
{
    log_index index = 0;
    term_number term = 0;
    membership members;
    std::string data;
};

struct pre_vote
{
    log_index last_index = 0;
    term_number last_term = 0;
};

struct pre_vote_reply
{
    bool granted = false;
};

struct vote
{
    log_index last_index = 0;
    term_number last_term = 0;
};

struct vote_reply
{
    bool granted = false;
    // Lower bound of the time since the voter last acknowledged a leader; 0 if unknown.
    std::int64_t since_acknowledged_us = 0;
};

struct append
{
    log_index previous_index = 0;
    term_number previous_term = 0;
    log_index commit_index = 0;
    std::int64_t sent_at_us = 0;
    std::vector<log_entry> entries;
};

struct append_reply
{
    bool success = false;
    log_index match_index = 0;
    std::int64_t sent_at_us = 0;
};

struct install_snapshot
{
    snapshot state;
    std::int64_t sent_at_us = 0;
};

using message_body =
    std::variant<pre_vote, pre_vote_reply, vote, vote_reply, append, append_reply, install_snapshot>;

/// @brief A message between two replicas.
struct message
{
    member_id from;
    member_id to;
    term_number term = 0;
    message_body body;
};

/// @brief Size of the data of log entries, in bytes.
[[nodiscard]] std::size_t data_bytes(std::span<const log_entry> entries) noexcept;

} // namespace plumspoke::replica
