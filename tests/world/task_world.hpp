#pragma once

/// @file
/// @brief Workers that take orders, and a leader that gives them, in virtual time: orders that are
///        carried out late, answers that are lost, lives that end, clocks that run slow, leaders that
///        change. The dispatcher and the store are the product's own.

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

/// @brief How often what goes wrong, and until when.
struct task_faults
{
    double late_orders = 0;   // carried out 2 to 12 s later, no answer
    double lost_answers = 0;  // carried out, no answer
    double crashes_per_s = 0; // of workers; half of them come back as another life
    double cuts_per_s = 0;    // of workers, for some seconds; they run on
    double drains_per_s = 0;  // of workers
    double leader_changes_per_s = 0;
    double cancels = 0;          // share of jobs
    double failures = 0.03;      // share of runs
    double flapping = 0;         // share of workers that crash and come back, again and again
    double same_id = 0;          // share of the returns that keep the id: as another kind, or elsewhere, too
    milliseconds crash_least{5}; // from the start of a task that crashes its worker
    milliseconds crash_most{60};
    milliseconds down_least{2000}; // of a worker that comes back at its address as another life
    milliseconds down_most{4000};
    duration until = seconds(20); // no fault after this
    // A leader that is late: each record, order and answer takes so much longer, and decisions are so rare.
    milliseconds min_delay{0};
    milliseconds max_delay{0};
    milliseconds decision_interval{0};
    bool reports_unstarted_stops = false; // workers list a stop that came before its start as an end

    /// @brief Whether orders and answers arrive, and whoever takes part stays.
    [[nodiscard]] bool is_calm() const noexcept
    {
        return late_orders + lost_answers + crashes_per_s + cuts_per_s + drains_per_s +
                   leader_changes_per_s ==
               0;
    }
};

/// @brief What a world saw: a broken promise is a sentence.
struct task_outcome
{
    std::vector<std::string> broken;
    std::size_t jobs = 0;
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::size_t cancelled = 0;
    std::size_t open = 0; // that ought to have ended
    std::uint64_t starts = 0;
    std::uint64_t ends_done = 0;
    std::uint64_t leaders = 1;
    std::uint64_t workers_crashed = 0;   // that came back at their address
    std::size_t sound_failed = 0;        // jobs without a task that crashes its workers
    std::uint32_t most_under_a_task = 0; // workers crashed under one task that crashes them
};

/// @brief One run of the world; the same seed gives the same run.
class task_world
{
  public:
    task_world(std::uint64_t seed, task_faults faults);

    /// @brief Hands a job in at a time from the start.
    void submit(duration at, jobs::job_spec spec, const std::string& id, std::uint32_t max_failures = 4);
    void cancel(duration at, const std::string& id);

    /// @brief Each worker that starts this task crashes within 60 ms, with all that runs there.
    void make_crashing(const jobs::task_name& task);

    /// @brief A share of the workers crash at once, by themselves.
    void crash_share(duration at, double share);

    /// @brief Each run of this task takes so long.
    void make_slow(const jobs::task_name& task, duration took);

    /// @brief Runs until `end`, and says what it saw.
    task_outcome run(duration end, std::size_t workers = 6);

    /// @brief Random jobs over a span.
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
        std::uint64_t lives = 1;      // under this id
        std::set<std::int64_t> borns; // of all its lives
        double rate = 1;              // of its clock
        std::int64_t offset_ms = 0;
        std::uint64_t token = 0;
        std::int64_t lease_until_ms = 0;
        std::map<jobs::run_name, running_task> running;
        std::map<jobs::task_name, std::uint32_t> ended; // the highest attempt stopped or ended
        std::vector<dispatch::finished_row> finished;
        std::map<std::uint64_t, time_point> ended_at; // by number
        time_point lapsed_at{};                       // when its lease was last seen to be over
        std::uint64_t next_number = 1;
        bool alive = true;
        bool cut = false;
        bool replaced = false;          // another life answers at its address
        std::uint64_t waiting_poll = 0; // serial of a poll that waits for an end
        std::function<void()> answer_poll;
    };

    /// @brief What a task that crashes its workers has done so far.
    struct crashing_task
    {
        std::uint32_t crashed = 0;            // workers
        std::uint32_t starts_after_third = 0; // of these crashes
    };

    void at(time_point when, std::function<void()> what);
    void after(duration delay, std::function<void()> what);
    /// @brief What a record, an order or an answer takes longer where the leader is late.
    [[nodiscard]] duration draw_delay();
    void pump();
    void stop(worker& on, const jobs::run_name& name);
    void list_end(worker& on, const jobs::run_name& name, jobs::run_end how, const std::string& saved);
    void send(const dispatch::order& what);
    /// @brief An order on its way.
    struct sending
    {
        dispatch::order what;
        std::uint64_t epoch = 0;
        time_point sent_at{};
        std::uint64_t to_life = 0; // the one that lived then
        bool late = false;         // carried out seconds later
        bool answers = true;
    };
    void arrive(const sending& one);
    /// @brief Whether the connection to a worker still ends at the life that lives now; else it is made anew.
    [[nodiscard]] bool is_connected(const std::string& id, std::uint64_t life, bool poll);
    void answer_unreached(const dispatch::order& what, std::uint64_t epoch, time_point sent_at);
    void answer_later(worker& on, const dispatch::poll_order& what, std::uint64_t epoch, time_point sent_at);
    dispatch::worker_answer list_runs(const std::string& id, dispatch::worker_answer answer);
    void reply(const dispatch::order& what,
               std::uint64_t epoch,
               time_point sent_at,
               const dispatch::worker_answer& got);
    void hear(const dispatch::order& what,
              std::uint64_t epoch,
              time_point sent_at,
              const dispatch::worker_answer& got);
    dispatch::worker_answer carry_out(worker& on, const dispatch::order& what);
    dispatch::worker_answer start(worker& on, const dispatch::start_order& what);
    void end_run(worker& on, const jobs::run_name& name, jobs::run_end how);
    void lapse(worker& on);
    void commit(const dispatch::planned_round& planned);
    void announce(const std::string& id, std::uint64_t life);
    /// @param address where it is reached; empty: at one of its own
    std::string add_worker(const std::string& address = {});
    void change_leader();
    void roll_faults();
    void crash(const std::string& id);
    /// @brief The other members of its gang end, since this one is lost.
    void break_gang(const jobs::run_name& lost);
    void come_back(const std::string& id);
    /// @brief Another life under the same id: it holds and knows nothing of before, and counts anew.
    void start_again(const std::string& id);
    [[nodiscard]] std::int64_t new_born(const worker& of);
    void flap(const std::string& id);
    void note_crashing_start(const worker& on, const jobs::run_name& name);
    [[nodiscard]] bool has_crashing_task(const jobs::job_id& job) const;
    void check_start(const worker& on, const jobs::run_name& name);
    void check_waiting();
    void check_cancelled(const worker& on);
    void broken(std::string what);
    [[nodiscard]] std::int64_t clock_of(const worker& of) const;
    [[nodiscard]] std::int64_t day_ms() const;
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] std::int64_t between(std::int64_t low, std::int64_t high);
    [[nodiscard]] bool faulty() const
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
    std::uint64_t epoch_ = 1; // of the leader; what belongs to an earlier one is not heard
    bool leading_ = true;
    time_point next_decision_at_{};
    time_point committed_at_{}; // when the last record is committed, or was
    int next_worker_ = 1;
    std::set<jobs::task_name> done_noted_;
    std::map<jobs::job_id, time_point> begun_at_; // by job: when a worker first began a task of it
    std::set<jobs::run_name> overdue_;            // said already
    std::map<jobs::task_name, crashing_task> crashing_;
    std::set<std::string> flapping_; // workers
    std::map<jobs::task_name, duration> slow_;
    time_point calm_since_ = start_; // no order is late, no worker cut and no leader lost from then on
    task_outcome outcome_;
};

} // namespace plumspoke::test
