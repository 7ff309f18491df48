#pragma once

/// @file
/// @brief Simulates workers and the leader that sends them orders, in virtual time. Faults include orders
///        that are executed late, lost answers, worker crashes, slow clocks and leader changes. The
///        dispatcher and the store are the production code.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "plumspoke/jobs/store.hpp"

#include <array>
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
    double reachable_leavers = 0; // share of these that still receive orders and answer them
    double one_way_cuts = 0;      // share of cuts in one direction only, either direction
    // Share of late orders that the next life under the same id carries out.
    double inherited_orders = 0;
    double leader_changes_per_s = 0;
    milliseconds longest_leader_change{1500};
    bool earlier_leases_known = false; // a new leader knows when the one before had lost its lease
    double short_terms = 0;            // share of terms that last for less than 3 s
    double cancels = 0;                // share of jobs
    double failures = 0.03;            // share of runs
    double flapping = 0;               // share of workers that crash and restart repeatedly
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

/// @brief Kinds of waits that the check for held jobs tells apart; a task may be of several kinds.
enum class wait_kind : std::uint8_t
{
    short_task,
    gang,
    single_rack,
    filler,
    lasting,
    serving,
    labelled,   // needs a label that few workers have
    limited,    // at most so many of its step on one worker
    data_bound, // slower off the rack of its data
};
inline constexpr std::size_t wait_kind_count = 9;

[[nodiscard]] std::string_view to_string(wait_kind kind) noexcept;

/// @brief Kinds of disruption that a series of them draws from.
enum class disruption : std::uint8_t
{
    brief_life, // crash of some workers, whose next life under the same id soon ends for good
    leader_change,
    clock_step,    // of the leader's time of day, and back after some seconds
    loss_of_power, // of all workers and the leader at once
    crash,         // of some workers, which restart as other lives
    cut,           // of some workers, in one or both directions
    drain,         // of some workers
    late_orders,   // a share of the orders is carried out late, without an answer
    lost_answers,
    shrinking, // of some workers' room, and back after some seconds
};

/// @brief Series of disruptions that overlap, with calm between them.
struct disruption_series
{
    std::vector<disruption> kinds; // each series draws from them
    duration first = seconds(8);
    duration interval = seconds(18); // from one series to the next
    duration length = seconds(3);
    int most = 5; // disruptions of a series
    duration until = seconds(75);
};

/// @brief Which runs the check for held jobs counts as running.
enum class running_means : std::uint8_t
{
    listed,         // by a live worker
    makes_progress, // the same, except runs at pace 0
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
    // Ready tasks that wait where the check for held jobs demands a start, over all ticks, by kind.
    std::array<std::size_t, wait_kind_count> waits_armed{};
    std::size_t harm_armed = 0; // serving tasks with a disturbing filler at work beside them, over all ticks

    [[nodiscard]] std::size_t armed(wait_kind kind) const noexcept
    {
        return waits_armed.at(static_cast<std::size_t>(kind));
    }
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

    /// @brief Gives the workers several sizes, labels and racks. To be called before `run`.
    void mix_workers();

    /// @brief Submits random jobs of all kinds of work: serving tasks with fillers beside them, other lasting
    ///        tasks, gangs, short tasks, some with labels, limits for each worker or data racks.
    void submit_all_kinds(std::size_t count, duration over);

    /// @brief Adds series of disruptions.
    void disrupt(const disruption_series& series);

    /// @brief Checks at any calm time that no job stands still beside free room: nothing of it runs for 3 s
    ///        while one of its tasks is ready, room for that exists twice over and under half of the workers'
    ///        processors is in use; the same for each lasting task from 6 s after its last run. Checks as
    ///        well that no serving task is over its target for 4 s because of the fillers at work beside it.
    void report_held_jobs(running_means means = running_means::listed) noexcept;

    /// @brief The same check, also while tasks crash their workers, for jobs without such a task. Other
    /// faults
    ///        count as disruptions.
    void report_held_jobs_beside_crashes() noexcept;

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
        duration length{};     // of its work at full pace
        double worked_s = 0;   // until `paced_at`
        time_point paced_at{}; // when its pace last changed
        std::uint32_t pace = 100;
        std::uint32_t gang_size = 0; // 0: no gang
        bool serving = false;
        double target_ms = 0;
        std::string image;
        // Tails within the current half second, and the mean of the one before, as reported.
        double tail_sum = 0;
        int tail_count = 0;
        double reported_tail_ms = 0;
        time_point harmed_since{};
    };
    /// @brief A serving job's own load: the tail latency of its tasks, as a share of the target.
    struct own_load
    {
        double mean = 0.4;
        double swing = 0;
        double period_s = 17;
        double phase = 0;
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
        time_point resized_at{}; // when its room last shrank
        bool alive = true;
        bool cut = false;
        bool deaf = false;                // receives no orders
        bool mute = false;                // its answers and announcements don't arrive
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

    // ---- serving tasks and fillers (task_world_serving.cpp)
    [[nodiscard]] static double worked_s(const running_task& task, time_point now);
    [[nodiscard]] static std::int64_t progress_percent(const running_task& task, time_point now);
    void schedule_end(const worker& on, const jobs::run_name& name, const running_task& task);
    void set_pace(worker& on, const jobs::run_name& name, std::uint32_t percent);
    [[nodiscard]] double own_tail_ms(const jobs::job_id& job, double target_ms) const;
    [[nodiscard]] double filler_effect_ms(const worker& on, const running_task& serving) const;
    void measure_tails();
    void check_harm(worker& on, const jobs::run_name& name, running_task& serving, double own, double effect);

    // ---- all kinds of work (task_world_kinds.cpp)
    void vary(worker& added);
    [[nodiscard]] jobs::job_spec draw_serving();
    [[nodiscard]] jobs::job_spec draw_fillers();
    [[nodiscard]] jobs::job_spec draw_gang();
    [[nodiscard]] jobs::job_spec draw_lasting();
    [[nodiscard]] jobs::job_spec draw_short();
    /// @brief Ends members of gangs that aren't complete some time after their start.
    void end_lone_members();
    void draw_constraints(jobs::step_spec& step);
    void check_constraints(const worker& on, const jobs::run_name& name, const jobs::step_spec& spec);

    // ---- series of disruptions (task_world_series.cpp)
    void begin_series(const disruption_series& series);
    void disrupt(disruption kind);
    void disturb_until(time_point when) noexcept;
    void step_clock();
    void lose_power();
    void shrink(const std::string& id);
    void live_briefly(const std::string& id);
    [[nodiscard]] std::vector<std::string> draw_workers(double share);

    // ---- the check for held jobs (held_job_check.cpp)
    void check_held_jobs();
    struct pool_use
    {
        std::int64_t used = 0;
        std::int64_t whole = 0;
    };
    [[nodiscard]] bool is_usable(const worker& of) const;
    [[nodiscard]] pool_use reserved_processors() const;
    [[nodiscard]] std::int64_t
    count_places(const worker& of, const jobs::task_name& name, const jobs::step_spec& spec) const;
    [[nodiscard]] bool has_room_twice(const jobs::task_name& name, const jobs::step_spec& spec) const;
    void note_running();
    void check_held_job(const jobs::job& job);
    void check_held_task(const jobs::job& job, const jobs::task_name& name, const jobs::step_spec& spec);
    void count_armed(const jobs::step_spec& spec);
    [[nodiscard]] std::string describe_room(const worker& of) const;
    [[nodiscard]] std::string describe_held(const jobs::task_name& name, const jobs::step_spec& spec) const;

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
        bool outlives = false; // also carried out by the recipient's next life under the same id
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
    void lose_term_soon();
    void change_leader(duration away);
    void draw_faults();
    void crash(const std::string& id, bool disturbs = true);
    /// @brief Cuts off a worker for some seconds.
    void cut(const std::string& id);
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
    std::uint64_t last_term_ = 0;        // the latest one in which a leader has led
    time_point unrenewed_recorded_at_{}; // of the latest record of workers that a leader hasn't renewed
    std::uint64_t epoch_ = 1;            // of the leader; answers from an earlier epoch are dropped
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

    // Kinds of work and of disruption that draw from an engine of their own, so that the seeds of simulations
    // without them keep their meaning.
    std::mt19937_64 extra_random_;
    [[nodiscard]] bool extra_chance(double share);
    [[nodiscard]] std::int64_t extra_between(std::int64_t low, std::int64_t high);
    [[nodiscard]] double extra_real(double low, double high);
    struct drawn_traits
    {
        bool serves_everywhere = false; // a serving task on each worker
        bool heavy_lasting = false;     // lasting tasks that need up to 10 processors
        double label_share = 0.35;      // of the workers
    };
    drawn_traits traits_;
    bool mixes_workers_ = false;
    bool has_series_ = false;
    bool reports_held_jobs_ = false;
    bool crashing_tasks_disturb_ = true;
    running_means running_means_ = running_means::listed;
    std::map<jobs::job_id, own_load> own_loads_;
    std::map<jobs::image_pair, double> effects_; // share of the target that a filler at full pace adds
    std::int64_t leader_day_step_ms_ = 0;
    time_point late_until_{}; // orders of a series are late or lose their answers until then
    time_point lost_until_{};
    time_point disturbed_until_ = start_;           // until when a disruption may have an effect
    std::map<jobs::job_id, time_point> job_ran_at_; // when a task of the job last ran
    std::map<jobs::task_name, time_point> task_ran_at_;
    std::map<jobs::task_name, time_point> held_job_since_; // ready tasks that are owed a start
    std::set<jobs::task_name> reported_held_;
    task_outcome outcome_;
};

} // namespace plumspoke::test
