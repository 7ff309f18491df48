#pragma once

/// @file
/// @brief One replica's decisions: election, replication, membership. No I/O, no clock, no lock.
///
/// The consensus follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
/// (2014), with pre-vote, check-quorum and leader leases from Ongaro's dissertation (sections 9.6, 6.2
/// and 6.4.1), and one-at-a-time membership changes (section 4.1).

#include "plumspoke/replica/message.hpp"
#include "plumspoke/time/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace plumspoke::replica
{

enum class role : std::uint8_t
{
    follower,
    candidate,
    leader,
};

/// @brief Times of the election. The lease holds for `election_timeout` less `drift_margin`.
struct node_options
{
    duration election_timeout = milliseconds(600);
    duration heartbeat_interval = milliseconds(150);
    duration drift_margin = milliseconds(120);
    duration snapshot_resend_interval = seconds(1);     // while no answer to it has come
    duration log_retention_after_snapshot = seconds(4); // for which the log after a sent snapshot is kept
    // The log that is kept for members that are catching up, beyond what a snapshot holds.
    std::size_t max_retained_entries = 4000;
    std::size_t max_retained_bytes = 8U << 20U;
    std::size_t max_entries_per_append = 512;
    std::size_t max_bytes_per_append = 128U << 10U; // some 0.1 s between two busy machines
    // Voters that the group wants; further members stand by as learners. 0: every member votes.
    std::size_t target_voter_count = 0;
    // A voter that is silent for so long gives its place to a learner that stands by. Longer than any
    // restart; the platform calls a machine lost until four seconds after its return.
    duration voter_replacement_timeout = seconds(4);
};

/// @brief What the shell has to do, in this order: persist and sync, then send, then apply.
struct node_output
{
    std::optional<hard_state> hard;
    log_index truncate_from = 0; // 0: nothing is removed
    std::vector<log_entry> entries;
    std::optional<snapshot> installed; // replaces log and state
    std::vector<message> messages;
    std::vector<log_entry> committed;

    [[nodiscard]] bool must_sync() const noexcept
    {
        return hard.has_value() || truncate_from != 0 || !entries.empty() || installed.has_value();
    }
};

/// @brief Why a replica leads no more.
enum class step_down_reason : std::uint8_t
{
    lease_not_renewed, // no quorum has acknowledged for an election timeout
    higher_term,       // another member has begun one
    resigned,          // a planned stop
    disk_failed,
};

/// @brief The name of a reason, for log lines.
[[nodiscard]] std::string_view to_string(step_down_reason value) noexcept;

/// @brief The last term that a replica led, and how it ended; for log lines, decides nothing.
struct leadership_record
{
    term_number term = 0; // 0: none yet
    step_down_reason reason = step_down_reason::resigned;
    time_point ended_at{};
    duration length{};
    duration since_quorum_ack{};  // from the sending of the newest message that a quorum has acknowledged
    duration longest_event_gap{}; // of this replica's own events while it led
    term_number higher_term = 0;  // the higher one
    member_id higher_term_sender; // whoever spoke of the higher one
};

/// @brief Why a replica last stood for election; for log lines, decides nothing.
struct candidacy
{
    std::uint64_t number = 0;        // rises with each; 0: none yet
    member_id last_leader;           // empty: none was known
    duration since_leader_contact{}; // from the leader's last message, or from the start
    duration longest_event_gap{};    // of this replica's own events since then
};

/// @brief What a replica finds on its disk when it starts.
struct restored_state
{
    hard_state hard;
    snapshot base;
    std::vector<log_entry> entries;
};

/// @brief The replica's state machine of consensus.
/// @note Call take_output after each event, do what it says, then call persisted.
class node
{
  public:
    /// @name construction
    /// @{

    /// @param id this disk's identity
    /// @param options times and sizes
    /// @param restored what the disk holds
    /// @param now the time of the start; a vote is withheld for one election timeout from here,
    ///        because a restarted replica has forgotten whom it heard from
    /// @param seed spreads election timeouts; the same seed gives the same run
    node(member_id id, node_options options, restored_state restored, time_point now, std::uint64_t seed);
    /// @}

    /// @name events
    /// @{
    void tick(time_point now);
    void receive(time_point now, const message& received);

    /// @brief Appends commands on a leader.
    /// @return the index of the first one, or nothing where this is not the leader
    std::optional<log_index> propose(time_point now, std::span<const std::string> commands);

    /// @brief Starts a change of membership by one member.
    /// @return false where this is not the leader, or another change is under way
    bool propose_membership(time_point now, const membership& changed);

    /// @brief Says that the last output's persist part is synced.
    void persisted(time_point now);

    /// @brief Drops the log up to a snapshot that the shell has synced, but for what members are catching up
    /// with.
    /// @complexity Linear in the entries that are dropped or retained.
    void compact(log_index index);

    /// @brief Steps down, for a planned stop.
    void step_down(time_point now, step_down_reason reason = step_down_reason::resigned);
    /// @}

    /// @name access
    /// @{
    [[nodiscard]] node_output take_output();
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

    /// @brief Whether this leader may act without asking: a quorum has heard it recently enough that
    ///        no other can have been elected, and it has committed an entry of its own term.
    [[nodiscard]] bool holds_lease(time_point now) const noexcept;

    /// @brief When the lease ends unless a quorum answers again.
    [[nodiscard]] time_point lease_end() const noexcept;

    /// @brief The highest index known to be on a member's disk; leaders only.
    [[nodiscard]] log_index match_index(const member_id& id) const noexcept;

    /// @brief When a member last answered this leader.
    [[nodiscard]] std::optional<time_point> last_reply_time(const member_id& id) const noexcept;

    /// @brief The membership in force at an index of the log, or at its base.
    [[nodiscard]] const membership& members_at(log_index index) const noexcept;

    /// @brief What the log holds after an index, which isn't below its base.
    [[nodiscard]] std::span<const log_entry> entries_after(log_index index) const noexcept;

    /// @brief Whether this leader has committed an entry of its own term, and so knows all that is committed.
    [[nodiscard]] bool term_committed() const noexcept
    {
        return role_ == role::leader && commit_index_ >= term_start_index_;
    }
    [[nodiscard]] time_point leader_since() const noexcept
    {
        return leader_since_;
    }
    /// @brief The first entry of this leader's own term: once it is applied, all that was committed is.
    [[nodiscard]] log_index term_start_index() const noexcept
    {
        return term_start_index_;
    }

    /// @brief The last term that this replica led and leads no more.
    [[nodiscard]] const leadership_record& last_leadership() const noexcept
    {
        return last_leadership_;
    }
    [[nodiscard]] const candidacy& last_candidacy() const noexcept
    {
        return last_candidacy_;
    }

    /// @brief The snapshot that a leader sends to a member that lags behind its log.
    void set_snapshot(snapshot latest);

    /// @brief A newer snapshot is being saved: until it is set, members that need one get no older one.
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
    /// @brief What a leader knows of one member.
    struct progress
    {
        log_index match = 0;
        log_index next = 1;
        bool probing = true;           // one append at a time until it answers
        bool append_in_flight = false; // an answer is due before more is sent in probing
        time_point append_sent_at{};   // resend after a heartbeat interval
        log_index snapshot_sent = 0;   // the last snapshot that was sent to it; 0: none
        time_point snapshot_sent_time{};
        log_index first_unacknowledged_snapshot =
            0;                             // the first one that was sent since its last answer to one
        time_point acknowledged_sent_at{}; // when the last answered message was sent, by this clock
        time_point last_reply_at{};
        bool has_replied = false;

        /// @brief Whether a snapshot is under way after which the log goes on.
        [[nodiscard]] bool
        is_snapshot_in_flight(time_point now, log_index base, duration resend) const noexcept
        {
            return snapshot_sent != 0 && snapshot_sent >= base && now < snapshot_sent_time + resend;
        }

        [[nodiscard]] bool is_responsive(time_point now, const node_options& options) const noexcept
        {
            return has_replied && now < last_reply_at + options.election_timeout;
        }

        /// @brief Whether it is likely to ask for the log after what it has, or will have.
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
    void record_candidacy(time_point now);
    void record_leader_contact(time_point now);
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

    void append_local(log_entry entry);
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
    [[nodiscard]] std::vector<time_point> voter_acknowledgements(time_point own) const;
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
    time_point last_event_at_{};
    time_point next_heartbeat_{};
    time_point leader_since_{};
    time_point actual_leader_contact_at_{}; // as leader_contact_at_, but never put forward
    duration longest_event_gap_{}; // of own events since the leader was heard, or since the own term began
    leadership_record last_leadership_;
    candidacy last_candidacy_;

    log_index base_index_ = 0; // the last index that is only in the snapshot
    term_number base_term_ = 0;
    membership base_members_;
    std::vector<log_entry> log_;
    snapshot latest_snapshot_;
    bool snapshot_pending_ = false;
    log_index commit_index_ = 0;
    log_index delivered_index_ = 0; // handed out as committed
    log_index persisted_index_ = 0;
    log_index unpersisted_from_ = 0; // first entry not yet handed out to persist; 0: none
    log_index pending_truncate_ = 0;
    std::optional<snapshot> pending_install_;
    bool output_taken_ = false;
    log_index output_last_index_ = 0;
    membership members_;
    log_index members_index_ = 0;
    log_index term_start_index_ = 0; // this leader's first own entry
    std::map<member_id, progress> peers_;
    std::vector<message> messages_;
};

} // namespace plumspoke::replica
