#pragma once

/// @file
/// @brief Simulates a leader with a large fleet under steady load, in virtual time that advances by the
///        processor time of the leader. It measures the cost of leading, and the delays on a slow processor.
///
/// No faults are injected unless a test asks for them. The dispatcher, the store and the decision rate
/// limiter are the production code.

#include "plumspoke/dispatch/decision_rate_limiter.hpp"
#include "plumspoke/dispatch/dispatcher.hpp"
#include "plumspoke/jobs/store.hpp"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace plumspoke::test
{

/// @brief Size of the fleet, its load and the costs of the leader.
struct busy_load
{
    std::size_t workers = 490;
    // Jobs per second and worker, close to those of a fleet of 490: about two starts per second and worker.
    double short_jobs_per_s = 0.022;     // 1 or 2 steps of about 10 tasks of 1 s that need 2.8 processors
    double filler_jobs_per_s = 0.04;     // 2 steps of about 20 filler tasks of 2.2 s
    double lasting_jobs_at_once = 0.3;   // per worker at the start: steps of about 14 serving tasks
    std::uint32_t most_short_tasks = 18; // per step
    std::uint32_t least_filler_tasks = 4;
    std::uint32_t most_filler_tasks = 36;
    jobs::resources least_short{1200, 3000, 0};
    jobs::resources most_short{4400, 8000, 0};
    std::uint32_t filler_images = 18;
    std::uint32_t serving_images = 10;
    double lasting_jobs_per_s =
        0; // per worker, in addition to those at the start; they wait while the fleet is full
    double spread_lasting_share = 0; // share of lasting steps that place each task on a different worker
    double filler_interference = 0;  // growth of a serving task's tail latency on a worker full of fillers
    // Processors of the leader's VM; 0: the leader's processor time does not advance the clock.
    double processor = 0;
    // Processor time to send an order or to read an answer: HTTP, JSON, system calls.
    duration call_cost{0};
    // In addition, for the first poll of a worker in a term: the connection and the check of its incarnation.
    duration connect_cost{0};
    // Whether the leader loses its term unless heartbeats renew its lease in time. They and their
    // acknowledgements wait for the leader's processor like all other calls.
    bool needs_heartbeats = false;
    // Processor time of a decision and of each task that it starts; 0: as measured, so that runs differ.
    duration decision_cost{0};
    duration start_cost{0};
    double short_objective_factor = 2; // multiple of the critical path
    std::uint32_t short_objective_extra_ms = 250;
    duration decision_time{0}; // time that the loop is blocked for, in addition to its processor time
    duration order_delay = milliseconds(1);
    duration answer_delay = milliseconds(1);
    duration commit_delay = milliseconds(15); // two syncs and a round trip
    settings::policy_switches policy;
    std::uint64_t seed = 1;

    /// @brief Fewer jobs with wider steps, whose tasks are large compared with a worker. Many tasks wait, as
    ///        lasting tasks fill nine tenths of the fleet. 1.5 starts per second and worker.
    [[nodiscard]] static busy_load of_wide_steps(std::size_t workers);
};

/// @brief Counts and costs of a run.
struct busy_outcome
{
    std::uint64_t starts = 0;
    std::uint64_t done = 0;
    std::uint64_t lapsed = 0; // runs whose lease expired on the worker
    std::uint64_t lasting_lapsed = 0;
    std::uint64_t refused = 0; // jobs that the leader rejected because of overload
    std::uint64_t decisions = 0;
    std::uint64_t polls = 0;
    duration shortest_lease = duration::max(); // time left of the leader's lease
    std::uint64_t lost_terms = 0;              // for want of acknowledged heartbeats
    double busy_s = 0;                         // processor seconds of the leader in all, including calls
    double decide_s = 0;                       // processor seconds in decisions
    double answers_s = 0;                      // processor seconds in processing answers and announcements
    double record_s = 0;                       // processor seconds in applying records
    duration longest_wait{0};                  // longest time that an answer was queued at the leader

    /// @brief The leader's processor time per start, in microseconds.
    [[nodiscard]] double us_per_start() const noexcept;

    /// @brief A quantile of the processor time of the decisions, in seconds.
    [[nodiscard]] double decision_quantile_s(double share) const;

    std::vector<double> decisions_s; // processor seconds of each decision
};

/// @brief How jobs of short tasks met their objective, which is a multiple of the critical path plus a
///        constant.
struct short_job_counts
{
    int in_time = 0;
    int late = 0; // within three times the objective
    int missed = 0;
    int begun = 0;                        // jobs with a task that was granted a worker
    std::vector<std::int64_t> margins_ms; // objective minus time taken, of the jobs that ended

    /// @brief The share of the jobs' full value that is earned; a late job counts 0.15.
    [[nodiscard]] double worth() const noexcept;
};

/// @brief A simulation run of the fleet.
class busy_fleet
{
  public:
    explicit busy_fleet(busy_load load);

    /// @brief Runs the simulation for a span of virtual time.
    busy_outcome run(duration span);

    /// @brief Leaves the fleet without a leader for `pause`: orders and answers in transit are lost, leases
    ///        expire, and then another term begins.
    void lose_leader(duration at, duration pause);

    /// @brief Ends workers without notice, together with their runs: the first `share` of them.
    void lose_workers(duration at, double share);

    /// @brief Calls back once, at a time measured from the start of the run.
    void observe(duration at, std::function<void()> look);

    /// @brief Counts the outcomes of the short-task jobs that were submitted within a span of the run.
    [[nodiscard]] short_job_counts count_short_jobs(duration from, duration to) const;

    /// @brief Calls back with each event that the leader logs, and its time since the start of the run.
    void listen(std::function<void(duration, const logging::event&)> reader);

    /// @brief Number of short tasks that are ready and have no run.
    [[nodiscard]] std::size_t short_tasks_waiting() const;

    /// @brief Number of filler tasks that are ready and have no run.
    [[nodiscard]] std::size_t filler_tasks_waiting() const;

    /// @brief Number of lasting tasks that have no run.
    [[nodiscard]] std::size_t lasting_tasks_waiting() const;

    /// @brief Number of lasting tasks at work on a worker.
    [[nodiscard]] std::size_t lasting_tasks_running() const;

    [[nodiscard]] const dispatch::dispatcher& leader() const noexcept
    {
        return leader_;
    }
    [[nodiscard]] const jobs::store& state() const noexcept
    {
        return store_;
    }

  private:
    struct running_task
    {
        time_point ends_at{};
        std::uint64_t serial = 0;
        bool lasting = false;
        bool serving = false;
        std::int64_t filler_milli = 0;
        time_point started_at{};
    };
    struct worker
    {
        fleet::announcement info;
        std::int64_t lease_until_ms = 0;
        std::map<jobs::run_name, running_task> running;
        std::vector<dispatch::finished_row> finished;
        std::uint64_t next_number = 1;
        std::optional<dispatch::sent_order> open_poll;
        std::uint64_t poll_serial = 0;
        std::uint64_t connected_in = 0; // the term in which the leader last connected
        bool lost = false;
    };
    struct event
    {
        time_point at{};
        std::uint64_t serial = 0;
        std::function<void()> what;

        bool operator<(const event& other) const noexcept
        {
            return std::tie(other.at, other.serial) < std::tie(at, serial);
        }
    };

    void run_events(duration span);
    [[nodiscard]] std::size_t count_waiting(dispatch::work_kind kind) const;
    void begin_term();
    void end_term();
    void resume_after(duration pause);
    void send_heartbeat();
    void receive_acknowledgement(std::uint64_t term, time_point sent_at);
    /// @brief Calls back after so many waits for the leader's processor.
    void pass_processor(int hops, std::function<void()> then);
    void check_lease();
    [[nodiscard]] std::size_t count_connections(const std::vector<dispatch::order>& orders);
    void at(time_point when, std::function<void()> what);
    void after(duration delay, std::function<void()> what);
    void schedule_leader();
    void decide();
    void charge(const std::vector<dispatch::order>& orders);
    void send(const std::vector<dispatch::order>& orders);
    void arrive(const dispatch::sent_order& what);
    void answer_poll(worker& on);
    void reply(const dispatch::sent_order& what, dispatch::worker_answer got);
    void start(worker& on, const dispatch::start_order& what);
    void end_run(worker& on, const jobs::run_name& name, jobs::run_end how);
    void lapse(worker& on);
    void announce(worker& of);
    void tick();
    void submit_due_jobs();
    void submit(jobs::job_spec spec,
                std::uint32_t priority,
                std::uint32_t objective_ms,
                double objective_factor = 2);
    void offer(jobs::job_spec spec,
               std::uint32_t priority,
               std::uint32_t objective_ms,
               double objective_factor = 2);
    [[nodiscard]] jobs::job_spec short_job();
    [[nodiscard]] jobs::job_spec filler_job();
    [[nodiscard]] jobs::job_spec lasting_job();
    [[nodiscard]] dispatch::worker_answer list_runs(worker& of);
    [[nodiscard]] std::int64_t tail_latency_on(const worker& of) const;
    void spend(double processor_s);
    [[nodiscard]] double cost_of(const dispatch::dispatch_output& decided, double measured_s) const;
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] std::uint32_t between(std::uint32_t low, std::uint32_t high);

    busy_load load_;
    std::mt19937_64 random_;
    time_point start_{seconds(1000)};
    time_point now_ = start_;
    time_point leader_free_at_ = start_;
    time_point lease_end_ = start_; // only with load_.needs_heartbeats
    std::priority_queue<event> events_;
    std::uint64_t next_serial_ = 1;
    std::map<std::string, worker> workers_;
    jobs::store store_;
    dispatch::dispatcher leader_;
    dispatch::decision_rate_limiter rate_limiter_;
    std::deque<std::pair<time_point, std::function<void()>>> inbox_; // with the arrival time
    bool decision_due_ = true;
    bool lead_scheduled_ = false;
    bool leaderless_ = false;
    std::uint64_t term_ = 0;
    std::uint64_t next_job_ = 1;
    /// @brief A job of short tasks that the leader accepted.
    struct short_job_record
    {
        std::int64_t accepted_at_ms = 0;
        std::map<std::uint32_t, std::int64_t> longest_ms; // longest task, by step
    };
    std::map<jobs::job_id, short_job_record> short_jobs_;
    double short_due_ = 0;
    double filler_due_ = 0;
    double lasting_due_ = 0;
    busy_outcome outcome_;
    std::function<void(duration, const logging::event&)> reader_;
};

} // namespace plumspoke::test
