#pragma once

/// @file
/// @brief The leader's decisions on tasks: where they run, when they are stopped, when a run is surely
///        over. No I/O, no clock, no lock.
///
/// Rules that keep a task from running twice:
/// - A run is recorded before its start order is sent.
/// - All orders carry the leader's term as fencing token. Once a worker has answered this leader, orders
///   of earlier leaders have no effect there.
/// - A run is over when its worker lists its end, when the worker's life is over, when the worker has
///   acknowledged a stop and doesn't list the run any more, or when the latest lease that anyone gave the
///   worker has surely lapsed on the worker's own clock. Silence alone is never an end.
/// - All that is known of a worker is known of one life of it; another life may have the same id. A life is
///   over once another one, whatever its time of birth, has answered what was sent after it was last heard.

#include "plumspoke/dispatch/counts.hpp"
#include "plumspoke/dispatch/held_tasks.hpp"
#include "plumspoke/dispatch/interference.hpp"
#include "plumspoke/dispatch/options.hpp"
#include "plumspoke/dispatch/placement_counts.hpp"
#include "plumspoke/dispatch/recent_crashes.hpp"
#include "plumspoke/dispatch/retry_pauses.hpp"
#include "plumspoke/dispatch/short_task_room.hpp"
#include "plumspoke/dispatch/stage_delays.hpp"
#include "plumspoke/dispatch/strain.hpp"
#include "plumspoke/dispatch/task_times.hpp"
#include "plumspoke/dispatch/worker_index.hpp"
#include "plumspoke/dispatch/worker_view.hpp"
#include "plumspoke/jobs/store.hpp"
#include "plumspoke/logging/event.hpp"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace plumspoke::dispatch
{

/// @brief A command for the log, with what it is to change here once it is committed.
struct planned_round
{
    std::uint64_t id = 0;
    jobs::round command;
};

/// @brief What the shell has to do.
struct dispatch_output
{
    std::vector<order> orders;
    std::vector<planned_round> rounds;
    std::vector<logging::event> events;
    std::vector<std::int64_t> cancels_stopped_ms; // of each cancel whose last run is over: how long it took
};

/// @brief One leader's view, for the length of its term.
class dispatcher
{
  public:
    /// @name construction
    /// @{
    explicit dispatcher(dispatch_options options);

    /// @brief Begins a term: forgets all, and takes over what the state records of runs and of images.
    void lead(time_point now, std::uint64_t term, const jobs::store& state);

    /// @brief Forgets all; nothing is decided until the next term.
    void retire();
    /// @}

    /// @name events
    /// @{
    void announced(time_point now, const fleet::announcement& heard);

    /// @return false where the worker is not known here: it has to be announced whole
    bool still_alive(time_point now, const fleet::worker_life& worker);

    void said_goodbye(time_point now, const fleet::worker_life& worker);
    void answered(time_point now, const sent_order& sent, const worker_answer& got);

    /// @param accepted which starts were recorded; nothing where the round was not committed
    void round_ended(time_point now, std::uint64_t id, const std::optional<std::vector<bool>>& accepted);

    /// @brief Takes note of how late the next decision comes, for how much it may take on.
    void note_late(time_point now, duration late) noexcept
    {
        strain_.note(now, late);
    }

    /// @brief Takes in how long the last decision took. After one that considered fillers some don't.
    void on_decided(duration took) noexcept;

    /// @brief Decides what to do next.
    /// @param now our steady clock
    /// @param day_ms the agreed time of day, for due times
    [[nodiscard]] dispatch_output decide(time_point now, std::int64_t day_ms, const jobs::store& state);
    /// @}

    /// @name access
    /// @{
    [[nodiscard]] bool leading() const noexcept
    {
        return term_ != 0;
    }
    [[nodiscard]] std::uint64_t term() const noexcept
    {
        return term_;
    }
    [[nodiscard]] const std::map<fleet::worker_life, worker_view>& workers() const noexcept
    {
        return workers_;
    }
    [[nodiscard]] const std::map<jobs::run_name, run_view>& runs() const noexcept
    {
        return runs_;
    }
    [[nodiscard]] bool refuses_jobs(time_point now) const noexcept
    {
        return strain_.refuses_jobs(now);
    }
    [[nodiscard]] const dispatch_counts& counts() const noexcept
    {
        return counts_;
    }

    /// @complexity linear in the number of runs
    [[nodiscard]] unconfirmed_runs count_unconfirmed(time_point now) const;
    /// @}

  private:
    using mechanism = settings::mechanism;
    [[nodiscard]] bool is_on(mechanism which) const noexcept
    {
        return options_.policy.is_on(which);
    }

    // ---- orders (tend.cpp, dispatcher.cpp), rounds (rounds.cpp)
    struct round_proposal
    {
        std::vector<jobs::run_name> ends;
        std::vector<jobs::run_name> starts;
        std::vector<jobs::job_id> begun;
        std::map<fleet::worker_life, std::uint64_t> noted; // ends up to this one
    };
    void settle_starts(time_point now,
                       const round_proposal& round,
                       const std::optional<std::vector<bool>>& accepted);
    void rollback_ends(time_point now, const round_proposal& round);
    void rollback_begun(time_point now, const round_proposal& round);
    void forget_recorded_ends(time_point now, const round_proposal& round);
    [[nodiscard]] duration gap_after_ends(time_point now, const worker_view& of) const;
    void take_over(time_point now, const jobs::job& from);
    void take_over(time_point now,
                   const jobs::job& from,
                   const jobs::task_name& name,
                   std::span<const jobs::run> recorded);
    void tend_workers(time_point now, dispatch_output& out);
    [[nodiscard]] bool tend_worker(time_point now, worker_view& of);
    void tend_attended(time_point now, const jobs::store& state, dispatch_output& out);
    void tend_run(time_point now, run_view& of, const jobs::store& state, dispatch_output& out);
    void order_hold(time_point now, worker_view& of, dispatch_output& out);
    [[nodiscard]] static bool loses_worker(const run_view& of) noexcept;
    void order_start(time_point now, run_view& of, const jobs::store& state, dispatch_output& out);
    void order_stop(time_point now, run_view& of, dispatch_output& out);
    void tend_ended_jobs(const jobs::store& state);
    void time_cancels(std::int64_t day_ms, const jobs::store& state, dispatch_output& out);
    void propose(std::int64_t day_ms, const jobs::store& state, time_point now, dispatch_output& out);
    [[nodiscard]] std::size_t count_starts_in_flight() const;
    [[nodiscard]] jobs::round plan_round(time_point now, std::int64_t day_ms, const jobs::store& state);
    [[nodiscard]] round_proposal make_proposal(const jobs::round& planned) const;
    void skip_record(time_point now, const round_proposal& empty);
    void forget_old_jobs(std::int64_t day_ms, const jobs::store& state, jobs::round& into);
    void record_learned(time_point now, jobs::round& into);
    void record_begun(time_point now, const jobs::store& state, jobs::round& into);
    void find_due(std::int64_t day_ms, const jobs::store& state, jobs::round& into);
    [[nodiscard]] std::int64_t lease_for(time_point now, worker_view& of) const;
    [[nodiscard]] recipient recipient_of(const worker_view& of) const;
    [[nodiscard]] time_point lapse_of(const worker_view& of) const;
    void expire_workers(time_point now);
    void forget_life(const worker_view& of);
    void look_at_earlier_lives(time_point now, const fleet::announcement& heard);

    // ---- bookkeeping (bookkeeping.cpp)
    [[nodiscard]] run_view* find_run(const jobs::run_name& name) noexcept;
    [[nodiscard]] run_view* find_run_on(worker_view& of, const jobs::run_name& name) noexcept;
    [[nodiscard]] worker_view* find_worker(const fleet::worker_life& life) noexcept;
    [[nodiscard]] worker_view& find_or_add_worker(const fleet::worker_life& life);
    [[nodiscard]] worker_view& meet_worker(const fleet::worker_life& life, const std::string& address);
    [[nodiscard]] std::vector<worker_view*> other_lives(const fleet::worker_life& of);
    void move_to_life(const jobs::run_name& name, const fleet::worker_life& next);
    [[nodiscard]] std::span<worker_view* const> all_workers();
    void add_run(run_view added);
    void remove_run(const jobs::run_name& name);
    void note_changed(worker_view& of) noexcept;
    [[nodiscard]] boost::intrusive_ptr<step_stats> stats_of(const jobs::task_name& name);
    [[nodiscard]] static bool may_need_order(const run_view& of) noexcept;
    void attend(run_view& of);

    // ---- answers (answers.cpp)
    void on(time_point now, const hold_order& sent, time_point sent_at, const worker_answer& got);
    void on(time_point now, const start_order& sent, time_point sent_at, const worker_answer& got);
    void on(time_point now, const stop_order& sent, time_point sent_at, const worker_answer& got);
    void on(time_point now, const pace_order& sent, time_point sent_at, const worker_answer& got);
    void note_begun(time_point now, const jobs::run_name& name);
    void note_start_taken(time_point now, worker_view& on, run_view& of);
    void note_start_unanswered(time_point now, run_view& of);
    void note_start_late(time_point now, run_view& of);
    void note_start_rejected(time_point now, worker_view& on, run_view& of, reply how);
    void shut_out(time_point now, run_view& of, jobs::run_end end_if_absent);
    worker_view* note_contact(time_point now, const recipient& to, const worker_answer& got);
    void meet_other_life(time_point now, const recipient& asked, const worker_answer& got);
    void identify(const recipient& asked, const fleet::worker_life& told);
    void end_earlier_lives(time_point now, const worker_view& of, time_point sent_at);
    void take_running(time_point now, time_point sent_at, worker_view& of, const worker_answer& got);
    void
    take_finished(time_point now, worker_view& of, const contact_notes& before, const worker_answer& got);
    void record_end_of_start(time_point now, const finished_row& row, const run_view* run);
    void find_absent(time_point now, worker_view& of, time_point sent_at, const worker_answer& got);
    void end_run(time_point now,
                 run_view& of,
                 jobs::run_end how,
                 const std::string& saved,
                 jobs::crash_sign sign = jobs::crash_sign::none);
    [[nodiscard]] bool has_lived(const run_view& of) const;
    void note_setback(time_point now, const run_view& ended, jobs::run_end how);
    void note_end(run_view& of, jobs::run_end how, const std::string& saved, jobs::crash_sign sign);

    // ---- crashes (crashes.cpp)
    /// @param next the life that has answered in its place, where it told itself
    void end_life(time_point now,
                  worker_view& of,
                  life_end how,
                  const std::optional<fleet::worker_life>& next = std::nullopt);
    using run_names = std::vector<jobs::run_name>;
    void
    write_off(time_point now, run_view& of, jobs::run_end how, jobs::crash_sign sign, run_names* to_next);
    [[nodiscard]] bool is_widespread(time_point now);
    [[nodiscard]] jobs::crash_sign sign_of_lapse(time_point now, const run_view& of, bool widespread) const;
    /// @param to_next takes runs that the next life has to shut out; null: there is none
    void end_crashed(time_point now, worker_view& of, run_names* to_next);
    void end_lost(time_point now, worker_view& of, run_names* to_next);
    void close_life(worker_view& of);
    [[nodiscard]] static bool is_unheard(time_point now, const worker_view& of);
    [[nodiscard]] bool waits_apart(time_point now, const jobs::task_name& suspect, const worker_view& best);
    [[nodiscard]] double crash_risk_cost(time_point now, const worker_view& of) const;

    // ---- lapses (lapses.cpp)
    void end_lapsed(time_point now, worker_view& of);
    void end_lapsed_run(time_point now,
                        lapse_finder found_by,
                        const contact_notes& contact,
                        run_view& of,
                        const std::string& saved,
                        jobs::crash_sign sign);
    [[nodiscard]] lapse_cause cause_of_lapse(lapse_finder found_by, const contact_notes& contact) const;
    void note_quality(time_point now, worker_view& of, const run_view& ended, jobs::run_end how);
    void blame(time_point now, worker_view& of, const jobs::job_id& job, double weight, std::string_view why);

    // ---- ready steps (ready_steps.cpp)
    struct ready_step; // in ready_step.hpp
    [[nodiscard]] std::vector<ready_step> find_ready(std::int64_t day_ms, const jobs::store& state);
    [[nodiscard]] bool has_waiting(const jobs::step& of, const jobs::step_spec& spec) const;
    void rank(ready_step& of, std::int64_t day_ms) const;
    [[nodiscard]] bool is_urgent(const ready_step& of, std::int64_t day_ms) const;
    [[nodiscard]] static bool has_lost_run(const ready_step& of);
    [[nodiscard]] bool has_runs(const jobs::job& of) const;
    struct chain_times;
    [[nodiscard]] chain_times predict_chain(const ready_step& of) const;
    [[nodiscard]] double predict_step_ms(const jobs::job& of, std::uint32_t step) const;

    // ---- placement (placement.cpp)
    /// @brief Names a step of one occurrence; first starts and later ones find room apart.
    struct step_id
    {
        std::uint64_t job = 0; // its place in the order of acceptance
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        bool first_start = false;

        bool operator<(const step_id& other) const noexcept
        {
            return std::tie(job, occurrence, step, first_start) <
                   std::tie(other.job, other.occurrence, other.step, other.first_start);
        }
    };
    /// @brief When a step last found that no worker takes its tasks.
    struct full_step
    {
        std::uint64_t changes = 0;  // workers that have not changed since then don't take it now
        time_point whole_look_at{}; // then all are asked again, for what changes with time alone
        std::uint64_t placement = 0;
    };
    /// @brief A worker that takes a step's tasks, and how well it suits.
    struct candidate
    {
        worker_view* on = nullptr;
        double points = 0;
    };
    /// @brief What runs, or may run, of one task.
    struct task_runs
    {
        std::size_t count = 0;
        std::uint32_t last_attempt = 0;
        const worker_view* first_on = nullptr;
    };
    /// @brief A task of a step whose turn has come: what is looked up for it once.
    struct waiting_task
    {
        jobs::task_name name;
        task_runs runs;
    };
    /// @brief How a task starts, as far as it matters to its choice of a worker.
    enum class start_kind : std::uint8_t
    {
        first,
        again,          // it lost its worker, and leaves whole places to short tasks where it can
        again_anywhere, // it has found no such worker
    };
    void place(time_point now, std::int64_t day_ms, const jobs::store& state, jobs::round& into);
    void begin_placement(time_point now);
    /// @brief How many starts a record may hold before a step has no turn.
    struct start_limits
    {
        std::size_t of_kind = 0;
        std::size_t of_all = 0;
    };
    /// @return whether the step had its turn
    bool place_in_turn(time_point now, const ready_step& what, start_limits limits, jobs::round& into);
    [[nodiscard]] task_runs runs_of(const jobs::task_name& name) const;
    void place_step(time_point now, const ready_step& what, jobs::round& into);
    void forget_placed_steps();
    void place_waiting(time_point now, const ready_step& what, bool first_start, jobs::round& into);
    void place_gang(time_point now, const ready_step& what, jobs::round& into);
    /// @brief Whether a task was granted, or why not.
    enum class granted : std::uint8_t
    {
        yes,
        none_fits,
        waits_apart, // the best worker holds another suspect
    };
    granted place_task(const ready_step& what,
                       const waiting_task& task,
                       start_kind how,
                       std::vector<candidate>& candidates,
                       time_point now,
                       jobs::round& into);
    [[nodiscard]] std::vector<candidate> find_candidates(time_point now,
                                                         const ready_step& what,
                                                         start_kind how,
                                                         std::uint64_t changed_since,
                                                         std::size_t wanted);
    [[nodiscard]] std::vector<candidate> ask_all(time_point now, const ready_step& what, start_kind how);
    /// @brief The worker at a place of an order, best first; null after the last.
    using worker_order = std::function<const indexed_worker*(std::size_t)>;
    [[nodiscard]] worker_order workers_for(time_point now, const ready_step& what, start_kind how);
    [[nodiscard]] std::vector<indexed_worker> ask_workers(const index_key& what);
    [[nodiscard]] std::optional<indexed_worker> judge_for_filler(const worker_row& of,
                                                                 const index_key& what) const;
    void note_least_filler(std::span<const ready_step> ready);
    /// @return how many tasks may be started before one of a kind has its turn
    [[nodiscard]] std::array<std::size_t, work_kind_count>
    limit_starts(std::size_t all, std::span<const ready_step> ready) const;
    void report_placements(time_point now, std::span<const ready_step> ready);
    [[nodiscard]] duration queued_for(time_point now, std::int64_t day_ms, const ready_step& what) const;
    void count_waiting(std::span<const ready_step> ready);
    [[nodiscard]] bool wants_run(const ready_step& what, const waiting_task& task) const;
    void grant(time_point now,
               const ready_step& what,
               std::uint32_t index,
               std::uint32_t attempt,
               worker_view& on,
               jobs::round& into);

    // ---- choice of a worker (worker_choice.cpp)
    /// @brief Whether a worker takes a task, or why not.
    enum class fitness : std::uint8_t
    {
        fits,
        other_pool,
        not_usable, // silent, leaving, set aside, or it has just rejected a start
        no_label,
        spread, // it holds as many tasks of the step as it may
        no_room,
        would_harm, // a filler that would take a serving task's slack
        held,       // its room is kept for an urgent task that nothing fits yet
        kept,       // its room is kept for short tasks
    };
    static constexpr std::size_t fitness_count = 9;
    void note_set_aside_share(time_point now);
    [[nodiscard]] worker_view* choose_worker(time_point now,
                                             const ready_step& what,
                                             const waiting_task& task,
                                             start_kind how,
                                             const std::string& rack,
                                             std::span<const candidate> candidates) const;
    [[nodiscard]] bool is_usable(time_point now, const worker_view& of, bool urgent) const;
    [[nodiscard]] bool is_present(time_point now, const worker_view& of) const noexcept;
    [[nodiscard]] static std::uint32_t runs_of_step(const worker_view& of, const ready_step& what);
    [[nodiscard]] fitness
    may_take(time_point now, worker_view& of, const ready_step& what, start_kind how) const;
    void explain_wait(time_point now, const ready_step& what, std::uint32_t index);
    [[nodiscard]] static double same_image_share(const worker_row& of, image_number image);
    [[nodiscard]] double score(worker_view& of, const ready_step& what, start_kind how) const;
    [[nodiscard]] double points_of(const worker_row& of, const index_key& what) const;
    [[nodiscard]] static index_key key_of(const ready_step& what, start_kind how) noexcept;
    [[nodiscard]] static bool is_wrong_rack(const worker_view& of, const ready_step& what);
    [[nodiscard]] std::int64_t cpu_left(const worker_view& of, bool filler) const;
    [[nodiscard]] worker_row make_row(worker_view& of) const;
    void fill_rows(time_point now);

    // ---- room for short tasks (kept_room.cpp)
    struct kept_room
    {
        short_task_room wanted;
        std::int64_t pool_milli = 0;    // all processors, as of the last placement
        std::int64_t usable_milli = 0;  // free of lasting tasks in whole places, as of now
        std::int64_t lasting_milli = 0; // reserved by lasting tasks, as of the last placement
    };
    void watch_short_tasks(time_point now, std::span<const ready_step> ready);
    void count_usable_room();
    void add_room(logging::event& to) const;
    [[nodiscard]] std::int64_t usable_room(const worker_view& of) const;
    [[nodiscard]] bool leaves_short_room(const worker_view& of, const ready_step& what) const;

    // ---- held room (held_room.cpp)
    [[nodiscard]] jobs::resources room_beside_lasting(const worker_view& of) const;
    void hold_room(time_point now, const ready_step& what, std::uint32_t waiting);

    // ---- harm of fillers (filler_harm.cpp)
    static void refresh_digest(worker_view& of);
    [[nodiscard]] bool has_harmful_filler(const runs_digest& on) const;
    [[nodiscard]] bool wants_new_reports(worker_view& of) const;
    [[nodiscard]] bool has_unknown_filler(const serving_image& serving,
                                          std::span<const image_number> fillers) const;
    [[nodiscard]] std::int64_t spare_for_fillers(const worker_view& of) const;
    [[nodiscard]] double least_slack_beside(const runs_digest& on, image_number filler_image) const;
    [[nodiscard]] double worst_effect(const runs_digest& on, image_number filler_image) const;
    [[nodiscard]] bool may_explore(const runs_digest& on, image_number filler_image) const;
    [[nodiscard]] bool harms(const runs_digest& on, image_number filler_image) const;

    // ---- watching (watch.cpp)
    void watch_runs(time_point now, const jobs::store& state);
    void watch_workers(time_point now, const jobs::store& state);
    [[nodiscard]] duration sweep_interval() const noexcept;
    void watch_run(time_point now, run_view& of);
    void retry_unreported_stop(time_point now, run_view& of);
    static void stop_needless_copy(run_view& of, const jobs::store& state);
    void move_run(time_point now, run_view& of, std::string_view why);
    [[nodiscard]] int slow_moves_of(const jobs::task_name& task) const;
    void move_standing(time_point now, run_view& of);
    void move_straggler(time_point now, run_view& of);
    void forget_ended_jobs(const jobs::store& state);
    void watch_draining(time_point now, worker_view& of, const jobs::store& state);
    void summarize(time_point now, const jobs::store& state);

    // ---- what holds tasks back (held_watch.cpp)
    void note_held_run(time_point now, const run_view& of);
    void watch_held(time_point now, std::int64_t day_ms, const jobs::store& state);
    void report_overdue_cancels(time_point now, std::int64_t day_ms, const jobs::store& state);
    void
    take_over_orphan(time_point now, const jobs::job& of, const jobs::run_name& name, const jobs::run& run);
    [[nodiscard]] std::size_t count_followed(const jobs::job& of) const;
    void note_held_tasks(time_point now,
                         std::int64_t day_ms,
                         const jobs::job& of,
                         const jobs::occurrence& at,
                         std::uint32_t step,
                         bool all_followed);

    // ---- pace (pace.cpp)
    void watch_pace(time_point now, worker_view& of);
    [[nodiscard]] static double slack_of(const run_view& serving);
    void note_over_target(time_point now, worker_view& of);
    void guard_target(time_point now, worker_view& of);
    void note_references();
    void note_reference_of(const run_view& serving);
    static void find_references(step_stats& of);
    [[nodiscard]] double lost_slack_of(const run_view& serving) const;
    [[nodiscard]] bool is_disturbed(const run_view& serving) const;
    void learn_interference(const worker_view& of);
    void set_paces(time_point now, worker_view& of, const run_view& serving);
    void release_paces(time_point now, worker_view& of, double slack);
    void order_pace(time_point now, run_view& run, dispatch_output& out);
    void stop_unknown_runs(dispatch_output& out);

    dispatch_options options_;
    strain strain_;
    std::uint64_t term_ = 0;
    time_point leading_since_{};
    time_point decided_at_{}; // the last decision before this one
    std::map<fleet::worker_life, worker_view> workers_;
    // The same, for each answer, without a tree's comparisons of texts.
    std::unordered_map<fleet::worker_life, worker_view*, fleet::worker_life_hash> worker_by_life_;
    // The same by name, for walks over all of them: a tree's nodes lie far apart.
    std::vector<worker_view*> worker_list_;
    bool worker_list_stale_ = true;
    std::map<std::string, std::set<fleet::worker_life>> lives_at_; // address: who was announced there
    std::map<jobs::run_name, run_view> runs_;
    attended_runs attended_;    // the only runs that a decision looks at; all others need no order now
    std::uint64_t changes_ = 0; // of workers, as far as a placement looks at them
    std::map<jobs::task_name, std::set<fleet::worker_life>> failed_on_; // where a task has failed
    std::set<jobs::task_name> copy_wanted_;
    std::size_t held_count_ = 0; // workers whose room is kept for urgent tasks, as of the last placement
    std::map<step_id, full_step> full_steps_; // what found no room at the last placement
    std::map<std::pair<jobs::job_id, std::uint32_t>, boost::intrusive_ptr<step_stats>> steps_; // by job, step
    std::map<jobs::job_id, std::int64_t> cancelled_at_ms_; // cancelled jobs with runs that may go on
    std::vector<jobs::run_ended> pending_ends_;
    std::set<jobs::job_id> begun_jobs_; // of which a worker has begun a task, to be recorded
    time_point begun_due_{};            // when that is recorded though nothing else is
    std::vector<std::pair<fleet::worker_life, jobs::run_name>>
        unknown_runs_; // run where nobody asked for them
    std::map<std::uint64_t, round_proposal> in_flight_;
    std::uint64_t next_round_ = 1;
    std::uint64_t placements_ = 0;
    std::size_t starts_limit_ = 0;      // of the present placement
    std::size_t extra_starts_ = 0;      // of the present placement, for urgent steps beyond its limit
    worker_index index_;                // of the present placement
    std::vector<worker_view*> granted_; // workers that the present placement has given tasks to
    std::map<image_number, std::int64_t> least_filler_milli_; // of the fillers that wait now, by image
    std::uint64_t placed_revision_ = ~std::uint64_t{0};
    time_point next_placement_at_{};
    time_point next_filler_placement_at_{};
    bool considers_fillers_ = true; // of the last placement
    time_point next_watch_at_{};
    time_point next_sweep_at_{};
    time_point next_summary_at_{};
    time_point next_cleaning_at_{};
    std::array<time_point, work_kind_count> next_explanation_at_{};
    time_point next_placement_report_at_{};
    time_point next_held_report_at_{};
    held_tasks held_; // since the last line about them
    time_point next_forget_at_{};
    time_point next_record_at_{}; // of what was learned
    bool room_changed_ = true;
    std::map<std::string, kept_room> kept_rooms_; // by pool
    time_point next_short_look_at_{};
    task_times task_times_;
    bool ignore_set_aside_ = false; // too many workers are set aside to do without them
    interference interference_;
    recent_crashes recent_crashes_;
    retry_pauses retry_pauses_;
    std::map<jobs::task_name, int> slow_moves_;         // moves as a straggler, or since it stood still
    std::map<jobs::task_name, time_point> apart_since_; // suspects that found no worker without another one
    double calm_slack_;                                 // the least that undisturbed serving tasks had lately
    std::vector<logging::event> events_;
    dispatch_counts counts_;
    placement_counts window_; // since the last line about it
    stage_delays stage_delays_;
};

} // namespace plumspoke::dispatch
