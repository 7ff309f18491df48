#pragma once

/// @file
/// @brief Simulates workers and the leader that sends them orders, in virtual time. Faults include orders
///        that are executed late, lost answers, worker crashes, slow clocks and leader changes. The
///        dispatcher and the store are the production code.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "plumspoke/jobs/store.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plumspoke::test
{

/// @brief Fault probabilities and rates, and the time at which fault injection ends.
struct task_faults
{
    double late_orders = 0;   // share executed 2 to 12 s later, without an answer
    double lost_answers = 0;  // share executed, without an answer
    double crashes_per_s = 0; // per worker; half of the addresses answer as another process
    double cuts_per_s = 0;    // per worker: network partitions of some seconds; the worker keeps running
    double drains_per_s = 0;  // per worker
    // Share of draining workers behind a cut in one direction: their goodbye arrives, its response doesn't,
    // and they run on for seconds.
    double unanswered_goodbyes = 0;
    double leader_changes_per_s = 0;
    double cancels = 0;          // share of jobs
    double failures = 0.03;      // share of runs
    double flapping = 0;         // share of workers that crash and restart repeatedly
    double same_id = 0;          // share of restarts that keep the id, possibly with another size or address
    milliseconds crash_least{5}; // from the start of a task that crashes its worker to the crash
    milliseconds crash_most{60};
    milliseconds down_least{2000}; // downtime of a worker that restarts
    milliseconds down_most{4000};
    duration until = seconds(20); // no fault is injected after this, from the start
    // A slow leader: the delay added to each record, order and answer, and the least time between decisions.
    milliseconds min_delay{0};
    milliseconds max_delay{0};
    milliseconds decision_interval{0};
    bool reports_unstarted_stops = false; // workers report an end for a stop that arrived before its start

    /// @brief Whether no fault delays or loses orders and answers, or removes a worker or the leader.
    [[nodiscard]] bool is_calm() const noexcept
    {
        return late_orders + lost_answers + crashes_per_s + cuts_per_s + drains_per_s +
                   leader_changes_per_s ==
               0;
    }
};

/// @brief Counts of a simulation run, and a message for each violated invariant.
struct task_outcome
{
    std::vector<std::string> broken;
    std::size_t jobs = 0;
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::size_t cancelled = 0;
    std::size_t open = 0; // not ended, though without a lasting step
    std::uint64_t starts = 0;
    std::uint64_t ends_done = 0;
    std::uint64_t leaders = 1;
    std::uint64_t workers_crashed = 0;   // crashes after which the worker restarts
    std::size_t sound_failed = 0;        // jobs without a task that crashes its workers
    std::uint32_t most_under_a_task = 0; // highest number of workers crashed by one task
    std::size_t waits_checked = 0;       // ready tasks looked at by the check for held ones, over all ticks
};

/// @brief A simulation run; the same seed gives the same run.
class task_world
{
  public:
    task_world(std::uint64_t seed, task_faults faults);

    /// @brief Submits a job at a time measured from the start.
    void submit(duration at, jobs::job_spec spec, const std::string& id, std::uint32_t max_failures = 4);
    void cancel(duration at, const std::string& id);

    /// @brief Starts or withdraws the evacuation of a zone. Workers are spread over zone-1, zone-2 and
    /// zone-3.
    void evacuate(duration at, const std::string& zone, bool evacuated = true);

    /// @brief Makes each worker that starts this task crash within `crash_most` (60 ms by default), with all
    /// its runs.
    void make_crashing(const jobs::task_name& task);

    /// @brief Crashes a share of the workers at once, independently of their tasks.
    void crash_share(duration at, double share);

    /// @brief Sets the duration of each run of this task.
    void make_slow(const jobs::task_name& task, duration took);

    /// @brief Checks, from some time after the last fault, that no ready task waits for more than 3 s while
    /// less than half of the workers' processors is in use.
    void report_held_tasks();

    /// @brief Runs until `end`, measured from the start, and returns the outcome.
    task_outcome run(duration end, std::size_t workers = 6);

    /// @brief Submits random jobs, spread over a time span.
    void submit_random(std::size_t count, duration over);

    [[nodiscard]] const jobs::store& state() const noexcept
    {
        return store_;
    }
    [[nodiscard]] const dispatch::dispatcher& leader() const noexcept
    {
        return leader_;
    }

  private:
    struct running_task
    {
        time_point ends_at{};
        bool fails = false;
        bool lasting = false;
        time_point started_at{};
    };
    struct worker
    {
        fleet::announcement info;
        std::uint64_t lives = 1;               // processes so far under this id
        std::set<std::int64_t> start_times_ms; // start times of all its lives
        double rate = 1;                       // speed of its clock
        std::int64_t offset_ms = 0;
        std::uint64_t token = 0;
        std::int64_t lease_until_ms = 0;
        std::map<jobs::run_name, running_task> running;
        std::map<jobs::task_name, std::uint32_t> ended; // the highest attempt stopped or ended
        std::vector<dispatch::finished_row> finished;
        std::map<std::uint64_t, time_point> ended_at; // by number
        time_point lapsed_at{};                       // when its lease was last found expired
        std::uint64_t next_number = 1;
        bool alive = true;
        bool cut = false;
        bool replaced = false;            // another process answers at its address
        std::uint64_t address_reused = 0; // not 0 after a crash: another process answers at its address
        std::function<void()> answer_poll;
    };

    /// @brief Counts for a task that crashes its workers.
    struct crashing_task
    {
        std::uint32_t crashed = 0;            // workers
        std::uint32_t starts_after_third = 0; // starts after the third crash
    };

    void at(time_point when, std::function<void()> what);
    void after(duration delay, std::function<void()> what);
    /// @brief Draws the delay added to a record, an order or an answer by a slow leader.
    [[nodiscard]] duration draw_delay();
    void run_decision();
    void stop(worker& on, const jobs::run_name& name);
    void list_end(worker& on, const jobs::run_name& name, jobs::run_end how, const std::string& saved);
    void send(const dispatch::order& what);
    /// @brief An order in transit.
    struct sending
    {
        dispatch::order what;
        std::uint64_t epoch = 0;
        time_point sent_at{};
        std::uint64_t to_life = 0; // life of the recipient at the time of sending
        bool late = false;         // executed seconds later
        bool answers = true;
    };
    void arrive(const sending& one);
    /// @brief Whether the connection to a worker belongs to its current life; if not, it is reopened.
    [[nodiscard]] bool is_connected(const std::string& id, std::uint64_t life, bool poll);
    void answer_unreached(const dispatch::order& what, std::uint64_t epoch, time_point sent_at);
    void answer_later(worker& on, const dispatch::poll_order& what, std::uint64_t epoch, time_point sent_at);
    dispatch::worker_answer list_runs(const std::string& id, dispatch::worker_answer answer);
    void reply(const dispatch::order& what,
               std::uint64_t epoch,
               time_point sent_at,
               const dispatch::worker_answer& got);
    void handle_answer(const dispatch::order& what,
                       std::uint64_t epoch,
                       time_point sent_at,
                       const dispatch::worker_answer& got);
    dispatch::worker_answer carry_out(worker& on, const dispatch::order& what);
    dispatch::worker_answer start(worker& on, const dispatch::start_order& what);
    void end_run(worker& on, const jobs::run_name& name, jobs::run_end how);
    void lapse(worker& on);
    void commit(const dispatch::planned_round& planned);
    void announce(const std::string& id, std::uint64_t life);
    /// @param address the worker's address; empty for a new one
    std::string add_worker(const std::string& address = {});
    void change_leader();
    void draw_faults();
    void crash(const std::string& id);
    void drain(const std::string& id);
    /// @brief Ends a draining worker and replaces it.
    void leave(const std::string& id);
    void say_goodbye(const std::string& id);
    /// @brief Ends the other members of the gang of a lost run.
    void break_gang(const jobs::run_name& lost);
    void restart_worker(const std::string& id);
    /// @brief Starts another process under the same id, with empty state and counters at their initial
    /// values.
    void restart_with_same_id(const std::string& id);
    [[nodiscard]] std::int64_t draw_start_time_ms(const worker& of);
    void flap(const std::string& id);
    void record_crashing_start(const worker& on, const jobs::run_name& name);
    [[nodiscard]] bool has_crashing_task(const jobs::job_id& job) const;
    void check_start(const worker& on, const jobs::run_name& name);
    void check_evacuation(const worker& on, const jobs::run_name& name);
    void check_waiting();
    void check_cancelled(const worker& on);
    void check_held();
    void check_held(const jobs::task_name& name, const jobs::step_spec& spec);
    [[nodiscard]] bool is_mostly_free() const;
    void report_violation(std::string what);
    [[nodiscard]] std::int64_t worker_clock_ms(const worker& of) const;
    [[nodiscard]] std::int64_t day_ms() const;
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] std::int64_t between(std::int64_t low, std::int64_t high);
    [[nodiscard]] bool faults_active() const
    {
        return now_ < start_ + faults_.until;
    }

    std::mt19937_64 random_;
    task_faults faults_;
    time_point start_{seconds(1000)};
    time_point now_ = start_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<std::string, worker> workers_;
    std::map<std::pair<std::string, bool>, std::uint64_t> connected_to_; // worker, for polls: life
    jobs::store store_;
    dispatch::dispatcher leader_{dispatch::dispatch_options{}};
    std::uint64_t term_ = 1;
    std::uint64_t epoch_ = 1; // of the leader; answers from an earlier epoch are dropped
    bool leading_ = true;
    time_point next_decision_at_{};
    time_point committed_at_{}; // commit time of the last record
    int next_worker_ = 1;
    std::set<jobs::task_name> recorded_done_;
    std::map<jobs::job_id, time_point> first_started_at_; // by job: first start of one of its tasks
    std::set<jobs::run_name> reported_overdue_;           // violations reported already
    std::map<jobs::task_name, crashing_task> crashing_;
    std::set<std::string> flapping_;                    // workers
    std::map<std::string, time_point> evacuated_since_; // by zone
    bool executing_late_order_ = false;
    std::map<jobs::task_name, duration> slow_;
    bool reports_held_tasks_ = false;
    std::map<jobs::task_name, time_point> held_since_; // ready tasks that run on no worker
    time_point calm_since_ = start_; // end of the last late order, partition or leader change
    task_outcome outcome_;
};

} // namespace plumspoke::test
