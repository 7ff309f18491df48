#pragma once

/// @file
/// @brief Simulates in virtual time a group of control VMs that lose disks, power and leaders, and are
///        suspended or cut off.
///
/// Uses the production code of nodes, membership changes, join requests, snapshot schedules and snapshot
/// queues. The loop that connects them imitates the driver.

#include "plumspoke/replica/join_requests.hpp"
#include "plumspoke/replica/membership_change.hpp"
#include "plumspoke/replica/node.hpp"
#include "plumspoke/replica/snapshot_queue.hpp"
#include "plumspoke/replica/snapshot_schedule.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plumspoke::test
{

/// @brief Load, latencies and sizes of a simulated group.
struct simulation_load
{
    std::size_t vms = 5;
    double entries_per_s = 300;
    std::size_t snapshot_interval = 2000; // entries
    duration link_delay = milliseconds(2);
    duration max_jitter = milliseconds(4);         // per message, in addition to the delay
    duration sync_time = milliseconds(6);          // per sync of a disk
    duration save_time = milliseconds(40);         // per snapshot; blocks the replica
    duration install_time = milliseconds(60);      // per snapshot; blocks the replica
    duration transfer_time = milliseconds(400);    // per snapshot, on an otherwise idle link of the sender
    duration round_time{};                         // per round of a replica on a busy processor
    duration max_reconnect_delay{};                // to a VM that has returned, unless it asks to join
    duration connect_timeout = milliseconds(2000); // of a connection for a snapshot to a VM that is down
    bool clock_stops_while_suspended = false;      // like CLOCK_MONOTONIC; time_point's clock runs on
};

/// @brief Outcome of a simulation.
struct simulation_result
{
    std::vector<std::string> violations; // descriptions of violated invariants
    std::vector<duration> vote_delays;   // from a new disk's first join request until it is a voter
    std::size_t disks_lost = 0;
    std::size_t votes_regained = 0;
    std::size_t snapshots_sent = 0; // calls started
    std::size_t committed = 0;
    std::size_t stale_reads = 0; // moments at which a VM would have answered a read from an old state
    std::size_t suspensions = 0; // of VMs that were up
    std::size_t leaderships = 0; // terms in which a leader served reads
    std::vector<duration> times_since_lease; // from the end of earlier leases, as known, to each such term
};

/// @brief A group of control VMs, the links between them, and scheduled faults.
class replica_simulation
{
  public:
    replica_simulation(std::uint64_t seed, const simulation_load& load);
    replica_simulation(const replica_simulation&) = delete;
    replica_simulation& operator=(const replica_simulation&) = delete;
    ~replica_simulation();

    /// @name faults, at a time since the start
    /// @{
    void lose_disk(duration at, std::size_t vm, duration down_for);
    void lose_power(duration at, std::size_t vm, duration down_for);

    /// @brief Kills the VM that is the leader at that time.
    void kill_leader(duration at, duration down_for);

    /// @brief Suspends the VM; its process does nothing meanwhile, and messages to it wait.
    void suspend(duration at, std::size_t vm, duration length);

    /// @brief Suspends the VM that is the leader at that time.
    void suspend_leader(duration at, duration length);

    /// @brief Drops messages from and to this VM for some time.
    void cut_off(duration at, std::size_t vm, duration length);

    /// @brief Loses a disk, unless another lost one isn't a voter again.
    void lose_disk_if_all_vote(duration at, std::size_t vm, duration down_for);

    /// @brief Delays messages from and to this VM for some time.
    /// @param extra_delay added to each message
    /// @param length how long the fault lasts
    void add_delay(duration at, std::size_t vm, duration extra_delay, duration length);
    /// @}

    [[nodiscard]] simulation_result run(duration until);

  private:
    struct vm;
    struct snapshot_channel;

    void schedule(time_point at, std::function<void()> action);
    void suspend(vm& of, duration length);
    void resume(vm& of);
    void stop(vm& of, bool disk_is_lost, duration down_for);
    void start(vm& of);
    void step(vm& of);
    void request_join(vm& of);
    void change_membership(vm& of);
    void flush(vm& of);
    void persist(vm& of, const replica::node_output& output);
    void save_snapshot_if_due(vm& of);
    void send(vm& from, const replica::message& sent, duration delay);
    void send_snapshot(vm& from, vm& to, const replica::message& sent);
    void begin_transfer(vm& from, vm& to);
    void check_committed(vm& of, const std::vector<replica::log_entry>& committed);
    void check_reads();
    void check_earlier_leases(const vm& serving);
    [[nodiscard]] time_point local_time(const vm& of) const;
    void record_regained_votes();
    [[nodiscard]] vm* leader();
    [[nodiscard]] vm* find(const std::string& address);
    [[nodiscard]] duration random(duration most);

    simulation_load load_;
    std::mt19937_64 random_;
    time_point start_time_;
    time_point now_;
    std::uint64_t next_event_number_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> events_;
    std::vector<std::unique_ptr<vm>> vms_;
    std::map<replica::log_index, replica::term_number> committed_;
    replica::log_index acknowledged_ = 0; // highest index that a leader has applied
    replica::term_number last_serving_term_ = 0;
    replica::term_number last_served_term_ = 0; // term and time at which a leader last held a lease
    time_point last_served_at_{};
    std::map<replica::term_number, time_point> earlier_lease_ends_; // as told by the leader of each term
    std::map<replica::member_id, time_point> join_requested_at_; // first request, until the disk is a voter
    std::set<replica::member_id> disks_with_vote_; // that have requested to join and became voters
    simulation_result result_;
};

} // namespace plumspoke::test
