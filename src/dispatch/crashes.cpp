/// @file
/// @brief Ended lives of workers: which tasks a crash is attributed to, and isolation of suspects.
///
/// A crash ends all runs of a worker, and at most one of them is its cause. Rules of attribution:
/// - A task that was blamed before is blamed alone; the tasks beside it are not.
/// - A task crashes its worker by its start. A run that had survived its start is not blamed, and not even
///   counted where another one had not, or where more than a fifth of all workers crash at once.
/// - A run that its worker hasn't confirmed to this leader is not blamed. It is counted, since a worker that
///   crashes by a start often doesn't answer it.
/// - No task is blamed if the address has crashed within the last minute, or in such a widespread crash.
/// - A worker that was leaving is expected to go: without a goodbye, a run that it hasn't listed long after
///   the start is counted, and none is blamed.
/// - Suspects are separated from each other until they have survived their starts, and from crashed
///   addresses, so that a second crash identifies the task that it followed.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "start_survival.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

// Costs in the choice of a suspect's worker, in thousandths of a core like all scores. Each exceeds the
// differences in free processors between workers of 64 cores.
constexpr double beside_suspect_cost = 240'000;
constexpr double crashed_address_cost = 120'000;
constexpr double beside_lasting_cost = 60'000; // lasting tasks would be unavailable until restarted
constexpr double silence_cost =
    60'000; // per second without an answer: orders to dead workers count against a task
// How long a suspect waits for a worker without another suspect. A new leader knows its workers after 1.1 s,
// and a job without running tasks for 3 s counts as stuck.
constexpr auto isolation_timeout = milliseconds(1500);
// Workers announce themselves about once a second: allows two missed announcements and their delay.
constexpr auto announcement_limit = milliseconds(2500);

/// @brief Whether a start of the run may still be carried out seconds later, by the life that has the
/// worker's id then. The answer to a later attempt or a list tells nothing of an earlier attempt.
bool may_begin_later(const run_view& run)
{
    const bool sent_by_this_leader = run.starts_sent > 0 && (run.start_in_flight || run.start_unanswered);
    return sent_by_this_leader || run.stage == run_stage::inherited;
}

/// @brief The evidence of the runs by whose start their worker may have crashed.
std::vector<jobs::crash_evidence> evidence_of_starts(const worker_runs& runs)
{
    std::vector<jobs::crash_evidence> out;
    for (const run_view& run : runs)
    {
        if (may_have_crashed_worker(run))
        {
            out.push_back(run.evidence);
        }
    }
    return out;
}

/// @brief Whether a worker that had announced that it leaves may have crashed by the run's start instead.
bool may_have_crashed_leaver(const run_view& run)
{
    return may_have_begun(run) && !run.inherited && !has_survived_start(run) &&
           !run.on->departs_at.has_value();
}

} // namespace

std::string_view to_string(life_end_cause value) noexcept
{
    return value == life_end_cause::crash ? "another life answers in its place" : "said goodbye";
}

void dispatcher::end_life(time_point now,
                          worker_view& worker,
                          life_end_cause how,
                          const std::optional<fleet::worker_life>& next)
{
    // A life known only from a late announcement cannot have crashed now.
    const bool was_in_use = worker.contacted || !worker.runs.empty();
    const bool crashed = how == life_end_cause::crash && !is_leaving(worker) && was_in_use;
    if (!worker.life_ended)
    {
        events_.push_back(logging::event("dispatch", "worker_over", "The life of a worker has ended.")
                              .with("worker", worker.info.life.id)
                              .with("born_ms", worker.info.life.born_ms)
                              .with("address", worker.info.address)
                              .with("reason", to_string(how))
                              .with("crashed", crashed ? 1 : 0)
                              .with("next_born_ms", next.has_value() ? next->born_ms : 0)
                              .with("runs", static_cast<std::int64_t>(worker.runs.size())));
    }
    run_names moved_to_next;
    run_names* const to_fence = next.has_value() ? &moved_to_next : nullptr;
    if (crashed)
    {
        end_crashed_runs(now, worker, to_fence);
    }
    else
    {
        end_lost_runs(now, worker, to_fence);
    }
    for (const jobs::run_name& name : moved_to_next)
    {
        worker_view& next_worker = find_or_register_worker(*next, worker.info.address);
        const bool inherited = runs_.at(name).stage == run_stage::inherited;
        next_worker.has_inherited_runs = next_worker.has_inherited_runs || inherited;
        next_worker.late_starts_over_at = now + options_.max_order_delay + stretched(options_.max_lease);
        move_to_life(name, *next);
    }
    mark_life_ended(worker);
}

void dispatcher::end_lost_runs(time_point now, worker_view& worker, run_names* moved_to_next)
{
    for (run_view& run : worker.runs)
    {
        if (run.stage == run_stage::proposed)
        {
            continue; // its record is in flight; the order will find no worker
        }
        const jobs::crash_sign sign =
            may_have_crashed_leaver(run) ? jobs::crash_sign::counted : jobs::crash_sign::none;
        end_or_fence(now, run, jobs::run_end::lost, sign, moved_to_next);
    }
}

void dispatcher::mark_life_ended(worker_view& worker)
{
    worker.life_ended = true;
    worker.announced = false;
    worker.contacted = false; // a delayed announcement has to be confirmed by an answer
    worker.poll_in_flight = false;
    worker.next_poll_at = time_point::max();
    worker.ends_recorded = worker.ends_proposed;
    worker.ends_acknowledged = worker.ends_proposed;
    worker.departs_at.reset();
    capacity_changed_ = true;
    mark_changed(worker);
}

// The next life under the same id would carry out a delayed start, so the run is fenced there before its task
// is started elsewhere.
void dispatcher::end_or_fence(
    time_point now, run_view& run, jobs::run_end how, jobs::crash_sign sign, run_names* moved_to_next)
{
    if (moved_to_next == nullptr || run.stage == run_stage::ending || !may_begin_later(run))
    {
        end_run(now, run, how, run.saved, sign);
        return;
    }
    run.pending_crash_sign = std::max(run.pending_crash_sign, sign);
    run.stop_in_flight = false;
    run.stop_acknowledged_at.reset();
    fence_run(now, run, how);
    moved_to_next->push_back(run.name);
}

// Silent workers count too, since the workers of a crashed rack return one by one.
bool dispatcher::is_widespread(time_point now)
{
    const std::span<worker_view* const> all = all_workers();
    const auto silent = std::count_if(all.begin(),
                                      all.end(),
                                      [this](const worker_view* worker)
                                      {
                                          return !worker->life_ended &&
                                                 worker->unanswered_calls > options_.max_unanswered_calls;
                                      });
    return recent_crashes_.is_widespread(now, static_cast<std::size_t>(silent), all.size());
}

void dispatcher::end_crashed_runs(time_point now, worker_view& worker, run_names* moved_to_next)
{
    const bool widespread = is_widespread(now);
    const bool other_cause = widespread || recent_crashes_.crashed_recently(now, worker.info.address);
    const std::vector<jobs::crash_evidence> starts = evidence_of_starts(worker.runs);
    const std::optional<std::uint32_t> blamed_before =
        other_cause ? std::nullopt : jobs::max_prior_blame(starts);
    for (run_view& run : worker.runs)
    {
        if (run.stage == run_stage::proposed)
        {
            continue;
        }
        if (!may_have_begun(run))
        {
            end_run(now, run, jobs::run_end::not_begun, run.saved);
            continue;
        }
        // An unanswered order was often sent to a worker that had already crashed.
        const bool survived = has_survived_start(run);
        const bool blamed = was_confirmed(run) && !survived && run.evidence.blamed == blamed_before;
        const bool not_at_fault = survived && (widespread || !starts.empty());
        const jobs::crash_sign unexplained = blamed ? jobs::crash_sign::blamed : jobs::crash_sign::counted;
        const jobs::crash_sign sign = not_at_fault ? jobs::crash_sign::none : unexplained;
        end_or_fence(now, run, jobs::run_end::crashed, sign, moved_to_next);
    }
    if (!worker.life_ended)
    {
        ++counts_.workers_crashed;
        recent_crashes_.record(now, worker.info.address);
    }
}

jobs::crash_sign
dispatcher::crash_sign_of_lapse(time_point now, const run_view& run, bool has_likelier_cause) const
{
    const bool sent = may_have_begun(run);
    const bool not_at_fault = has_likelier_cause && has_survived_start(run);
    const bool vanished =
        has_vanished(now, *run.on) && (!is_leaving(*run.on) || may_have_crashed_leaver(run));
    return sent && !not_at_fault && vanished ? jobs::crash_sign::counted : jobs::crash_sign::none;
}

// An earlier leader's runs may end early in a term, when a live worker may still be on its way to be heard.
bool dispatcher::has_vanished(time_point now, const worker_view& worker) const
{
    const bool had_time = !worker.has_inherited_runs ||
                          now >= leading_since_ + stretched(options_.lease) + options_.lapse_margin;
    return had_time && is_announcement_overdue(now, worker);
}

bool dispatcher::is_announcement_overdue(time_point now, const worker_view& worker)
{
    return !worker.announced || worker.announced_at + announcement_limit < now;
}

// A leader may know only one usable worker yet when ten tasks of a crashed worker are waiting. Without the
// wait all of them would run together there, crash after crash, and be blamed alike.
bool dispatcher::waits_for_isolation(time_point now, const jobs::task_name& suspect, const worker_view& best)
{
    if (count_unproven_suspects(best) == 0)
    {
        isolation_wait_since_.erase(suspect);
        return false;
    }
    const auto waiting = isolation_wait_since_.try_emplace(suspect, now).first;
    if (now < waiting->second + isolation_timeout)
    {
        return true;
    }
    isolation_wait_since_.erase(waiting);
    return false;
}

double dispatcher::crash_risk_cost(time_point now, const worker_view& worker) const
{
    return beside_suspect_cost * static_cast<double>(count_unproven_suspects(worker)) +
           (recent_crashes_.crashed_recently(now, worker.info.address) ? crashed_address_cost : 0) +
           (worker.lasting_cpu_milli > 0 ? beside_lasting_cost : 0) +
           silence_cost * std::chrono::duration<double>(now - worker.answered_at).count();
}

} // namespace plumspoke::dispatch
