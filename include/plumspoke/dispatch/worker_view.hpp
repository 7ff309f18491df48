#pragma once

/// @file
/// @brief What a leader knows of one worker's life and of one run: soft state, lost with its term.

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

/// @brief How far a run has come, as far as this leader knows.
enum class run_stage : std::uint8_t
{
    proposed,  // its record is not committed yet; no order was sent
    ordered,   // an order was sent
    running,   // the worker has confirmed it
    inherited, // an earlier leader may have ordered it
    ending,    // its end is being recorded
};

/// @brief Links a run into a list; a run that is removed leaves its lists by itself.
using run_hook =
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// @brief What is known of the tasks of one step of a job, over all its occurrences.
struct step_stats : boost::intrusive_ref_counter<step_stats, boost::thread_unsafe_counter>
{
    int done = 0;
    double mean_ms = 0;       // how long its finished tasks took
    double longest_ms = 0;    // the longest of them
    time_point last_end_at{}; // when the last record of an end was committed
    double sibling_slack = 0; // what its least disturbed serving tasks have now
    double own_slack = 0;     // what its serving tasks would have with no filler beside them
    bool has_calm_siblings =
        false; // some have none beside them now: both figures are measured, not estimated
    // Of its serving tasks, while the figures above are computed: measured, without the known effects of the
    // fillers beside them, and of those that have none beside them.
    std::vector<double> slacks;
    std::vector<double> own_slacks;
    std::vector<double> calm_slacks;
};

struct worker_view;

/// @brief One run on one worker.
struct run_view
{
    run_hook on_worker; // in worker_view::runs
    run_hook attended;  // in the list of runs that may need an order

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
    std::uint32_t estimate_ms = 0; // the submitter's guess
    std::uint32_t step_tasks = 0;  // of its step
    std::string image;
    image_number image_id = 0;
    bool copies_allowed = false;
    bool saves_progress = false;
    worker_view* on = nullptr; // outlives the run
    boost::intrusive_ptr<step_stats> siblings;

    bool start_unanswered = false; // a start order may still take effect
    bool start_in_flight = false;
    bool outlived_start = false; // its worker has listed it long after a crash by its start
    int starts_sent = 0;
    jobs::crash_evidence evidence; // of its task, as of the record
    time_point next_start_at{};
    time_point confirmed_at{}; // when the worker last confirmed that it is there

    bool stop_wanted = false;
    bool stop_in_flight = false;
    int stops_sent = 0; // by this leader
    time_point first_stop_at{};
    time_point next_stop_at{};
    std::optional<time_point> stop_acknowledged_at;
    bool stop_unreported = false; // acknowledged, and no poll has told of its effect: to be sent again
    jobs::run_end end_if_absent = jobs::run_end::stopped;
    jobs::crash_sign crash_if_ended = jobs::crash_sign::none; // of an earlier life that it may have begun on

    time_point added_at{}; // at the last decision before it was proposed or taken over
    time_point granted_at{};
    time_point recorded_at{}; // when its record was committed, or taken over
    time_point started_at{};
    time_point end_read_at{};
    std::int64_t percent = 0;
    time_point progress_at{}; // when the percent last grew
    std::int64_t first_percent = -1;
    time_point first_percent_at{};
    std::string saved;
    std::int64_t measured = 0;

    std::uint32_t pace_percent = 100; // as last acknowledged
    std::uint32_t wanted_pace = 100;
    bool inherited = false; // begun under an earlier leader
    bool pace_in_flight = false;
    bool pace_unknown = false; // an earlier leader may have set another one
    time_point next_pace_at{};
    time_point paced_since{};                    // when it was last slowed from a working pace
    std::optional<time_point> over_target_since; // of a serving run
};

/// @brief The runs of one worker.
using worker_runs =
    boost::intrusive::list<run_view,
                           boost::intrusive::member_hook<run_view, run_hook, &run_view::on_worker>,
                           boost::intrusive::constant_time_size<false>>;

/// @brief Runs that may need an order.
using attended_runs =
    boost::intrusive::list<run_view,
                           boost::intrusive::member_hook<run_view, run_hook, &run_view::attended>,
                           boost::intrusive::constant_time_size<false>>;

/// @brief A proposed run of one task of a step, with what the dispatcher needs to know of the step.
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
    std::uint64_t changed = 0; // the dispatcher's count when last something changed that a placement looks at
    runs_digest digest;
    bool held = false;    // its room is kept for urgent tasks, as of the last placement
    bool granted = false; // the present placement has given it a task
    jobs::resources used; // without the processors of fillers
    std::int64_t filler_cpu_milli = 0;
    std::int64_t serving_cpu_milli = 0; // reserved; what serves uses a part of it
    std::int64_t lasting_cpu_milli = 0; // reserved by lasting tasks, serving or not

    worker_clock clock;
    std::int64_t lease_sent_ms = 0; // the latest time on the worker's clock that any of our orders named
    time_point lease_sent_at{};     // when the latest order with a lease was handed out
    time_point first_lease_at{};    // when the first order of this term with a lease was handed out
    duration lease_gap{};           // longest between two such orders since it last answered a poll
    time_point answered_at{};       // when it last answered
    time_point hold_sent_at{};      // when the latest poll was handed out
    time_point next_hold_at{};
    std::uint64_t ends_noted = 0;
    std::uint64_t ends_proposed = 0;
    std::uint64_t ends_told = 0; // the worker has been told that these are noted

    double blame = 0; // grows with failures and standstills there, shrinks with successes
    std::set<jobs::job_id> blamed_by;
    time_point set_aside_until{};
    std::uint64_t tasks_done = 0;
    time_point no_room_until{};
    std::optional<time_point> over_at; // it has said goodbye: nothing of it runs from then on
    time_point pace_changed_at{};

    bool announced = false;     // false: known only from recorded runs
    bool contacted = false;     // it has answered this leader, so older fencing tokens have no effect
    bool has_inherited = false; // until contacted: runs of an earlier leader may be leased
    bool hold_in_flight = false;
    bool life_over = false; // it crashed or left: what is told late changes nothing
    int serving_runs = 0;
    int suspects = 0;       // runs of tasks under which a worker has crashed
    int prime_suspects = 0; // of these, runs of tasks of which one more crash is enough
    int silent_calls = 0;   // in a row
    int times_set_aside = 0;
};

/// @brief Whether a worker has crashed under an earlier run of its task.
[[nodiscard]] constexpr bool is_suspect(const jobs::crash_evidence& of) noexcept
{
    return of.crashes > 0;
}

/// @brief Whether one more crash that nothing else explains would be enough to give the task up.
[[nodiscard]] constexpr bool is_prime_suspect(const jobs::crash_evidence& of) noexcept
{
    return of.blamed + 1 >= jobs::crash_evidence::max_blamed;
}

/// @brief Whether its worker has told this leader that the run has begun.
[[nodiscard]] inline bool was_confirmed(const run_view& of) noexcept
{
    return of.confirmed_at != time_point{};
}

/// @brief How the contact with a worker stands, for log lines.
struct contact_notes
{
    time_point answered_at{};
    time_point lease_sent_at{};
    time_point first_lease_at{};
    time_point hold_sent_at{};
    duration lease_gap{};
    int silent_calls = 0;
    bool contacted = false;
    bool announced = false;
    bool hold_in_flight = false;
};

[[nodiscard]] contact_notes note_contact_with(const worker_view& of);

} // namespace plumspoke::dispatch
