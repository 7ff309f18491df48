#pragma once

/// @file
/// @brief Runs a node on a thread that syncs, sends and applies, in this order.
///
/// The thread also renews the leader's lease, so it waits at most one tick for access to the state machine.
/// Entries that can't be applied by then stay queued until the messages received meanwhile are processed.

#include "plumspoke/replica/join_requests.hpp"
#include "plumspoke/replica/membership_change.hpp"
#include "plumspoke/replica/node.hpp"
#include "plumspoke/replica/snapshot_schedule.hpp"
#include "plumspoke/replica/storage.hpp"

#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace plumspoke::replica
{

/// @brief The replicated state machine. All replicas apply the same commands in the same order, so `apply`
///        has to be deterministic: it may depend on neither a clock nor random numbers.
class state_machine
{
  public:
    virtual ~state_machine() = default;

    /// @return the answer for the caller that proposed the command
    virtual std::string apply(log_index index, std::string_view command) = 0;
    [[nodiscard]] virtual std::string save() const = 0;
    virtual void restore(std::string_view saved) = 0;

    /// @name variants with a timeout, called by the driver's thread
    /// @brief For state machines whose lock others may hold for long. The defaults never wait.
    /// @param limit how long to wait for the lock; 0: don't wait
    /// @return nullopt or false if the lock was not acquired; the state is unchanged then
    /// @{
    virtual std::optional<std::string> try_apply(const log_entry& entry, duration /*limit*/)
    {
        return apply(entry.index, entry.data);
    }
    [[nodiscard]] virtual std::optional<std::string> try_save(duration /*limit*/) const
    {
        return save();
    }
    [[nodiscard]] virtual bool try_restore(std::string_view saved, duration /*limit*/)
    {
        restore(saved);
        return true;
    }
    /// @}
};

/// @brief Sends messages to other replicas. Messages may be lost, delayed, duplicated or reordered.
class transport
{
  public:
    virtual ~transport() = default;
    virtual void send(const std::string& address, const message& sent) = 0;

    /// @brief Reports that a process at this address is running, so that a connection to it, which may wait
    ///        after failed attempts, is attempted with the next message.
    virtual void reconnect(const std::string& /*address*/)
    {
    }
};

/// @brief Outcome of a proposed command.
struct proposal_result
{
    std::error_code error;
    std::string answer;
    log_index index = 0; // of the committed entry; 0 on errors
    term_number term = 0;
};

using proposal_callback = std::function<void(proposal_result)>;

/// @brief Copy of the replica's status for other threads, as of the driver's last round.
struct replica_status
{
    member_id id;
    role current_role = role::follower;
    term_number term = 0;
    member_id leader;
    std::string leader_name;
    std::string leader_address;
    log_index commit_index = 0;
    log_index applied_index = 0;
    log_index last_index = 0;
    membership members;
    std::vector<log_index> match; // match index of each member, in the order of members; leaders only
    bool membership_pending = false;
    time_point lease_end{};
    time_point leader_since{};
    time_point earlier_lease_end = time_point::max(); // see node::earlier_lease_end
    term_number last_earlier_term = 0;                // see node::last_earlier_term
    bool term_committed = false;
    std::uint64_t sync_count = 0;
    std::uint64_t commit_rounds = 0;
    std::uint64_t log_disk_bytes = 0;   // size of the log file
    std::uint64_t log_memory_bytes = 0; // data of the log entries in memory
    std::uint64_t cpu_time_us = 0;      // of the driver's thread
    std::error_code failure;
    leadership_record last_leadership; // the last term that this replica led, after it has stepped down

    [[nodiscard]] bool is_leader() const noexcept
    {
        return current_role == role::leader;
    }

    /// @brief Whether this replica is the leader, has applied all entries committed by earlier leaders, and
    ///        its lease has not expired at `now`.
    [[nodiscard]] bool holds_lease(time_point now) const noexcept
    {
        return is_leader() && term_committed && now < lease_end;
    }
};

/// @brief Limits of the driver.
struct driver_options
{
    node_options node;
    std::size_t snapshot_interval = 2000;     // maximum number of entries between snapshots
    std::size_t max_log_bytes = 16U << 20U;   // maximum size of the entries applied between snapshots
    std::size_t max_queued_proposals = 20000; // further proposals are rejected
    std::size_t max_queued_bytes = 8U << 20U; // of queued proposals; further ones are rejected, too
    std::size_t max_proposals_per_round = 1024;
    std::size_t max_bytes_per_round = 1U << 20U;   // reached by the last proposal that a round takes
    std::size_t max_apply_queue_bytes = 4U << 20U; // further committed entries stay in the log only
};

/// @brief Snapshot interval of one replica, in entries or bytes: between half and all of the configured
///        interval.
/// @note A replica's thread neither sends nor receives while it saves a snapshot. Replicas apply the same
///       entries, so with equal intervals the leader and its quorum would stop responding at the same entry.
/// @param id identity of the replica; the result depends on nothing else
/// @param configured the configured interval
[[nodiscard]] std::size_t jittered_snapshot_interval(std::string_view id, std::size_t configured) noexcept;

/// @brief Runs one replica.
class driver
{
  public:
    /// @name construction
    /// @{
    driver(driver_options options, storage& disk, state_machine& machine, transport& network);
    driver(const driver&) = delete;
    driver& operator=(const driver&) = delete;
    ~driver();

    /// @brief Reads the data folder and starts the thread.
    /// @param name name of this VM; prefix of the identity that a folder without one gets
    /// @return a storage error; the thread is not started then
    [[nodiscard]] std::error_code start(const std::string& name);

    /// @brief Ends the thread, steps down if this replica leads, and fails pending proposals with
    ///        `errc::stopping`.
    void stop();
    /// @}

    /// @name events
    /// @{

    /// @brief Queues a command. The callback runs on the driver's thread, or at once if the command is
    ///        rejected.
    /// @param term the only term in which the command is appended to the log: in any other it fails with
    ///        `errc::not_leader`
    void propose(std::string command, proposal_callback done, term_number term = any_term);

    /// @brief Queues a command and waits until it is applied.
    /// @return `errc::lost_leadership` if the limit passes first: the command may still be committed
    [[nodiscard]] proposal_result propose_and_wait(std::string command, duration limit);

    /// @brief Queues a message from another replica.
    /// @param received the message
    /// @param from_address address of the sender; empty: known from the membership only
    void receive(message received, const std::string& from_address = {});

    /// @brief Queues a request to add a member as a learner.
    /// @return false if this replica is not the leader
    [[nodiscard]] bool join(const member& joining);
    /// @}

    /// @name access
    /// @{
    [[nodiscard]] replica_status status() const;
    [[nodiscard]] bool holds_lease(time_point now) const;
    /// @}

  private:
    struct queued_proposal
    {
        std::string command;
        proposal_callback done;
        term_number term = any_term;
    };
    /// @brief Parts of one round of the driver's thread.
    enum class round_phase : std::uint8_t
    {
        receive, // messages and proposals
        persist,
        send,
        apply,
        save, // of a snapshot
        count,
    };
    struct pending_proposal
    {
        term_number term = 0;
        proposal_callback done;
    };

    [[nodiscard]] std::error_code enqueue(std::string& command, proposal_callback& done, term_number term);
    void run();
    void drain_events(std::vector<message>& messages, std::vector<queued_proposal>& proposals);
    void
    process_events(time_point now, std::vector<message>& messages, std::vector<queued_proposal>& proposals);
    void reject_of_other_terms(std::vector<queued_proposal>& proposals) const;
    [[nodiscard]] bool process_output(time_point now);
    void record_phase(round_phase phase);
    void log_slow_round(std::size_t messages, std::size_t proposals);
    void queue_output(node_output& output);
    void apply_queued(time_point until);
    [[nodiscard]] bool install_queued_snapshot(time_point until);
    [[nodiscard]] bool apply_entry(const log_entry& entry, time_point until);
    [[nodiscard]] bool is_all_applied() const noexcept;
    [[nodiscard]] std::size_t unapplied_bytes() const noexcept;
    [[nodiscard]] bool accepts_proposals() const noexcept;
    void take_proposals(std::vector<queued_proposal>& proposals);
    void complete_proposal(const log_entry& entry, std::string answer);
    void fail_all_proposals(std::error_code error);
    void fail_lost_proposals();
    void fail_proposals_after(log_index last_kept);
    [[nodiscard]] std::error_code save_snapshot_if_due(time_point until);
    void manage_membership(time_point now);
    void publish();
    [[nodiscard]] std::error_code persist(time_point now, const node_output& output);
    static void log_persisted_snapshot(const node_output& output, time_point started_at);
    void publish_step_down(time_point now, step_down_reason reason);
    void publish_disk_failure(time_point now, std::error_code failed);
    void log_restored(time_point now, const restored_state& restored) const;
    void log_candidacy();
    [[nodiscard]] std::string address_of(const member_id& id) const;

    driver_options options_;
    storage& storage_;
    state_machine& machine_;
    transport& transport_;
    std::unique_ptr<node> node_;
    hard_state synced_hard_;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<message> inbox_;
    std::deque<queued_proposal> queued_proposals_;
    std::size_t queued_bytes_ = 0;
    join_requests join_requests_;
    std::map<member_id, std::string> sender_addresses_; // for a joining member, which has no membership yet
    replica_status status_;
    std::atomic<bool> stopping_{false};

    std::map<log_index, pending_proposal> pending_proposals_;
    // Received from the leader or committed, but not applied yet; the snapshot comes before the entries.
    std::optional<snapshot> snapshot_to_install_;
    std::deque<log_entry> apply_queue_;
    std::size_t apply_queue_bytes_ = 0;
    log_index applied_index_ = 0;
    snapshot_schedule snapshots_;
    std::uint64_t commit_rounds_ = 0;
    std::uint64_t candidacies_logged_ = 0;
    std::array<duration, static_cast<std::size_t>(round_phase::count)> phase_times_{}; // of this round
    time_point phase_ended_at_{}; // when the last phase ended
    std::thread thread_;
};

} // namespace plumspoke::replica
