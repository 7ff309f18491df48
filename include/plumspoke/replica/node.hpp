#pragma once

/// @file
/// @brief The Raft state machine of one replica: election, replication and membership changes.
///
/// Performs no I/O, reads no clock and takes no lock: the caller passes the time to each event.
///
/// The consensus follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
/// (2014), with pre-vote, check-quorum and leader leases from Ongaro's dissertation (sections 9.6, 6.2
/// and 6.4.1), and one-at-a-time membership changes (section 4.1).

#include "plumspoke/replica/message.hpp"
#include "plumspoke/time/time.hpp"

#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace plumspoke::replica
{

enum class role : std::uint8_t
{
    follower,
    candidate,
    leader,
};

/// @brief Timeouts and size limits. The leader's lease lasts `election_timeout` minus `drift_margin`.
struct node_options
{
    duration election_timeout = milliseconds(600);
    duration heartbeat_interval = milliseconds(150);
    duration drift_margin = milliseconds(120);
    // How far ahead a replica persists the time up to which it acknowledges a leader. Half of it passes
    // between two syncs that nothing else needs.
    duration acknowledgement_window = seconds(1);
    duration snapshot_resend_interval = seconds(1);     // until the member acknowledges the snapshot
    duration log_retention_after_snapshot = seconds(4); // how long the entries after a sent snapshot are kept
    // Limits of the entries that are kept for members that are catching up although a snapshot covers them.
    std::size_t max_retained_entries = 4000;
    std::size_t max_retained_bytes = 8U << 20U;
    std::size_t max_entries_per_append = 512;
    std::size_t max_bytes_per_append = 128U << 10U; // takes about 0.1 s between two busy machines
    // Further entries are not sent to a member until it acknowledges earlier ones.
    std::size_t max_unacknowledged_bytes = 4U << 20U;
    // Further members stay learners. 0: every member becomes a voter.
    std::size_t target_voter_count = 0;
    // An unresponsive voter is replaced by a learner after this time. It has to exceed any restart; the
    // platform reports a machine as lost until four seconds after its return.
    duration voter_replacement_timeout = seconds(4);
};

/// @brief Work for the driver, in this order: persist and sync, then send, then apply.
struct node_output
{
    std::optional<hard_state> hard;
    log_index truncate_from = 0; // 0: no truncation
    std::vector<log_entry> entries;
    std::optional<snapshot> installed;               // replaces the log and the state
    std::optional<time_point> acknowledgement_limit; // up to when a leader may be acknowledged
    std::vector<message> messages;
    std::vector<log_entry> committed;

    [[nodiscard]] bool must_sync() const noexcept
    {
        return must_sync_log() || acknowledgement_limit.has_value();
    }

    [[nodiscard]] bool must_sync_log() const noexcept
    {
        return hard.has_value() || truncate_from != 0 || !entries.empty() || installed.has_value();
    }
};

/// @brief Why a leader stepped down.
enum class step_down_reason : std::uint8_t
{
    lease_not_renewed, // no quorum acknowledged within an election timeout
    higher_term,       // a message carried a higher term
    resigned,          // planned shutdown
    disk_failed,
};

/// @brief Returns the name of a reason, as written in log lines.
[[nodiscard]] std::string_view to_string(step_down_reason value) noexcept;

/// @brief How long ago a voter answered a leader that stepped down. Only used in log lines.
struct voter_contact
{
    member_id id;
    duration since_acknowledged{}; // since the newest message that it acknowledged was sent
    duration since_reply{}; // since its last reply arrived; both since the start of the term if none did
};

/// @brief The last term that a replica led, and how it ended. Only used in log lines.
struct leadership_record
{
    term_number term = 0; // 0: has not led yet
    step_down_reason reason = step_down_reason::resigned;
    time_point ended_at{};
    duration length{};
    duration since_quorum_ack{};       // since the newest message that a quorum acknowledged was sent
    duration longest_event_gap{};      // between two events of this replica while it led
    term_number higher_term = 0;       // 0: it did not step down for a higher term
    member_id higher_term_sender;      // sender of the message with the higher term
    std::vector<voter_contact> voters; // the other voters
};

/// @brief Circumstances of the replica's last candidacy. Only used in log lines.
struct candidacy
{
    std::uint64_t number = 0;        // incremented with each candidacy; 0: none yet
    member_id last_leader;           // empty: no leader was known
    duration since_leader_contact{}; // since the leader's last message, or since the start
    duration longest_event_gap{};    // between two events of this replica since then
};

/// @brief The state that a replica reads from its disk at start.
struct restored_state
{
    hard_state hard;
    snapshot base;
    std::vector<log_entry> entries;
    // No leader was acknowledged later than this; nullopt if that is unknown.
    std::optional<time_point> acknowledgement_limit;
};

/// @brief One Raft participant.
/// @note After each event, call take_output, carry out the returned work, then call persisted.
class node
{
  public:
    /// @name construction
    /// @{

    /// @param id identity of the replica's disk
    /// @param options timeouts and size limits
    /// @param restored state read from the disk
    /// @param now the start time; no vote is granted within one election timeout of it, because a
    ///        restarted replica does not know when it last heard from a leader
    /// @param seed randomizes election timeouts; runs with the same seed are identical
    node(member_id id, node_options options, restored_state restored, time_point now, std::uint64_t seed);
    /// @}

    /// @name events
    /// @{
    void tick(time_point now);
    void receive(time_point now, const message& received);

    /// @brief Appends commands to the leader's log.
    /// @return the index of the first command, or nullopt if this replica is not the leader
    std::optional<log_index> propose(time_point now, std::span<const std::string> commands);

    /// @brief Starts a membership change by one member.
    /// @return false if this replica is not the leader, or another change is not committed yet
    bool propose_membership(time_point now, const membership& changed);

    /// @brief Reports that the records of the last output are synced to disk.
    void persisted(time_point now);

    /// @brief Removes the log entries that a snapshot covers, except those that members which are catching up
    ///        still need.
    /// @param index last index of the snapshot
    /// @complexity Linear in the number of removed and retained entries.
    void compact(log_index index);

    /// @brief Steps down if this replica is the leader.
    void step_down(time_point now, step_down_reason reason = step_down_reason::resigned);
    /// @}

    /// @name access
    /// @{
    /// @param max_committed_bytes limit of the committed entries in the output: once their data reaches it,
    ///        the others follow in later outputs
    [[nodiscard]] node_output
    take_output(std::size_t max_committed_bytes = std::numeric_limits<std::size_t>::max());
    [[nodiscard]] const member_id& id() const noexcept
    {
        return id_;
    }
    [[nodiscard]] role current_role() const noexcept
    {
        return role_;
    }
    [[nodiscard]] term_number term() const noexcept
    {
        return hard_.term;
    }
    [[nodiscard]] const member_id& leader() const noexcept
    {
        return leader_;
    }
    [[nodiscard]] log_index commit_index() const noexcept
    {
        return commit_index_;
    }
    [[nodiscard]] log_index last_index() const noexcept;
    [[nodiscard]] log_index first_index() const noexcept
    {
        return base_index_ + 1;
    }
    [[nodiscard]] const membership& members() const noexcept
    {
        return members_;
    }
    [[nodiscard]] std::optional<term_number> term_at(log_index index) const noexcept;

    /// @brief Whether this leader may serve reads and decide without a round trip: a quorum acknowledged it
    ///        recently enough that no other leader can have been elected, and it has committed an entry of
    ///        its own term.
    [[nodiscard]] bool holds_lease(time_point now) const noexcept;

    /// @brief When the lease expires unless a quorum acknowledges again.
    [[nodiscard]] time_point lease_end() const noexcept;

    /// @brief When the lease would expire if these were the members.
    [[nodiscard]] time_point lease_end_with(const membership& members) const noexcept;

    /// @brief When all earlier leaders had certainly lost their lease; at most the start of this leader's
    ///        term. Leaders only.
    /// @note A lease of an earlier leader needed the acknowledgement of a quorum, which has a voter in common
    ///       with the quorum that elected this one. Each vote tells how long ago its voter last acknowledged
    ///       a leader. A voter that has restarted since tells it by the limit that its disk holds, or else by
    ///       its start.
    [[nodiscard]] time_point earlier_lease_end() const noexcept
    {
        return earlier_lease_end_;
    }

    /// @brief The term of the last log entry before this leader's term. Leaders only.
    /// @note No leader of a term in between has held a lease: it would have committed an entry before.
    [[nodiscard]] term_number last_earlier_term() const noexcept
    {
        return last_earlier_term_;
    }

    /// @brief The highest index known to be persisted by a member; leaders only.
    [[nodiscard]] log_index match_index(const member_id& id) const noexcept;

    /// @brief When this leader last received a reply from a member.
    [[nodiscard]] std::optional<time_point> last_reply_time(const member_id& id) const noexcept;

    /// @brief The membership in force at a log index that is not below the base of the log.
    [[nodiscard]] const membership& members_at(log_index index) const noexcept;

    /// @brief The log entries after an index that is not below the base of the log.
    [[nodiscard]] std::span<const log_entry> entries_after(log_index index) const noexcept;

    /// @brief Size of the data of all log entries in memory, in bytes.
    [[nodiscard]] std::size_t log_bytes() const noexcept
    {
        return log_bytes_;
    }

    /// @brief Whether this leader has committed an entry of its own term. Only then it knows all committed
    ///        entries.
    [[nodiscard]] bool term_committed() const noexcept
    {
        return role_ == role::leader && commit_index_ >= term_start_index_;
    }
    [[nodiscard]] time_point leader_since() const noexcept
    {
        return leader_since_;
    }
    /// @brief Index of the first entry of this leader's term; once it is applied, so are all entries that
    ///        earlier leaders committed.
    [[nodiscard]] log_index term_start_index() const noexcept
    {
        return term_start_index_;
    }

    /// @brief The last term that this replica led, after it has stepped down.
    [[nodiscard]] const leadership_record& last_leadership() const noexcept
    {
        return last_leadership_;
    }
    [[nodiscard]] const candidacy& last_candidacy() const noexcept
    {
        return last_candidacy_;
    }

    /// @brief Sets the snapshot that a leader sends to members that need entries it has compacted.
    void set_snapshot(snapshot latest);

    /// @brief While pending, members get no snapshot, because a newer one is about to be saved. Cleared by
    ///        set_snapshot.
    void set_snapshot_pending(bool pending) noexcept
    {
        snapshot_pending_ = pending;
    }

    [[nodiscard]] bool membership_change_pending() const noexcept
    {
        return members_index_ > commit_index_;
    }
    /// @}

  private:
    /// @brief An append that a member has not acknowledged yet.
    struct sent_append
    {
        log_index last_index = 0;
        std::size_t bytes = 0;
    };

    /// @brief The leader's replication state of one member.
    struct progress
    {
        log_index match = 0;
        log_index next = 1;
        bool probing = true;           // send one append at a time until one succeeds
        bool append_in_flight = false; // while probing: wait for the reply before sending more
        time_point append_sent_at{};   // of the last append, with entries or without
        log_index snapshot_sent = 0;   // index of the last snapshot sent; 0: none
        time_point snapshot_sent_time{};
        log_index first_unacknowledged_snapshot = 0; // first index sent since an acknowledged one
        time_point acknowledged_sent_at{}; // send time of the newest acknowledged message, by this clock
        time_point last_reply_at{};
        bool has_replied = false;
        std::deque<sent_append> unacknowledged; // while not probing
        std::size_t unacknowledged_bytes = 0;

        void record_append(log_index last_index, std::size_t bytes);
        void record_match(log_index index);
        void begin_probing() noexcept;

        /// @brief Whether a snapshot is in flight that the retained log continues.
        [[nodiscard]] bool
        is_snapshot_in_flight(time_point now, log_index base, duration resend) const noexcept
        {
            return snapshot_sent != 0 && snapshot_sent >= base && now < snapshot_sent_time + resend;
        }

        [[nodiscard]] bool is_responsive(time_point now, const node_options& options) const noexcept
        {
            return has_replied && now < last_reply_at + options.election_timeout;
        }

        /// @brief Whether the member is likely to request entries after its match index or its snapshot.
        [[nodiscard]] bool is_catching_up(time_point now, const node_options& options) const noexcept
        {
            const bool gets_snapshot = first_unacknowledged_snapshot > match &&
                                       now < snapshot_sent_time + options.log_retention_after_snapshot;
            return is_responsive(now, options) || gets_snapshot;
        }
    };

    void on(time_point now, const message& received, const pre_vote& body);
    void on(time_point now, const message& received, const pre_vote_reply& body);
    void on(time_point now, const message& received, const vote& body);
    void on(time_point now, const message& received, const vote_reply& body);
    void on(time_point now, const message& received, const append& body);
    void on(time_point now, const message& received, const append_reply& body);
    void on(time_point now, const message& received, const install_snapshot& body);

    void become_follower(time_point now, term_number term, const member_id& leader);
    void record_step_down(time_point now, step_down_reason reason, term_number seen, const member_id& from);
    [[nodiscard]] std::vector<voter_contact> voter_contacts(time_point now) const;
    void record_candidacy(time_point now);
    void record_leader_contact(time_point now);
    void record_own_acknowledgement(time_point now);
    [[nodiscard]] duration shortened_by_drift(duration on_other_clock) const noexcept;
    [[nodiscard]] duration since_quorum_ack(time_point now) const;
    void start_pre_vote(time_point now);
    void start_election(time_point now);
    void become_leader(time_point now);
    void reset_election_timer(time_point now);
    void check_quorum(time_point now);
    void record_event_time(time_point now);
    [[nodiscard]] bool has_recent_leader_contact(time_point now) const noexcept;
    [[nodiscard]] bool log_is_up_to_date(log_index last_index, term_number last_term) const noexcept;
    [[nodiscard]] bool has_vote_quorum(const std::set<member_id>& votes) const noexcept;
    [[nodiscard]] bool electable() const noexcept;

    void append_local(time_point now, log_entry entry);
    void push_back(log_entry entry);
    void truncate_from(log_index index);
    void adopt_membership();
    void advance_commit();
    void commit_to(log_index index);
    void broadcast_append(time_point now);
    void send_append(time_point now, const member_id& to, progress& peer);
    void send_snapshot(time_point now, const member_id& to, progress& peer);
    void send(const member_id& to, message_body body);
    [[nodiscard]] const log_entry& at(log_index index) const noexcept;
    [[nodiscard]] log_index retained_base_index(log_index compacted) const noexcept;
    [[nodiscard]] std::vector<time_point> voter_acknowledgements(const membership& members,
                                                                 time_point own) const;
    void record_acknowledgement(time_point now, progress& peer, std::int64_t sent_at_us);

    member_id id_;
    node_options options_;
    std::uint64_t random_state_;

    hard_state hard_;
    bool hard_changed_ = false;
    role role_ = role::follower;
    bool pre_voting_ = false;
    member_id leader_;
    std::set<member_id> votes_;
    time_point election_deadline_{};
    time_point leader_contact_at_{};
    // When this replica last acknowledged a leader, at the latest. Unlike leader_contact_at_, it is known
    // across a restart by the limit on the disk.
    time_point acknowledged_at_{};
    time_point acknowledgement_limit_{}; // on the disk, or in the next output
    bool acknowledgement_limit_changed_ = false;
    time_point newest_acknowledgement_{}; // of any voter that has granted its vote in this candidacy
    time_point earlier_lease_end_ = time_point::max();
    time_point last_event_at_{};
    time_point next_heartbeat_{};
    time_point leader_since_{};
    time_point actual_leader_contact_at_{}; // unlike leader_contact_at_, not reset after a pause
    duration longest_event_gap_{}; // since the last leader contact, or since this leader's term began
    leadership_record last_leadership_;
    candidacy last_candidacy_;

    log_index base_index_ = 0; // last compacted index
    term_number base_term_ = 0;
    membership base_members_;
    std::vector<log_entry> log_;
    std::size_t log_bytes_ = 0; // data of log_
    snapshot latest_snapshot_;
    bool snapshot_pending_ = false;
    log_index commit_index_ = 0;
    log_index delivered_index_ = 0; // last index returned as committed
    log_index persisted_index_ = 0;
    log_index unpersisted_from_ = 0; // first entry not yet returned for persisting; 0: none
    log_index pending_truncate_ = 0;
    std::optional<snapshot> pending_install_;
    bool output_taken_ = false;
    log_index output_last_index_ = 0;
    membership members_;
    log_index members_index_ = 0;
    log_index term_start_index_ = 0; // first entry of this leader's term
    term_number last_earlier_term_ = 0;
    std::map<member_id, progress> peers_;
    std::vector<message> messages_;
};

} // namespace plumspoke::replica
