#pragma once

/// @file
/// @brief A group of control VMs that lose disks, power and leaders, in virtual time.
///
/// Node, membership changes, join requests, snapshot schedule and snapshot queues are the product's own; the
/// loop that joins them follows the driver's.

#include "plumspoke/replica/join_requests.hpp"
#include "plumspoke/replica/membership_change.hpp"
#include "plumspoke/replica/node.hpp"
#include "plumspoke/replica/snapshot_queue.hpp"
#include "plumspoke/replica/snapshot_schedule.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace plumspoke::test
{

/// @brief Times and sizes of a group.
struct simulation_load
{
    std::size_t vms = 5;
    double entries_per_s = 300;
    std::size_t snapshot_interval = 2000; // entries
    duration link_delay = milliseconds(2);
    duration max_jitter = milliseconds(4);         // of a message, on top of the delay
    duration sync_time = milliseconds(6);          // of a disk
    duration save_time = milliseconds(40);         // of a snapshot; the replica does nothing else meanwhile
    duration install_time = milliseconds(60);      // of a snapshot, likewise
    duration transfer_time = milliseconds(400);    // of a snapshot to one member, alone on the sender's link
    duration connect_timeout = milliseconds(2000); // of a snapshot's connection to a VM that is down
};

/// @brief What a world saw.
struct simulation_result
{
    std::vector<std::string> broken;   // a broken promise is a sentence
    std::vector<duration> vote_delays; // from a new disk's first request to its vote
    std::size_t disks_lost = 0;
    std::size_t votes_regained = 0;
    std::size_t snapshots_sent = 0; // calls that were begun
    std::size_t committed = 0;
};

/// @brief Control VMs, the links between them, and what happens to them.
class replica_simulation
{
  public:
    replica_simulation(std::uint64_t seed, const simulation_load& load);
    replica_simulation(const replica_simulation&) = delete;
    replica_simulation& operator=(const replica_simulation&) = delete;
    ~replica_simulation();

    /// @name faults, at a time since the beginning
    /// @{
    void lose_disk(duration at, std::size_t vm, duration down_for);
    void lose_power(duration at, std::size_t vm, duration down_for);

    /// @brief Kills the leader of that moment.
    void kill_leader(duration at, duration down_for);

    /// @brief Messages from or to this VM take so much longer for a while.
    void add_delay(duration at, std::size_t vm, duration extra_delay, duration length);
    /// @}

    [[nodiscard]] simulation_result run(duration until);

  private:
    struct vm;
    struct snapshot_channel;

    void schedule(time_point at, std::function<void()> action);
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
    std::map<replica::member_id, time_point> join_requested_at_; // disks, since their first request
    simulation_result outcome_;
};

} // namespace plumspoke::test
