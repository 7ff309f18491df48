#pragma once

/// @file
/// @brief A leader with a large fleet and steady work, in virtual time that the leader's own processor
///        time moves on: what it costs to lead, and what comes late when the processor is small.
///
/// Nothing goes wrong here by itself. The dispatcher and the store are the product's own, and so is the
/// rule for how often the leader decides.

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

/// @brief The fleet and its work. Rates are for the whole fleet.
struct busy_load
{
    std::size_t workers = 490;
    // Jobs a second for each worker, near those of a fleet of 490: about two starts a second and worker.
    double short_jobs_per_s = 0.022;     // 1 or 2 steps of about 10 tasks of 1 s that need 2.8 processors
    double filler_jobs_per_s = 0.04;     // 2 steps of about 20 tasks of 2.2 s that fill what others leave
    double lasting_jobs_at_once = 0.3;   // steps of about 14 tasks that serve users of their own
    std::uint32_t most_short_tasks = 18; // of a step
    std::uint32_t least_filler_tasks = 4;
    std::uint32_t most_filler_tasks = 36;
    jobs::resources least_short{1200, 3000, 0};
    jobs::resources most_short{4400, 8000, 0};
    std::uint32_t filler_images = 18;
    std::uint32_t serving_images = 10;
    double lasting_jobs_per_s =
        0; // for each worker, beside those at the start: where the fleet is full they wait
    double spread_lasting_share = 0; // of lasting steps: each task on another worker
    double harm_of_fillers = 0;      // by how much a serving task's tail grows with a worker full of fillers
    // Processors of the leader's VM; 0: free, the leader's own time does not move the clock.
    double processor = 0;
    // Processor time of sending an order or of reading an answer: HTTP, JSON, system calls.
    duration call_cost{0};
    // Processor time of a decision and of each task that it starts; 0: what they take here, so runs differ.
    duration decision_cost{0};
    duration start_cost{0};
    double short_objective_factor = 2; // times the longest chain of work
    std::uint32_t short_objective_extra_ms = 250;
    duration decision_time{0}; // that the loop is busy for, beside its processor time
    duration order_delay = milliseconds(1);
    duration answer_delay = milliseconds(1);
    duration commit_delay = milliseconds(15); // two syncs and a round
    std::uint64_t seed = 1;

    /// @brief Fewer jobs of wider steps, of tasks that are large against a worker: much that waits, on a
    /// fleet
    ///        that lasting tasks fill to nine tenths. 1.5 starts a second and worker.
    [[nodiscard]] static busy_load of_wide_steps(std::size_t workers);
};

/// @brief What a run of the fleet came to.
struct busy_outcome
{
    std::uint64_t starts = 0;
    std::uint64_t done = 0;
    std::uint64_t lapsed = 0; // runs whose lease ran out on the worker
    std::uint64_t lasting_lapsed = 0;
    std::uint64_t refused = 0; // jobs that the leader did not take, since it is behind
    std::uint64_t decisions = 0;
    std::uint64_t polls = 0;
    double decide_s = 0;      // processor seconds in decisions
    double answers_s = 0;     // in taking answers and announcements
    double record_s = 0;      // in applying records
    duration longest_wait{0}; // of an answer, until the leader took it

    /// @brief The leader's processor time for each start.
    [[nodiscard]] double us_per_start() const noexcept;

    /// @brief The processor time that this share of the decisions didn't exceed.
    [[nodiscard]] double decision_quantile_s(double share) const;

    std::vector<double> decisions_s; // each one's processor seconds
};

/// @brief How jobs of short tasks ended against their objective: a factor times the longest chain of work,
/// and a
///        constant.
struct short_job_counts
{
    int in_time = 0;
    int late = 0; // within three objectives
    int missed = 0;
    std::vector<std::int64_t> margins_ms; // objective less time taken, of those that ended

    /// @brief The share of their worth that callers get: a late job earns 0.15 of it.
    [[nodiscard]] double worth() const noexcept;
};

/// @brief One run of the fleet.
class busy_fleet
{
  public:
    explicit busy_fleet(busy_load load);

    /// @brief Lets the fleet work for a span of virtual time.
    busy_outcome run(duration span);

    /// @brief Nobody leads for a while: orders and answers under way are lost, leases lapse, and another term
    /// begins.
    void lose_leader(duration at, duration pause);

    /// @brief Calls back once, at a time of the run.
    void observe(duration at, std::function<void()> look);

    /// @brief How jobs of short tasks that were handed in within a span of the run have ended.
    [[nodiscard]] short_job_counts count_short_jobs(duration from, duration to) const;

    /// @brief Calls back with each line that the leader logs, and the time of the run.
    void listen(std::function<void(duration, const logging::event&)> reader);

    /// @brief Short tasks whose turn has come and that have no run.
    [[nodiscard]] std::size_t short_tasks_waiting() const;

    /// @brief Lasting tasks that have no run.
    [[nodiscard]] std::size_t lasting_tasks_waiting() const;

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

    void go_on(duration span);
    [[nodiscard]] std::size_t count_waiting(bool lasting) const;
    void begin_term();
    void at(time_point when, std::function<void()> what);
    void after(duration delay, std::function<void()> what);
    void lead();
    void decide();
    void send(const dispatch::order& what);
    void arrive(const dispatch::sent_order& what);
    void answer_poll(worker& on);
    void reply(const dispatch::sent_order& what, dispatch::worker_answer got);
    void start(worker& on, const dispatch::start_order& what);
    void end_run(worker& on, const jobs::run_name& name, jobs::run_end how);
    void lapse(worker& on);
    void announce(worker& of);
    void tick();
    void make_work();
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
    [[nodiscard]] std::int64_t tail_on(const worker& of) const;
    void spend(double processor_s);
    [[nodiscard]] double cost_of(const dispatch::dispatch_output& decided, double measured_s) const;
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] std::uint32_t between(std::uint32_t low, std::uint32_t high);

    busy_load load_;
    std::mt19937_64 random_;
    time_point start_{seconds(1000)};
    time_point now_ = start_;
    time_point leader_free_at_ = start_;
    std::priority_queue<event> events_;
    std::uint64_t next_serial_ = 1;
    std::map<std::string, worker> workers_;
    jobs::store store_;
    dispatch::dispatcher leader_{dispatch::dispatch_options{}};
    dispatch::decision_rate_limiter pace_;
    std::deque<std::pair<time_point, std::function<void()>>> inbox_; // with the time of arrival
    bool wanted_ = true;                                             // a decision
    bool lead_scheduled_ = false;
    bool leaderless_ = false;
    std::uint64_t term_ = 0;
    std::uint64_t next_job_ = 1;
    /// @brief A job of short tasks that the leader took.
    struct short_job_notes
    {
        std::int64_t accepted_at_ms = 0;
        std::map<std::uint32_t, std::int64_t> longest_ms; // task of each step
    };
    std::map<jobs::job_id, short_job_notes> short_jobs_;
    double short_due_ = 0;
    double filler_due_ = 0;
    double lasting_due_ = 0;
    busy_outcome outcome_;
    std::function<void(duration, const logging::event&)> reader_;
};

} // namespace plumspoke::test
