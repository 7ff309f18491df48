#pragma once

/// @file
/// @brief The shell around a node: one thread that syncs, sends and applies, in this order.
///
/// The thread renews the leader's lease, so it waits for the state for a tick at most: what can't be applied
/// by then stays queued, and is applied after the messages that have come meanwhile.

#include "plumspoke/replica/join_requests.hpp"
#include "plumspoke/replica/membership_change.hpp"
#include "plumspoke/replica/node.hpp"
#include "plumspoke/replica/snapshot_schedule.hpp"
#include "plumspoke/replica/storage.hpp"

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

/// @brief What is replicated: applied in the same order on every replica, with no clock and no chance.
class state_machine
{
  public:
    virtual ~state_machine() = default;

    /// @return the answer for whoever proposed the command
    virtual std::string apply(log_index index, std::string_view command) = 0;
    [[nodiscard]] virtual std::string save() const = 0;
    virtual void restore(std::string_view saved) = 0;

    /// @name with a limit, for the driver's thread
    /// @brief The same where others may hold the state for long. By default it is taken as never held.
    /// @param limit how long to wait for the state; with 0, not at all
    /// @return nothing or false where the state was held all the time; nothing is changed then
    /// @{
    virtual std::optional<std::string>
    try_apply(log_index index, std::string_view command, duration /*limit*/)
    {
        return apply(index, command);
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

/// @brief Carries messages to other replicas; may lose, delay, double or reorder them.
class transport
{
  public:
    virtual ~transport() = default;
    virtual void send(const std::string& address, const message& sent) = 0;
};

/// @brief How a proposed command ended.
struct proposal_result
{
    std::error_code error;
    std::string answer;
};

using proposal_callback = std::function<void(proposal_result)>;

/// @brief What other threads may know of the replica, as of the last round.
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
    std::vector<log_index> match; // in the order of members; leaders only
    bool membership_pending = false;
    time_point lease_end{};
    time_point leader_since{};
    bool term_committed = false;
    std::uint64_t sync_count = 0;
    std::uint64_t commit_rounds = 0;
    std::uint64_t cpu_time_us = 0; // processor time of the replica's thread
    std::error_code failure;
    leadership_record last_leadership; // the last term that this replica led and leads no more

    [[nodiscard]] bool is_leader() const noexcept
    {
        return current_role == role::leader;
    }

    /// @brief Whether this replica may act as the leader at `now` without asking anyone.
    [[nodiscard]] bool holds_lease(time_point now) const noexcept
    {
        return is_leader() && term_committed && now < lease_end;
    }
};

/// @brief Sizes of the driver.
struct driver_options
{
    node_options node;
    std::size_t snapshot_interval = 2000;       // the most entries between snapshots
    std::size_t max_queued_proposals = 20000;   // proposals that wait; more are refused
    std::size_t max_proposals_per_round = 1024; // proposals appended in one round
};

/// @brief A replica's own number of entries between snapshots: from half of the set one up to all of it.
/// @note Replicas apply the same entries, and their threads neither send nor hear while they save. With one
///       interval all would save at the same entry, and the leader would be silent together with its quorum.
[[nodiscard]] std::size_t jittered_snapshot_interval(std::string_view id, std::size_t set) noexcept;

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

    /// @brief Reads the disk and starts the thread.
    /// @param name this VM's name; a folder without an identity gets a new one with it
    /// @return an error of the disk; nothing runs then
    [[nodiscard]] std::error_code start(const std::string& name);

    /// @brief Steps down where it leads, answers what waits with `stopping`, ends the thread.
    void stop();
    /// @}

    /// @name events
    /// @{

    /// @brief Queues a command; the callback comes from the driver's thread.
    void propose(std::string command, proposal_callback done);

    /// @brief Queues a command and waits for its end.
    [[nodiscard]] proposal_result propose_and_wait(std::string command, duration limit);

    /// @param from_address where its sender is reached; empty: only by the membership
    void receive(message received, const std::string& from_address = {});

    /// @brief Takes a joining member in as a learner.
    /// @return false where this is not the leader, or the name is held by a member that answers
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
    };
    struct pending_proposal
    {
        term_number term = 0;
        proposal_callback done;
    };

    [[nodiscard]] std::error_code enqueue(std::string& command, proposal_callback& done);
    void run();
    void take_events(std::vector<message>& messages, std::vector<queued_proposal>& proposals);
    void
    process_events(time_point now, std::vector<message>& messages, std::vector<queued_proposal>& proposals);
    [[nodiscard]] bool process_output(time_point now);
    void queue_output(node_output& output);
    void apply_queued(time_point until);
    [[nodiscard]] bool install_queued(time_point until);
    [[nodiscard]] bool apply_one(const log_entry& entry, time_point until);
    [[nodiscard]] bool is_apply_queue_empty() const noexcept;
    void complete_proposal(const log_entry& entry, std::string answer);
    void fail_all_proposals(std::error_code error);
    void fail_lost_proposals();
    void fail_proposals_after(log_index last_kept);
    [[nodiscard]] std::error_code take_snapshot_if_due(time_point until);
    void manage_membership(time_point now);
    void publish();
    [[nodiscard]] std::error_code persist(time_point now, const node_output& output);
    static void log_persisted_snapshot(const node_output& output, time_point started_at);
    void publish_step_down(time_point now, step_down_reason reason);
    void publish_disk_failure(time_point now, std::error_code failed);
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
    join_requests join_requests_;
    std::map<member_id, std::string> sender_addresses_; // of senders, for a member that has no membership yet
    replica_status status_;
    std::atomic<bool> stopping_{false};

    std::map<log_index, pending_proposal> pending_proposals_;
    // Committed or taken from the leader, but not in the state yet: first the snapshot, then the entries.
    std::optional<snapshot> snapshot_to_install_;
    std::deque<log_entry> apply_queue_;
    log_index applied_index_ = 0;
    snapshot_schedule snapshots_;
    std::uint64_t commit_rounds_ = 0;
    std::uint64_t candidacies_logged_ = 0;
    std::thread thread_;
};

} // namespace plumspoke::replica
