#pragma once

/// @file
/// @brief A leader's view of one worker's life and of one run: soft state, discarded with its term.

#include "plumspoke/dispatch/interference.hpp"
#include "plumspoke/dispatch/orders.hpp"
#include "plumspoke/dispatch/worker_clock.hpp"
#include "plumspoke/dispatch/worker_index.hpp"
#include "plumspoke/fleet/announcement.hpp"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <set>
#include <vector>

namespace plumspoke::dispatch
{

/// @brief The stage of a run as known to this leader.
enum class run_stage : std::uint8_t
{
    proposed,  // its record is not committed yet, and no order was sent
    ordered,   // an order was sent
    running,   // the worker has confirmed it
    inherited, // an earlier leader may have ordered it
    ending,    // its end is being recorded
};

/// @brief Links a run into a list; destroying the run unlinks it.
using run_hook =
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// @brief Statistics of the tasks of one step of a job over all its occurrences.
struct step_stats : boost::intrusive_ref_counter<step_stats, boost::thread_unsafe_counter>
{
    int done = 0;
    double mean_ms = 0;           // of the durations of its finished tasks
    double longest_ms = 0;        // of these durations
    time_point last_end_at{};     // when the latest record of an end was committed
    double reference_slack = 0;   // current slack of its least disturbed serving tasks
    double filler_free_slack = 0; // slack that its serving tasks would have without fillers beside them
    double typical_undisturbed_slack =
        0; // upper median of those without fillers beside them; 0: there are none
    bool has_undisturbed_siblings =
        false; // some have no fillers beside them, so both figures above are measured, not estimated
    // Slacks of its serving tasks from which the figures above are computed: as measured, without the known
    // effects of the fillers beside them, and of those without fillers beside them.
    std::vector<double> slacks;
    std::vector<double> filler_free_slacks;
    std::vector<double> undisturbed_slacks;
};

struct worker_view;

/// @brief Links a worker into a list; destroying the worker unlinks it.
using change_hook =
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// @brief One run on one worker.
struct run_view
{
    run_hook worker_hook;     // in worker_view::runs
    run_hook actionable_hook; // in dispatcher::actionable_

    jobs::run_name name;
    fleet::worker_life worker;
    run_stage stage = run_stage::proposed;
    jobs::resources needs;
    bool filler = false;
    bool lasting = false;
    bool serving = false;
    bool gang = false;
    std::uint32_t tail_target_ms = 0;
    std::string queue;
    std::uint32_t estimate_ms = 0; // the submitter's estimate; 0: none
    std::uint32_t step_tasks = 0;  // number of tasks in its step
    std::string image;
    image_number image_id = 0;
    bool copies_allowed = false;
    bool saves_progress = false;
    worker_view* on = nullptr; // outlives the run
    boost::intrusive_ptr<step_stats> siblings;

    bool start_unanswered = false; // a start order without an answer may still take effect
    bool start_in_flight = false;
    std::uint8_t starts_unsent = 0; // orders that were never written
    int starts_sent = 0;            // including one in flight
    jobs::crash_evidence evidence;  // of its task when the run was recorded
    time_point next_start_at{};
    time_point confirmed_at{}; // when the worker last confirmed that it runs
    // The worker's clock when it first confirmed the run, or later; the run has begun before.
    std::optional<std::int64_t> begun_clock_ms;
    time_point ran_until{}; // when the worker's report of its end was read

    bool stop_wanted = false;
    bool stop_in_flight = false;
    int stops_sent = 0; // by this leader
    time_point first_stop_at{};
    time_point next_stop_at{};
    std::optional<time_point> stop_acknowledged_at;
    bool stop_unconfirmed = false; // acknowledged, but no poll has shown its effect: to be sent again
    jobs::run_end end_if_absent = jobs::run_end::stopped;
    jobs::crash_sign pending_crash_sign =
        jobs::crash_sign::none; // sign for its end, from an earlier life on which it may have begun

    time_point added_at{}; // time of the last decision before it was proposed or taken over
    time_point granted_at{};
    time_point recorded_at{}; // when its record was committed or taken over
    time_point started_at{};
    time_point end_read_at{};
    std::int64_t percent = 0;
    time_point progress_at{}; // when the percentage last increased
    std::int64_t first_percent = -1;
    time_point first_percent_at{};
    std::string saved;
    std::int64_t measured = 0;

    std::uint32_t pace_percent = 100; // as last acknowledged by the worker
    std::uint32_t wanted_pace = 100;
    bool inherited = false; // recorded under an earlier leader
    bool pace_in_flight = false;
    bool pace_unknown = false; // an earlier leader may have set another pace
    time_point next_pace_at{};
    time_point slowed_since{};                   // when it was last slowed from a working pace
    std::optional<time_point> over_target_since; // of a serving run, while fillers may be the cause
    bool measured_alone = false;                 // no filler was at work during its latest report
    double alone_slack = 0;                      // of the latest report during which none was
    time_point alone_at{};                       // when that report arrived
};

/// @brief The runs of one worker.
using worker_runs =
    boost::intrusive::list<run_view,
                           boost::intrusive::member_hook<run_view, run_hook, &run_view::worker_hook>,
                           boost::intrusive::constant_time_size<false>>;

/// @brief Runs that may need an order.
using actionable_runs =
    boost::intrusive::list<run_view,
                           boost::intrusive::member_hook<run_view, run_hook, &run_view::actionable_hook>,
                           boost::intrusive::constant_time_size<false>>;

/// @brief Makes a proposed run of one task with the properties of its step.
[[nodiscard]] run_view
make_run_view(const jobs::run_name& name, const fleet::worker_life& worker, const jobs::job& job);

/// @brief One life of a worker.
struct worker_view
{
    explicit worker_view(double slowest_clock) : clock(slowest_clock)
    {
    }

    fleet::announcement info;
    time_point announced_at{};
    worker_runs runs;
    std::uint64_t changed =
        0; // the dispatcher's change counter at the last change that is relevant to placement
    change_hook changed_hook; // in dispatcher::changed_workers_
    std::size_t row = no_row; // in the rows of the current placement's index, once these are filled
    colocation_summary colocation;
    bool reserved = false;  // for a lasting task that lost its worker, as of the last placement
    bool evacuated = false; // its availability zone is: no task may be started here
    bool granted = false;   // the current placement has granted it a task
    jobs::resources used;   // without the processors of fillers
    std::int64_t filler_cpu_milli = 0;
    std::int64_t serving_cpu_milli = 0; // reserved by serving tasks, which use a part of it
    std::int64_t lasting_cpu_milli = 0; // reserved by lasting tasks, serving or not

    worker_clock clock;
    std::int64_t latest_clock_ms = 0; // the highest reading of its clock in any answer
    std::int64_t lease_sent_ms = 0;   // latest lease end in any of our orders, on the worker's clock
    time_point lease_sent_at{};       // when the latest order with a lease was sent
    time_point first_lease_at{};      // when the first order with a lease was sent in this term
    duration max_lease_gap{};         // longest interval between two such orders since the last answered poll
    time_point answered_at{};         // when it last answered
    time_point poll_sent_at{};        // when the latest poll was sent
    time_point next_poll_at{};
    std::uint64_t ends_recorded = 0;
    std::uint64_t ends_proposed = 0;
    std::uint64_t ends_acknowledged = 0; // the worker has been told that these are recorded

    double failure_score = 0; // increases with failures and stalls, decreases with successes
    std::set<jobs::job_id> failing_jobs;
    time_point set_aside_until{};
    std::uint64_t tasks_done = 0;
    time_point no_room_until{};
    std::optional<time_point>
        departs_at; // when it ends, by its goodbye; without a response to that it may run on
    // When the lease that a late start for an earlier life may bring has lapsed.
    time_point late_starts_over_at{};
    time_point pace_changed_at{};
    time_point fillers_at_work_at{}; // the latest report at which a filler may have been at work

    // Of workers that the leader of the last term hadn't renewed: when all leaders that may have done so had
    // lost their lease, and since when a leader has waited for an answer.
    std::optional<time_point> earlier_lease_end;
    std::optional<time_point> awaited_since;

    bool announced = false;          // false: known only from recorded runs
    bool contacted = false;          // it has answered this leader, so older fencing tokens have no effect
    bool has_inherited_runs = false; // an earlier leader may have sent it a lease
    bool poll_in_flight = false;
    bool life_ended = false; // it crashed or left; late messages of it are ignored
    int serving_runs = 0;
    int suspects = 0;          // runs of tasks under which a worker has crashed
    int critical_suspects = 0; // of these, runs of tasks that are given up after one more blamed crash
    int unanswered_calls = 0;  // consecutive
    int times_set_aside = 0;
};

/// @brief Workers in the order of their changes.
using worker_changes = boost::intrusive::list<
    worker_view,
    boost::intrusive::member_hook<worker_view, change_hook, &worker_view::changed_hook>,
    boost::intrusive::constant_time_size<false>>;

/// @brief Whether the worker has announced that it leaves.
[[nodiscard]] inline bool is_leaving(const worker_view& worker) noexcept
{
    return worker.departs_at.has_value() || worker.info.is_leaving();
}

/// @brief Whether a worker has crashed during an earlier run of the task.
[[nodiscard]] constexpr bool is_suspect(const jobs::crash_evidence& evidence) noexcept
{
    return evidence.crashes > 0;
}

/// @brief Whether one more crash without another explanation would make the task be given up.
[[nodiscard]] constexpr bool is_critical_suspect(const jobs::crash_evidence& evidence) noexcept
{
    return evidence.blamed + 1 >= jobs::crash_evidence::max_blamed;
}

/// @brief Whether the worker has confirmed to this leader that the run has begun.
[[nodiscard]] inline bool was_confirmed(const run_view& run) noexcept
{
    return run.confirmed_at != time_point{};
}

/// @brief Whether the worker has confirmed that the run has begun, and no end of it is known or wanted.
[[nodiscard]] inline bool is_at_work(const run_view& run) noexcept
{
    return run.stage == run_stage::running && !run.stop_wanted;
}

/// @brief A copy of the state of the contact with a worker, for log lines.
struct contact_snapshot
{
    time_point answered_at{};
    time_point lease_sent_at{};
    time_point first_lease_at{};
    time_point poll_sent_at{};
    duration max_lease_gap{};
    int unanswered_calls = 0;
    bool contacted = false;
    bool announced = false;
    bool poll_in_flight = false;
};

[[nodiscard]] contact_snapshot make_contact_snapshot(const worker_view& worker);

} // namespace plumspoke::dispatch
