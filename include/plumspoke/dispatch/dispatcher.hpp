#pragma once

/// @file
/// @brief The leader's decisions on tasks: where they run, when they are stopped and when a run has certainly
///        ended. No I/O, no clock, no locks.
///
/// Rules that prevent a task from running twice:
/// - A run is recorded before its start order is sent.
/// - All orders carry the leader's term as fencing token. Once a worker has answered this leader, orders of
///   earlier leaders have no effect there.
/// - A run has ended when its worker reports its end, when the worker's life has ended, when the worker has
///   acknowledged a stop and no longer lists the run, or when the latest lease given to the worker by any
///   leader has certainly lapsed on the worker's clock. A missing answer alone never ends a run.
/// - Knowledge about a worker belongs to one life of it; another life may have the same id. A life has ended
///   once another one, whatever its birth time, has answered a message that was sent after the life was last
///   heard from.

#include "plumspoke/dispatch/counts.hpp"
#include "plumspoke/dispatch/earlier_leaders.hpp"
#include "plumspoke/dispatch/early_ends.hpp"
#include "plumspoke/dispatch/interference.hpp"
#include "plumspoke/dispatch/job_idle_times.hpp"
#include "plumspoke/dispatch/listed_runs.hpp"
#include "plumspoke/dispatch/longest_waits.hpp"
#include "plumspoke/dispatch/options.hpp"
#include "plumspoke/dispatch/overload_controller.hpp"
#include "plumspoke/dispatch/placement_counts.hpp"
#include "plumspoke/dispatch/recent_crashes.hpp"
#include "plumspoke/dispatch/retry_backoff.hpp"
#include "plumspoke/dispatch/short_task_demand.hpp"
#include "plumspoke/dispatch/stage_delays.hpp"
#include "plumspoke/dispatch/step_duration_predictor.hpp"
#include "plumspoke/dispatch/worker_index.hpp"
#include "plumspoke/dispatch/worker_view.hpp"
#include "plumspoke/jobs/store.hpp"
#include "plumspoke/logging/event.hpp"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace plumspoke::dispatch
{

/// @brief A command for the replicated log, identified so that its result can be reported back.
struct planned_round
{
    std::uint64_t id = 0;
    jobs::round command;
};

/// @brief The results of a decision, to be carried out by the caller.
struct dispatch_output
{
    std::vector<order> orders;
    std::vector<planned_round> rounds;
    std::vector<logging::event> events;
    std::vector<std::int64_t>
        cancels_stopped_ms; // for each cancelled job whose last run has ended: time since the cancel
};

/// @brief The dispatcher of one leader; its state lasts for one term.
class dispatcher
{
  public:
    /// @name construction
    /// @{
    explicit dispatcher(dispatch_options options);

    /// @brief Begins a term: discards all state and takes over the recorded runs and learned effects of
    /// images.
    void
    lead(time_point now, std::uint64_t term, const jobs::store& state, const earlier_leaders& earlier = {});

    /// @brief Ends the term: discards all state but the counters; nothing is decided until the next term.
    void step_down();
    /// @}

    /// @name events
    /// @{
    void announced(time_point now, const fleet::announcement& announcement);

    /// @return false if the worker is unknown and has to be announced in full
    bool refresh_liveness(time_point now, const fleet::worker_life& life);

    void departed(time_point now, const fleet::worker_life& life);
    void answered(time_point now, const sent_order& sent, const worker_answer& answer);

    /// @param accepted which starts were recorded; nullopt if the round was not committed
    void round_ended(time_point now, std::uint64_t id, const std::optional<std::vector<bool>>& accepted);

    /// @brief Records how late the next decision is made, for overload control.
    void record_lateness(time_point now, duration late) noexcept
    {
        overload_.record(now, late);
    }

    /// @brief Records the duration of the last decision. After one that considered fillers, the following
    /// ones skip them for a multiple of that time.
    void on_decided(duration took) noexcept;

    /// @brief Makes the next decision.
    /// @param now reading of the leader's boot clock
    /// @param day_ms the agreed time of day in ms, for due times
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
        return overload_.refuses_jobs(now);
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

    // ---- orders (due_orders.cpp, dispatcher.cpp), rounds (rounds.cpp)
    struct round_proposal
    {
        std::vector<jobs::run_ended> ends;
        std::vector<jobs::run_name> starts;
        std::vector<jobs::job_id> begun;
        std::map<fleet::worker_life, std::uint64_t> recorded_ends; // ends up to this number
        std::optional<std::set<fleet::worker_life>> unrenewed;
    };
    void apply_start_results(time_point now,
                             const round_proposal& round,
                             const std::optional<std::vector<bool>>& accepted);
    void rollback_ends(time_point now, const round_proposal& round);
    void rollback_begun(time_point now, const round_proposal& round);
    void forget_recorded_ends(time_point now, const round_proposal& round);
    [[nodiscard]] duration next_poll_delay(time_point now, const worker_view& worker) const;
    void take_over(time_point now, const jobs::job& from);
    void take_over(time_point now,
                   const jobs::job& from,
                   const jobs::task_name& name,
                   std::span<const jobs::run> recorded);
    void order_due_polls(time_point now, dispatch_output& out);
    [[nodiscard]] bool update_worker(time_point now, worker_view& worker);
    void order_for_actionable_runs(time_point now, const jobs::store& state, dispatch_output& out);
    void order_for_run(time_point now, run_view& run, const jobs::store& state, dispatch_output& out);
    void order_poll(time_point now, worker_view& worker, dispatch_output& out);
    /// @brief Whether a start may still be sent: the worker may have announced that it leaves, or its zone
    /// may
    ///        have been evacuated, since the start was decided.
    [[nodiscard]] static bool accepts_starts(const worker_view& worker) noexcept;
    /// @brief Whether the worker may carry out a start, as far as is known: its life hasn't ended, and it
    /// answers.
    [[nodiscard]] bool may_be_reached(const worker_view& worker) const noexcept;
    void apply_evacuations(const jobs::store& state);
    void order_start(time_point now, run_view& run, const jobs::store& state, dispatch_output& out);
    void order_stop(time_point now, run_view& run, dispatch_output& out);
    void stop_runs_of_ended_jobs(const jobs::store& state);
    void measure_cancel_latency(std::int64_t day_ms, const jobs::store& state, dispatch_output& out);
    void propose(std::int64_t day_ms, const jobs::store& state, time_point now, dispatch_output& out);
    [[nodiscard]] std::size_t count_starts_in_flight() const;
    [[nodiscard]] jobs::round plan_round(time_point now, std::int64_t day_ms, const jobs::store& state);
    void add_round(jobs::round command, dispatch_output& out);
    /// @brief Removes and returns the oldest ends to be recorded, as many as one round may hold.
    [[nodiscard]] std::vector<jobs::run_ended> take_pending_ends();
    [[nodiscard]] round_proposal make_proposal(const jobs::round& planned) const;
    void apply_without_record(time_point now, const round_proposal& empty);
    void forget_old_jobs(std::int64_t day_ms, const jobs::store& state, jobs::round& into);
    void record_learned_effects(time_point now, jobs::round& into);
    void record_begun(time_point now, const jobs::store& state, jobs::round& into);
    void find_due_occurrences(std::int64_t day_ms, const jobs::store& state, jobs::round& into);
    [[nodiscard]] std::int64_t lease_for(time_point now, worker_view& worker) const;
    [[nodiscard]] recipient recipient_of(const worker_view& worker) const;
    /// @brief The longest time on our clock that a time on a worker's clock may take.
    [[nodiscard]] duration stretched(duration on_worker) const;
    /// @brief The shortest time on our clock that a time on another clock may take.
    [[nodiscard]] duration shortened(duration elsewhere) const;
    /// @brief Which lease of a worker lapses last.
    enum class lease_bound : std::uint8_t
    {
        none,          // no order was ever sent there
        inherited,     // of an earlier leader
        first_contact, // none may be left, but the worker's list could still show how its runs ended
        renewed,       // of this leader
        late_start,    // that a late start for an earlier life may bring
    };
    struct lapse
    {
        time_point at;
        lease_bound bound = lease_bound::none;
    };
    [[nodiscard]] static std::string_view name_of(lease_bound value) noexcept;
    [[nodiscard]] lapse lease_lapse(const worker_view& worker) const;
    [[nodiscard]] time_point first_contact_end(const worker_view& worker) const;
    void remove_silent_workers(time_point now);
    void remove_life_from_address(const worker_view& worker);
    void poll_other_lives(time_point now, const fleet::announcement& announcement);

    // ---- workers that this leader hasn't renewed (unrenewed.cpp)
    void adopt_unrenewed(const jobs::unrenewed_workers& recorded, const earlier_leaders& earlier);
    [[nodiscard]] bool is_unrenewed(time_point now, const worker_view& worker) const;
    [[nodiscard]] bool has_contacted_life(const std::string& id) const;
    void record_unrenewed(time_point now, jobs::round& into);
    void apply_unrenewed(const std::optional<std::set<fleet::worker_life>>& recorded, bool committed);
    /// @brief Whether the worker may be sent a lease: no life under its id is recorded as not renewed.
    [[nodiscard]] bool may_be_renewed(const worker_view& worker) const;

    // ---- bookkeeping (bookkeeping.cpp)
    [[nodiscard]] run_view* find_run(const jobs::run_name& name) noexcept;
    [[nodiscard]] run_view* find_run_on(worker_view& worker, const jobs::run_name& name) noexcept;
    [[nodiscard]] worker_view* find_worker(const fleet::worker_life& life) noexcept;
    [[nodiscard]] worker_view& find_or_add_worker(const fleet::worker_life& life);
    [[nodiscard]] worker_view& find_or_register_worker(const fleet::worker_life& life,
                                                       const std::string& address);
    [[nodiscard]] std::vector<worker_view*> other_lives(const fleet::worker_life& life);
    void move_to_life(const jobs::run_name& name, const fleet::worker_life& next);
    [[nodiscard]] std::span<worker_view* const> all_workers();
    void add_run(run_view added);
    void remove_run(const jobs::run_name& name);
    void mark_changed(worker_view& worker) noexcept;
    [[nodiscard]] boost::intrusive_ptr<step_stats> step_stats_of(const jobs::task_name& name);
    [[nodiscard]] static bool may_need_order(const run_view& run) noexcept;
    void track_if_actionable(run_view& run);

    // ---- answers (answers.cpp)
    void on(time_point now, const poll_order& sent, time_point sent_at, const worker_answer& answer);
    void on(time_point now, const start_order& sent, time_point sent_at, const worker_answer& answer);
    void on(time_point now, const stop_order& sent, time_point sent_at, const worker_answer& answer);
    void on(time_point now, const pace_order& sent, time_point sent_at, const worker_answer& answer);
    void mark_begun(time_point now, const jobs::run_name& name);
    void handle_accepted_start(time_point now, worker_view& worker, run_view& run);
    void handle_unanswered_start(time_point now, run_view& run);
    void handle_unsent_start(time_point now, run_view& run);
    void handle_ineffective_start(time_point now, run_view& run);
    void handle_rejected_start(time_point now, worker_view& worker, run_view& run, reply how);
    void fence_run(time_point now, run_view& run, jobs::run_end end_if_absent);
    void fence_departed_runs(time_point now, worker_view& worker);
    worker_view* record_contact(time_point now, const recipient& to, const worker_answer& answer);
    void handle_other_life(time_point now, const recipient& asked, const worker_answer& answer);
    void resolve_unnamed_life(const recipient& asked, const fleet::worker_life& named_life);
    void end_earlier_lives(time_point now, const worker_view& worker, time_point sent_at);
    void apply_running(time_point now, worker_view& worker, const worker_answer& answer);
    void apply_finished(time_point now,
                        worker_view& worker,
                        const contact_snapshot& before,
                        const worker_answer& answer);
    void record_finished_start(time_point now, const finished_row& row, const run_view* run);
    void
    detect_missing_runs(time_point now, worker_view& worker, time_point sent_at, const worker_answer& answer);
    void end_run(time_point now,
                 run_view& run,
                 jobs::run_end how,
                 const std::string& saved,
                 jobs::crash_sign sign = jobs::crash_sign::none);
    [[nodiscard]] bool was_stable(const run_view& run) const;
    void update_backoff(time_point now, const run_view& ended, jobs::run_end how);
    [[nodiscard]] static jobs::task_name early_ends_key(jobs::task_name task, bool gang);
    /// @brief Records that a start had no effect, so that the task's next run prefers another worker.
    void record_early_end(const run_view& ended, jobs::run_end how);
    void record_end(run_view& run, jobs::run_end how, const std::string& saved, jobs::crash_sign sign);

    // ---- crashes (crashes.cpp)
    /// @param next the life that has answered in its place, if it identified itself
    void end_life(time_point now,
                  worker_view& worker,
                  life_end_cause how,
                  const std::optional<fleet::worker_life>& next = std::nullopt);
    using run_names = std::vector<jobs::run_name>;
    void end_or_fence(
        time_point now, run_view& run, jobs::run_end how, jobs::crash_sign sign, run_names* moved_to_next);
    [[nodiscard]] bool is_widespread(time_point now);
    /// @param has_likelier_cause than a run that had survived its start: another start, or a widespread crash
    [[nodiscard]] jobs::crash_sign
    crash_sign_of_lapse(time_point now, const run_view& run, bool has_likelier_cause) const;
    /// @param moved_to_next receives runs that have to be fenced on the next life; null: there is no next
    /// life
    void end_crashed_runs(time_point now, worker_view& worker, run_names* moved_to_next);
    void end_lost_runs(time_point now, worker_view& worker, run_names* moved_to_next);
    void mark_life_ended(worker_view& worker);
    /// @brief Whether the worker of a lapsed run is heard on no way at all, which counts as a possible crash.
    [[nodiscard]] bool has_vanished(time_point now, const worker_view& worker) const;
    [[nodiscard]] static bool is_announcement_overdue(time_point now, const worker_view& worker);
    [[nodiscard]] bool
    waits_for_isolation(time_point now, const jobs::task_name& suspect, const worker_view& best);
    [[nodiscard]] double crash_risk_cost(time_point now, const worker_view& worker) const;

    // ---- lapses (lapses.cpp)
    void end_lapsed_runs(time_point now, worker_view& worker);
    void end_lapsed_run(time_point now,
                        lapse_detector found_by,
                        const contact_snapshot& contact,
                        run_view& run,
                        const std::string& saved,
                        jobs::crash_sign sign);
    [[nodiscard]] lapse_cause cause_of_lapse(lapse_detector found_by, const contact_snapshot& contact) const;
    void update_failure_score(time_point now, worker_view& worker, const run_view& ended, jobs::run_end how);
    void penalize_worker(
        time_point now, worker_view& worker, const jobs::job_id& job, double weight, std::string_view why);

    // ---- ready steps (ready_steps.cpp)
    struct ready_step; // in ready_step.hpp
    [[nodiscard]] std::vector<ready_step>
    find_ready_steps(time_point now, std::int64_t day_ms, const jobs::store& state);
    void sort_by_precedence(std::vector<ready_step>& ready) const;
    [[nodiscard]] bool has_waiting(const jobs::step& step, const jobs::step_spec& spec) const;
    void rank(ready_step& ready, std::int64_t day_ms) const;
    [[nodiscard]] static bool has_lost_run(const ready_step& ready);
    /// @param idle for how long the step's job has had no task at work
    [[nodiscard]] ready_step make_ready_step(std::int64_t day_ms,
                                             const jobs::job& job,
                                             const jobs::occurrence& at,
                                             std::uint32_t step,
                                             duration idle);

    // ---- starts that are owed (owed_starts.cpp)
    [[nodiscard]] bool is_urgent(const ready_step& ready, std::int64_t day_ms) const;
    [[nodiscard]] bool is_owed(const ready_step& ready) const;
    [[nodiscard]] bool has_runs(const jobs::job& job) const;
    /// @param starting a gang whose members start together and don't count; null: none
    [[nodiscard]] job_activity
    activity_of(time_point now, const jobs::job& job, const ready_step* starting = nullptr) const;
    [[nodiscard]] duration idle_time_of(time_point now, std::int64_t day_ms, const jobs::job& job);
    /// @brief For how long a step has waited for a start, for lasting tasks also beside other tasks of the
    /// job.
    [[nodiscard]] duration wait_of(time_point now, const ready_step& ready) const;
    /// @brief Whether under half of the processors of a pool's available workers are in use.
    [[nodiscard]] bool is_mostly_free(const std::string& service) const;
    [[nodiscard]] static bool is_without_effect(time_point now, const run_view& run) noexcept;
    void update_pool_use(time_point now);
    struct chain_durations;
    [[nodiscard]] chain_durations predict_chain(const ready_step& ready) const;
    [[nodiscard]] double predict_step_ms(const jobs::job& job, std::uint32_t step) const;

    // ---- placement (placement.cpp)
    /// @brief Names a step of one occurrence. First starts and restarts of its tasks have separate entries.
    struct step_id
    {
        std::uint64_t job = 0; // position in the order of acceptance
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        bool first_start = false;

        bool operator<(const step_id& other) const noexcept
        {
            return std::tie(job, occurrence, step, first_start) <
                   std::tie(other.job, other.occurrence, other.step, other.first_start);
        }
    };
    /// @brief A step that no worker could take, as of the last placement that tried it.
    struct blocked_step
    {
        std::uint64_t changes = 0; // workers that have not changed since then still can't take it
        time_point
            full_rescan_at{}; // when all workers are checked again, for conditions that expire with time
        std::uint64_t placement = 0;
        bool tried_sharing = false; // as well whether they can take it beside the fillers that they run
    };
    /// @brief A worker that can take a step's tasks, with its score.
    struct candidate
    {
        worker_view* worker = nullptr;
        double score = 0;
    };
    /// @brief The runs of one task, including those whose record or end is not committed yet.
    struct task_runs
    {
        std::size_t count = 0;
        std::uint32_t last_attempt = 0;
        const worker_view* first_worker = nullptr;
    };
    /// @brief A task that is being placed, with its runs, which are looked up once.
    struct waiting_task
    {
        jobs::task_name name;
        task_runs runs;
    };
    /// @brief How a task starts, as far as it affects the choice of a worker.
    enum class start_kind : std::uint8_t
    {
        first,
        restart,           // after losing its worker; respects the headroom for short tasks
        restart_anywhere,  // after no worker was found that way; ignores the headroom
        shared_processors, // of a filler whose job has no other at work: shares the processors of others
    };
    void place(time_point now, std::int64_t day_ms, const jobs::store& state, jobs::round& round);
    void begin_placement(time_point now);
    /// @param limit number of starts in the round up to which the step is placed
    /// @return whether the step was within the limit
    bool place_within_limit(time_point now, const ready_step& step, std::size_t limit, jobs::round& round);
    /// @brief Gives the steps that have waited longest a few starts beyond the limits.
    void place_beyond_limits(time_point now, std::span<const ready_step* const> steps, jobs::round& round);
    [[nodiscard]] task_runs runs_of(const jobs::task_name& name) const;
    void place_step(time_point now, const ready_step& step, jobs::round& round);
    void erase_unblocked_steps();
    void place_waiting_tasks(time_point now, const ready_step& step, bool first_start, jobs::round& round);
    void place_gang(time_point now, const ready_step& step, jobs::round& round);
    /// @return whether all members were placed; otherwise none is
    bool place_members(time_point now,
                       const ready_step& step,
                       std::uint32_t attempt,
                       bool shares_processors,
                       jobs::round& round);
    /// @brief Whether one task of the step, or its gang, may share the processors of other fillers.
    [[nodiscard]] bool may_share_processors(time_point now, const ready_step& step) const;
    /// @brief The free processors that a worker needs to be considered for a task of the step.
    [[nodiscard]] static std::int64_t needed_cpu_milli(const ready_step& step, start_kind start) noexcept;
    /// @brief Whether a task was placed, or why not.
    enum class placement_result : std::uint8_t
    {
        placed,
        no_worker,
        waits_for_isolation, // the best worker runs a suspect that hasn't survived its start
    };
    placement_result place_task(const ready_step& step,
                                const waiting_task& task,
                                start_kind start,
                                std::vector<candidate>& candidates,
                                time_point now,
                                jobs::round& round);
    [[nodiscard]] std::vector<candidate> find_candidates(time_point now,
                                                         const ready_step& step,
                                                         start_kind start,
                                                         std::uint64_t changed_since,
                                                         std::size_t wanted);
    [[nodiscard]] std::vector<candidate>
    scan_all_workers(time_point now, const ready_step& step, start_kind start);
    /// @brief The worker at a position of a ranking, best first; null past the end.
    using ranked_worker_lookup = std::function<const indexed_worker*(std::size_t)>;
    [[nodiscard]] ranked_worker_lookup
    ranked_workers(time_point now, const ready_step& step, start_kind start);
    /// @brief The workers that have changed since, of those with enough free processors for the step.
    [[nodiscard]] worker_ranking rank_changed_workers(time_point now,
                                                      const ready_step& step,
                                                      start_kind start,
                                                      std::uint64_t changed_since);
    [[nodiscard]] std::vector<indexed_worker> make_indexed_workers(const index_key& key);
    [[nodiscard]] std::optional<indexed_worker> evaluate_for_filler(const worker_row& row,
                                                                    const index_key& key) const;
    void update_min_filler_cpu(std::span<const ready_step> ready);
    /// @return for each kind of work, the number of starts in a round from which it gets no more
    [[nodiscard]] std::array<std::size_t, work_kind_count>
    compute_start_limits(std::size_t all, std::span<const ready_step> ready) const;
    void count_placement(bool all_within_limits,
                         std::size_t max_starts,
                         std::span<const std::size_t, work_kind_count> limits);
    void report_placements(time_point now, std::span<const ready_step> ready);
    [[nodiscard]] duration queueing_time(time_point now, std::int64_t day_ms, const ready_step& step) const;
    void count_waiting(std::span<const ready_step> ready);
    [[nodiscard]] bool needs_run(const ready_step& step, const waiting_task& task) const;
    void grant(time_point now,
               const ready_step& step,
               std::uint32_t index,
               std::uint32_t attempt,
               worker_view& worker,
               jobs::round& round);

    // ---- choice of a worker (worker_choice.cpp)
    /// @brief Whether a worker can take a task, or why not.
    enum class eligibility : std::uint8_t
    {
        eligible,
        other_pool,
        unavailable, // silent, leaving, set aside, or it has just rejected a start
        missing_label,
        per_worker_limit, // it runs as many tasks of the step as the step allows
        insufficient_capacity,
        would_interfere,     // a filler that is expected to take slack from a serving task
        over_target,         // a filler beside a serving task that is over its target
        reserved,            // its capacity is reserved for a lasting task that lost its worker
        short_task_headroom, // its free capacity is kept for short tasks
    };
    static constexpr std::size_t eligibility_count = 10;
    void update_set_aside_limit(time_point now);
    [[nodiscard]] worker_view* choose_worker(time_point now,
                                             const ready_step& step,
                                             const waiting_task& task,
                                             start_kind start,
                                             const std::string& rack,
                                             std::span<const candidate> candidates) const;
    [[nodiscard]] bool is_available(time_point now, const worker_view& worker, bool urgent) const;
    [[nodiscard]] bool can_take_tasks(time_point now, const worker_view& worker) const;
    [[nodiscard]] bool is_reachable(time_point now, const worker_view& worker) const noexcept;
    [[nodiscard]] static std::uint32_t count_step_runs(const worker_view& worker, const ready_step& step);
    [[nodiscard]] eligibility
    check_eligibility(time_point now, worker_view& worker, const ready_step& step, start_kind start) const;
    [[nodiscard]] bool
    may_join_fillers(time_point now, const worker_view& worker, const ready_step& step) const;
    void log_wait_reasons(time_point now, const ready_step& step, std::uint32_t index);
    /// @brief Adds the needs of a task and the number of workers by the reason why they can't take it.
    void add_wait_reasons(time_point now, const ready_step& step, std::uint32_t index, logging::event& line);
    [[nodiscard]] static double same_image_share(const worker_row& row, image_number image);
    [[nodiscard]] double score_worker(worker_view& worker, const ready_step& step, start_kind start) const;
    [[nodiscard]] double base_score(const worker_row& row, const index_key& key) const;
    [[nodiscard]] static index_key index_key_for(const ready_step& step, start_kind start) noexcept;
    [[nodiscard]] static bool is_off_data_rack(const worker_view& worker, const ready_step& step);
    [[nodiscard]] std::int64_t free_cpu_milli(const worker_view& worker, bool filler) const;
    [[nodiscard]] worker_row make_row(worker_view& worker) const;
    void fill_rows(time_point now);

    // ---- headroom for short tasks (short_task_headroom.cpp)
    struct pool_headroom
    {
        short_task_demand demand;
        std::int64_t pool_milli = 0;   // all processors, as of the last placement
        std::int64_t usable_milli = 0; // not reserved by lasting tasks and large enough for a slot, as of now
        std::int64_t lasting_milli = 0; // reserved by lasting tasks, as of the last placement
        // Of the available workers:
        std::int64_t available_milli = 0; // all processors, as of the last placement
        std::int64_t used_milli = 0; // reserved by all tasks but fillers, with this placement's lasting ones
        std::int64_t without_effect_milli = 0; // of these, by runs that no worker carries out
        time_point reported_mostly_used_at{};  // at the last report of stalled jobs with half in use or more
    };
    void update_short_task_demand(time_point now, std::span<const ready_step> ready);
    void update_usable_headroom(time_point now);
    /// @return null before the first placement on a pool
    [[nodiscard]] const pool_headroom* find_headroom(const std::string& service) const;
    void add_headroom_fields(logging::event& line) const;
    [[nodiscard]] std::int64_t usable_headroom_milli(const worker_view& worker) const;
    [[nodiscard]] bool leaves_headroom(const worker_view& worker, const ready_step& step) const;

    // ---- reservations for restarts (restart_reservations.cpp)
    [[nodiscard]] jobs::resources capacity_beside_lasting(const worker_view& worker) const;
    void reserve_workers(time_point now, const ready_step& step, std::uint32_t waiting);

    // ---- interference by fillers (filler_interference.cpp)
    static void refresh_colocation(worker_view& worker);
    [[nodiscard]] bool has_interfering_filler(const colocation_summary& colocation) const;
    [[nodiscard]] bool needs_frequent_reports(worker_view& worker) const;
    [[nodiscard]] bool has_unmeasured_filler(const serving_image& serving,
                                             std::span<const image_number> fillers) const;
    [[nodiscard]] std::int64_t filler_headroom_milli(const worker_view& worker) const;
    [[nodiscard]] double min_slack_beside(const colocation_summary& colocation,
                                          image_number filler_image) const;
    [[nodiscard]] double max_effect_of(const colocation_summary& colocation, image_number filler_image) const;
    [[nodiscard]] bool may_try_unmeasured(const colocation_summary& colocation,
                                          image_number filler_image) const;
    [[nodiscard]] bool would_interfere(const colocation_summary& colocation, image_number filler_image) const;

    // ---- watching (watch.cpp)
    void watch_runs(time_point now, const jobs::store& state);
    void watch_workers(time_point now, const jobs::store& state);
    [[nodiscard]] duration sweep_interval() const noexcept;
    void watch_run(time_point now, run_view& run);
    void retry_unconfirmed_stop(time_point now, run_view& run);
    static void stop_redundant_copy(run_view& run, const jobs::store& state);
    void move_run(time_point now, run_view& run, std::string_view why);
    [[nodiscard]] int slow_moves_of(const jobs::task_name& task) const;
    void move_stalled_run(time_point now, run_view& run);
    void move_straggling_run(time_point now, run_view& run);
    void forget_ended_jobs(const jobs::store& state);
    void watch_draining(time_point now, worker_view& worker, const jobs::store& state);
    void summarize(time_point now, const jobs::store& state);

    // ---- report of long waits (wait_report.cpp)
    void note_run_wait(time_point now, const run_view& run);
    void report_waits(time_point now, std::int64_t day_ms, const jobs::store& state);
    void report_overdue_cancels(time_point now, std::int64_t day_ms, const jobs::store& state);
    void
    take_over_orphan(time_point now, const jobs::job& job, const jobs::run_name& name, const jobs::run& run);
    [[nodiscard]] std::size_t count_tracked_runs(const jobs::job& job) const;
    using step_key = std::tuple<jobs::job_id, std::uint32_t, std::uint32_t>; // job, occurrence, step
    [[nodiscard]] static wait_cause cause_of(const run_view& run) noexcept;
    [[nodiscard]] wait_cause
    cause_without_run(time_point now, const jobs::job& job, const jobs::task_name& name) const;
    /// @return whether one of the step's tasks has no run
    bool note_task_waits(time_point now,
                         time_point unplaced_since,
                         std::int64_t day_ms,
                         const jobs::job& job,
                         const jobs::occurrence& occurrence,
                         std::uint32_t step,
                         bool all_tracked);

    // ---- report of stalled jobs (stalled_jobs.cpp)
    /// @brief A ready task of a job that has stood still although users are promised that it doesn't.
    struct stalled_task;
    void report_stalled_jobs(time_point now, std::int64_t day_ms, const jobs::store& state);
    [[nodiscard]] std::optional<stalled_task>
    find_stalled_task(time_point now, std::int64_t day_ms, const jobs::job& job);
    /// @brief Since when no worker has listed a run of the job.
    [[nodiscard]] time_point unlisted_since(time_point now, std::int64_t day_ms, const jobs::job& job);
    /// @brief Since when the occurrence is due; the epoch of a job without times.
    [[nodiscard]] static time_point
    due_since(time_point now, std::int64_t day_ms, const jobs::job& job, std::uint32_t occurrence);
    void note_used_pools(time_point now);
    /// @brief Whether the free workers of the pool could hold a task of the step, or its gang, twice.
    [[nodiscard]] bool fits_twice(time_point now, const ready_step& step);
    [[nodiscard]] wait_cause
    cause_of_stall(time_point now, const jobs::job& job, const jobs::task_name& name) const;
    /// @brief For how long the task has waited for a worker without another suspect, in ms; 0: it doesn't.
    [[nodiscard]] std::int64_t isolation_wait_ms(time_point now, const jobs::task_name& name) const;
    [[nodiscard]] logging::event describe(time_point now, const stalled_task& task);

    // ---- own load of serving tasks (own_load.cpp)
    void record_own_load(time_point now, worker_view& worker);
    [[nodiscard]] static bool may_be_at_work(const run_view& filler) noexcept;
    [[nodiscard]] static bool is_over_by_own_load(time_point now, const run_view& serving);
    static void update_over_target(time_point now, run_view& serving);
    [[nodiscard]] static double slack_without_fillers(time_point now, const run_view& serving);
    [[nodiscard]] static double slack_to_leave(time_point now, const run_view& serving);

    // ---- pace of fillers (pace.cpp)
    void adjust_pace(time_point now, worker_view& worker);
    [[nodiscard]] static double slack_of(const run_view& serving);
    void enforce_target(time_point now, worker_view& worker);
    void update_reference_slacks();
    void collect_reference_slack(const run_view& serving);
    static void compute_reference_slacks(step_stats& siblings);
    [[nodiscard]] double slack_loss_of(const run_view& serving) const;
    [[nodiscard]] bool is_disturbed(time_point now, const run_view& serving) const;
    void learn_interference(const worker_view& worker);
    [[nodiscard]] double spare_slack_beside(time_point now, const worker_view& worker) const;
    void throttle_fillers(time_point now, worker_view& worker, const run_view& serving);
    void relax_throttling(time_point now, worker_view& worker, double spare_slack);
    void order_pace(time_point now, run_view& run, dispatch_output& out);
    void stop_unknown_runs(dispatch_output& out);

    dispatch_options options_;
    overload_controller overload_;
    std::uint64_t term_ = 0;
    time_point leading_since_{};
    time_point earlier_lease_end_{}; // earlier leaders have decided on no order later
    time_point decided_at_{};        // time of the previous decision
    std::map<fleet::worker_life, worker_view> workers_;
    // Index of `workers_` for lookups by answer, without the string comparisons of the tree.
    std::unordered_map<fleet::worker_life, worker_view*, fleet::worker_life_hash> worker_by_life_;
    // The workers in order of their lives, for iteration: tree nodes are scattered in memory.
    std::vector<worker_view*> worker_list_;
    bool worker_list_stale_ = true;
    std::map<std::string, std::set<fleet::worker_life>> lives_at_; // lives announced at each address
    std::map<jobs::run_name, run_view> runs_;
    actionable_runs actionable_;     // the only runs that a decision visits; all others need no order
    std::uint64_t changes_ = 0;      // count of changes to workers that are relevant to placement
    worker_changes changed_workers_; // the latest change first
    std::map<jobs::task_name, std::set<fleet::worker_life>> failed_on_; // where a task has failed
    std::set<jobs::task_name> copy_wanted_;
    std::size_t reserved_worker_count_ = 0; // at the last placement, for lasting tasks that lost their worker
    std::map<step_id, blocked_step> blocked_steps_; // steps that no worker could take at the last placement
    std::map<std::pair<jobs::job_id, std::uint32_t>, boost::intrusive_ptr<step_stats>> steps_; // by job, step
    std::map<jobs::job_id, std::int64_t>
        cancelled_at_ms_; // cancelled jobs with runs that may still be running
    std::vector<jobs::run_ended> pending_ends_;
    std::set<jobs::job_id> begun_jobs_; // jobs with a task begun by a worker, to be recorded
    time_point begun_due_{};            // when these are recorded even without anything else to record
    std::vector<std::pair<fleet::worker_life, jobs::run_name>>
        unknown_runs_; // listed by workers but unknown here
    std::map<std::uint64_t, round_proposal> in_flight_;
    std::uint64_t next_round_ = 1;
    std::uint64_t placements_ = 0;
    std::size_t starts_limit_ = 0;      // of the current placement, for the step being placed
    worker_index index_;                // of the current placement
    std::vector<worker_view*> granted_; // workers that the current placement has given tasks to
    std::map<image_number, std::int64_t>
        min_filler_cpu_milli_;              // smallest need among waiting fillers, by image
    std::set<std::string> evacuated_zones_; // as of evacuation_version_
    std::uint64_t evacuation_version_ = 0;  // jobs::store::evacuation_version()
    std::uint64_t placed_revision_ = ~std::uint64_t{0};
    time_point next_placement_at_{};
    time_point next_filler_placement_at_{};
    std::set<fleet::worker_life> unrenewed_; // in the latest record, committed or not
    time_point unrenewed_checked_at_{};
    bool unrenewed_in_flight_ = false;
    bool unrenewed_record_failed_ = false;
    bool unrenewed_recheck_ = false; // one of them has answered
    bool considers_fillers_ = true;  // whether the last placement placed fillers
    time_point next_watch_at_{};
    time_point next_sweep_at_{};
    time_point next_summary_at_{};
    time_point next_cleaning_at_{};
    std::array<time_point, work_kind_count> next_wait_reason_at_{};
    time_point next_placement_report_at_{};
    time_point next_wait_report_at_{};
    job_idle_times job_idle_times_;
    longest_waits longest_waits_;                   // since the last report
    std::map<step_key, time_point> unplaced_since_; // steps with a task without a run, as of that report
    listed_runs listed_runs_;
    time_point next_forget_at_{};
    time_point next_record_at_{}; // of the next record of learned effects
    bool capacity_changed_ = true;
    std::map<std::string, pool_headroom> headroom_by_pool_;
    time_point next_demand_update_at_{};
    step_duration_predictor duration_predictor_;
    bool ignore_set_aside_ = false; // so many workers are set aside that their capacity is needed
    interference interference_;
    recent_crashes recent_crashes_;
    retry_backoff retry_backoff_;
    early_ends early_ends_;                     // where starts had no effect
    std::map<jobs::task_name, int> slow_moves_; // moves as a straggler or stalled run
    std::map<jobs::task_name, time_point>
        isolation_wait_since_; // suspects whose best worker ran another one that hadn't survived its start
    double undisturbed_slack_; // lower envelope of the slack of serving tasks without fillers beside them
    std::vector<logging::event> events_;
    dispatch_counts counts_;
    placement_counts window_; // since the last report
    stage_delays stage_delays_;
};

} // namespace plumspoke::dispatch
