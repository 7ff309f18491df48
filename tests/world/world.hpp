#pragma once

// Deterministic simulation, in virtual time, of replicas with simulated disks, workers, entries with
// endpoints, and operators around the production decision code. It uses no threads and no real clock; the
// same seed and faults give the same run.

#include "plumspoke/control/claim_expiry.hpp"
#include "plumspoke/control/policy.hpp"
#include "plumspoke/control/slot_allocator.hpp"
#include "plumspoke/entry/request_flow.hpp"
#include "plumspoke/entry/route_table.hpp"
#include "plumspoke/replica/driver.hpp"
#include "plumspoke/worker/lease_manager.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>

namespace plumspoke::world
{

enum class fault : std::uint8_t
{
    none,
    message_lost,
    message_late,
    message_doubled,
    message_reordered,
    killed_before_sync,
    killed_after_sync,
    disk_lost,
    receiver_killed,
    receiver_frozen,
    link_cut_both_ways,
    link_cut_one_way,
    clock_fast,
    clock_slow,
    clock_jump,
};
inline constexpr std::size_t fault_count = 15;
[[nodiscard]] std::string_view to_string(fault kind) noexcept;

/// A fault to inject at one step. A step is the sending of a message, or a sync.
struct planned_fault
{
    fault kind = fault::none;
    std::uint64_t step = 0;
};

/// The local clock of a process, which may run fast or slow, and jump.
struct local_clock
{
    double rate = 1;
    std::int64_t offset_us = 0;
    std::int64_t since_us = 0; // true time at which `rate` was set
    std::int64_t base_us = 0;  // reading of the clock at that time, without the offset

    [[nodiscard]] time_point at(std::int64_t true_us) const noexcept;
    void set_rate(std::int64_t true_us, double new_rate) noexcept;
    void jump(std::int64_t true_us, std::int64_t by_us) noexcept;
};

class world;

/// A simulated process that can be killed, frozen, partitioned or given a faulty clock.
class process
{
  public:
    process(world& owner, std::string name);
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    virtual ~process() = default;

    virtual void tick() = 0;
    virtual void kill() = 0; // loses all state that is not on disk
    virtual void restart() = 0;

    [[nodiscard]] const std::string& name() const noexcept
    {
        return name_;
    }
    [[nodiscard]] bool running() const noexcept;
    [[nodiscard]] time_point now() const noexcept;

    bool up = true;
    std::int64_t frozen_until_us = 0;
    std::uint64_t life = 1; // grows with each kill; messages to an earlier life are dropped
    local_clock clock;

  protected:
    world& world_;

  private:
    std::string name_;
};

/// The actual events of the simulation, against which the claims of the processes are checked.
struct ground_truth
{
    std::map<std::string, std::uint64_t> newest_progress;    // by job: highest token that made progress
    std::map<std::string, int> endpoint_runs;                // by request: number of runs at endpoints
    std::map<std::string, int> keyed_runs;                   // by idempotency key: number of runs
    std::map<std::string, entry::outcome> reported_outcomes; // by request: outcome that its caller got
    std::map<std::string, int> endpoint_busy;                // by worker: requests in progress
    std::uint64_t accepted_version = 0;                      // highest version acknowledged to an operator
    std::set<std::string> accepted_jobs;
    std::vector<std::string> violations;
    std::uint64_t checks = 0;

    void check(bool holds, const std::string& what);
};

struct call;
class control_vm;
class worker;
class entry_vm;

/// Receives the answer to an operator's command, or an error if the outcome is unknown.
using command_callback = std::function<void(std::error_code, const control::command_answer&)>;

struct world_options
{
    std::uint64_t seed = 1;
    std::size_t control_vms = 3;
    std::size_t workers = 3;
    std::size_t entries = 2;
    std::size_t snapshot_interval = 40;
    planned_fault first;
    planned_fault second;     // its step is counted from the first fault
    double random_faults = 0; // probability of a fault at each step, for random runs
};

class world
{
  public:
    explicit world(world_options options);
    world(const world&) = delete;
    world& operator=(const world&) = delete;
    ~world();

    // ---- time
    [[nodiscard]] std::int64_t true_us() const noexcept
    {
        return true_us_;
    }
    void at(std::int64_t true_us, std::function<void()> action);
    void after(duration delay, std::function<void()> action);
    void run_for(duration span);
    /// Runs until the condition holds. Returns false if it did not hold within the span.
    [[nodiscard]] bool run_until(duration span, const std::function<bool()>& holds);

    // ---- network and faults
    /// Sends a message. This is a step at which a fault may be injected.
    void send(process& from, process& to, std::function<void()> deliver);
    /// Counts a sync as a step. Returns false if the process was killed before the sync.
    [[nodiscard]] bool sync_survived(control_vm& vm);
    /// Returns true if the process was killed right after the sync.
    [[nodiscard]] bool killed_after_sync(control_vm& vm);
    void cut(const std::string& from, const std::string& to, duration span);
    [[nodiscard]] std::uint64_t steps() const noexcept
    {
        return steps_;
    }
    /// Enables fault injection and resets the step counter.
    void arm() noexcept;
    void disarm() noexcept
    {
        armed_ = false;
    }
    /// Whether all replicas are up, are voters and have all committed entries.
    [[nodiscard]] bool replicas_healthy();
    /// Ends fault injection, partitions, freezes and clock drift.
    void heal();

    // ---- processes
    [[nodiscard]] control_vm* acting_leader();
    [[nodiscard]] std::vector<std::unique_ptr<control_vm>>& control_vms() noexcept
    {
        return control_vms_;
    }
    [[nodiscard]] std::vector<std::unique_ptr<worker>>& workers() noexcept
    {
        return workers_;
    }
    [[nodiscard]] std::vector<std::unique_ptr<entry_vm>>& entries() noexcept
    {
        return entries_;
    }
    [[nodiscard]] process& operator_process() noexcept
    {
        return *operator_;
    }
    [[nodiscard]] control_vm* find_member(const replica::member_id& id);
    [[nodiscard]] worker* find_worker(const std::string& name);

    /// Sends a command to each control VM in turn until one answers, as an operator does.
    /// The command is retried, so it must be idempotent.
    void submit(const control::command& value, command_callback done);

    [[nodiscard]] std::uint64_t random() noexcept
    {
        return random_();
    }
    [[nodiscard]] bool chance(double probability) noexcept;
    [[nodiscard]] const world_options& options() const noexcept
    {
        return options_;
    }

    ground_truth facts;

  private:
    struct event
    {
        std::int64_t at_us = 0;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const event& other) const noexcept
        {
            return at_us != other.at_us ? at_us > other.at_us : order > other.order;
        }
    };
    struct retry_state;

    [[nodiscard]] fault fault_at_step();
    void inject(fault kind, process& victim, process& other);
    void kill_for(process& victim, duration span, bool lose_disk);
    void tick_all();
    void try_submit(const std::shared_ptr<retry_state>& state);

    world_options options_;
    std::mt19937_64 random_;
    std::int64_t true_us_ = 3'600'000'000;
    std::uint64_t order_ = 0;
    std::priority_queue<event> events_;
    bool armed_ = false;
    fault after_sync_ = fault::none;
    std::uint64_t steps_ = 0;
    std::uint64_t steps_since_first_ = 0;
    bool first_injected_ = false;
    bool second_injected_ = false;
    std::map<std::pair<std::string, std::string>, std::int64_t> cuts_; // end of each partition, in true time
    std::unique_ptr<process> operator_;
    std::vector<std::unique_ptr<control_vm>> control_vms_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::vector<std::unique_ptr<entry_vm>> entries_;
};

/// A control VM, with the order of operations of the driver and the server but without threads.
class control_vm final : public process
{
  public:
    control_vm(world& owner, const std::string& name, const replica::membership& first_members);

    void tick() override;
    void kill() override;
    void restart() override;
    void lose_disk();

    void receive(const replica::message& received);
    void join(const replica::member& joining);
    [[nodiscard]] bool may_act() const;
    void propose(const control::command& value, command_callback done);

    /// Answers a report. Returns false if this VM is not a leader that may act.
    [[nodiscard]] bool receive(const plumspoke::worker::report& received, plumspoke::worker::orders& reply);
    [[nodiscard]] bool receive(const control::entry_report& received, control::entry_orders& reply);

    [[nodiscard]] const control::control_state& state() const noexcept
    {
        return state_;
    }
    [[nodiscard]] const replica::node& consensus() const noexcept
    {
        return *node_;
    }
    [[nodiscard]] const control::slot_allocator& slot_allocator() const noexcept
    {
        return slot_allocator_;
    }
    [[nodiscard]] const replica::member_id& id() const noexcept
    {
        return id_;
    }

  private:
    struct waiting
    {
        replica::term_number term = 0;
        command_callback done;
    };

    void flush();
    void apply(const std::vector<replica::log_entry>& committed);
    void act_as_leader();
    void fail_waiting();
    void take_snapshot();
    void start_node();

    replica::member_id id_;
    replica::restored_state disk_; // synced state
    std::unique_ptr<replica::node> node_;
    control::control_state state_;
    replica::log_index applied_ = 0;
    plumspoke::worker::lease_manager lease_manager_;
    control::claim_expiry claim_expiry_;
    control::policy policy_;
    control::slot_allocator slot_allocator_;
    replica::term_number leading_term_ = 0;
    time_point acting_until_{};
    std::map<replica::log_index, waiting> waiting_;
    std::vector<replica::member> joining_;
    std::uint64_t identities_ = 1;
    time_point next_join_{};
    time_point next_schedule_{};
};

/// A worker that follows the contract in docs/WORKERS.md.
class worker final : public process
{
  public:
    worker(world& owner, std::string name);

    void tick() override;
    void kill() override;
    void restart() override;

    /// Duration of each task, in true time.
    duration task_time = milliseconds(800);
    /// Time until a request is answered.
    duration answer_time = milliseconds(20);

    /// Runs a request. `abandoned` is true once its connection is closed.
    void serve(const call& requested,
               const std::shared_ptr<bool>& abandoned,
               const std::shared_ptr<bool>& delivered,
               std::function<void(int)> answer,
               std::function<void()> reset);
    bool tasks_fail = false;

  private:
    std::vector<std::function<void()>> connections_; // reset handlers of the open connections
    struct running_task
    {
        plumspoke::worker::task_report report;
        std::int64_t left_us = 0;
    };

    void advance(std::int64_t elapsed_us);
    void report();
    void apply_orders(const plumspoke::worker::orders& orders, time_point sent_at);

    std::map<std::uint64_t, running_task> tasks_;
    std::map<std::string, std::uint64_t> newest_token_;
    std::uint64_t sequence_ = 0;
    std::size_t target_ = 0;
    time_point lease_end_{};
    time_point next_report_{};
    std::int64_t last_true_us_ = 0;
};

/// A request that a flow sends to an entry.
struct call
{
    std::string id;
    std::string service;
    std::string key;
    bool safe = true;
    duration deadline = milliseconds(1500);
};

/// An entry with the production route table, slots, admission and request flow.
class entry_vm final : public process
{
  public:
    entry_vm(world& owner, std::string name);

    void tick() override;
    void kill() override;
    void restart() override;

    /// Begins a planned stop: rejects new requests, and returns the slots when all requests have ended.
    void stop();
    [[nodiscard]] bool stopped() const noexcept
    {
        return stopped_;
    }

    /// Handles a caller's request. The outcome is recorded in `facts.reported_outcomes`, unless the entry is
    /// killed first.
    void request(const call& requested, std::function<void(entry::outcome)> done);

    [[nodiscard]] bool serving() const
    {
        return running() && now() < lease_end_;
    }
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return version_;
    }

  private:
    struct live_call;

    void report();
    void claim_first(const std::shared_ptr<live_call>& live);
    void attempt(const std::shared_ptr<live_call>& live);
    void time_out(const std::shared_ptr<live_call>& live,
                  const entry::endpoint_pointer& target,
                  const std::shared_ptr<bool>& abandoned,
                  const std::shared_ptr<bool>& ended);
    void end_attempt(const std::shared_ptr<live_call>& live,
                     const entry::endpoint_pointer& target,
                     const entry::attempt_result& end);
    void answer(const std::shared_ptr<live_call>& live, entry::outcome reported_outcome);
    void record_claim(const std::shared_ptr<live_call>& live, entry::outcome reported_outcome);

    std::vector<std::shared_ptr<bool>> connections_; // set to true when the connection is abandoned
    std::unique_ptr<entry::route_table> table_;
    std::uint64_t version_ = 0;
    std::uint64_t sequence_ = 0;
    std::size_t target_ = 0;
    time_point lease_end_{};
    time_point next_report_{};
    std::int64_t in_flight_ = 0;
    bool stopping_ = false;
    bool stopped_ = false;
};

} // namespace plumspoke::world
