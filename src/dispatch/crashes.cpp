/// @file
/// @brief Workers whose life is over: which of the tasks there a crash is blamed on, and where a suspect
/// runs.
///
/// A crash takes all runs of a worker along, and one of them at most is its cause. What sets it apart:
/// - a task that was blamed before is blamed alone; those beside it are not;
/// - a run is not blamed that its worker hasn't confirmed to this leader;
/// - nobody is blamed where the address crashed before in the last minute, or a fifth of all workers at once;
///   of a widespread crash a run isn't even counted that its worker had listed long after the start.
///   One whose start was never answered is counted: a worker that crashes by it often doesn't answer;
/// - suspects are kept apart from each other and from addresses that crashed, so that a second crash tells
///   which of them it followed.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

// For the choice of a suspect's worker, in thousandths of a core as all points; each more than the
// differences in free processors on a worker of 64.
constexpr double beside_suspect_cost = 240'000;
constexpr double crashed_address_cost = 120'000;
constexpr double beside_lasting_cost = 60'000; // they would be away until they have started again
constexpr double silence_cost = 60'000; // for a second without an answer: an order to a dead worker counts
// What a suspect waits for a worker without another one. A new leader knows its workers after 1.1 s; a
// job that has nothing running for 3 s counts as stuck.
constexpr auto isolation_timeout = milliseconds(1500);
// Workers announce themselves about once a second: two announcements missed, and something for their way.
constexpr auto heard_within = milliseconds(2500);

bool is_leaving(const worker_view& of)
{
    return of.over_at.has_value() || of.info.is_leaving();
}

std::vector<jobs::crash_evidence> evidence_of(const worker_runs& runs)
{
    std::vector<jobs::crash_evidence> out;
    for (const run_view& run : runs)
    {
        out.push_back(run.evidence);
    }
    return out;
}

/// @brief Whether a start of the run may yet be carried out, seconds late, by whoever has its worker's id
/// then.
bool may_begin_late(const run_view& of)
{
    return of.starts_sent > 0 && (of.start_in_flight || of.start_unanswered);
}

/// @brief Whether the run's start may have reached its worker.
bool may_have_begun(const run_view& of)
{
    return of.stage != run_stage::ordered || of.starts_sent > 0;
}

} // namespace

std::string_view to_string(life_end value) noexcept
{
    return value == life_end::crash ? "another life answers in its place" : "said goodbye";
}

void dispatcher::end_life(time_point now,
                          worker_view& of,
                          life_end how,
                          const std::optional<fleet::worker_life>& next)
{
    // Of a life that this leader knows from a late announcement alone, nothing can have crashed now.
    const bool was_there = of.contacted || !of.runs.empty();
    const bool crashed = how == life_end::crash && !is_leaving(of) && was_there;
    if (!of.life_over)
    {
        events_.push_back(logging::event("dispatch", "worker_over", "A worker's life is over.")
                              .with("worker", of.info.life.id)
                              .with("born_ms", of.info.life.born_ms)
                              .with("address", of.info.address)
                              .with("reason", to_string(how))
                              .with("crashed", crashed ? 1 : 0)
                              .with("next_born_ms", next.has_value() ? next->born_ms : 0)
                              .with("runs", static_cast<std::int64_t>(of.runs.size())));
    }
    run_names to_next;
    run_names* const late = next.has_value() ? &to_next : nullptr;
    if (crashed)
    {
        end_crashed(now, of, late);
    }
    else
    {
        end_lost(now, of, late);
    }
    for (const jobs::run_name& name : to_next)
    {
        (void)meet_worker(*next, of.info.address);
        move_to_life(name, *next);
    }
    close_life(of);
}

void dispatcher::end_lost(time_point now, worker_view& of, run_names* to_next)
{
    for (run_view& run : of.runs)
    {
        if (run.stage != run_stage::proposed) // else its record comes back; the order then finds no worker
        {
            write_off(now, run, jobs::run_end::lost, jobs::crash_sign::none, to_next);
        }
    }
}

void dispatcher::close_life(worker_view& of)
{
    of.life_over = true;
    of.announced = false;
    of.contacted = false; // an announcement that was held up on its way has to be borne out by an answer
    of.hold_in_flight = false;
    of.next_hold_at = time_point::max();
    of.ends_noted = of.ends_proposed;
    of.ends_told = of.ends_proposed;
    of.over_at.reset();
    room_changed_ = true;
    note_changed(of);
}

// A start that is carried out late would find the next life under the same id willing: there the run is shut
// out before its task goes elsewhere.
void dispatcher::write_off(
    time_point now, run_view& of, jobs::run_end how, jobs::crash_sign sign, run_names* to_next)
{
    if (to_next == nullptr || of.stage == run_stage::ending || !may_begin_late(of))
    {
        end_run(now, of, how, of.saved, sign);
        return;
    }
    of.crash_if_ended = std::max(of.crash_if_ended, sign);
    of.stop_in_flight = false;
    of.stop_acknowledged_at.reset();
    shut_out(now, of, how);
    to_next->push_back(of.name);
}

// Those that are still silent count too: a rack that crashes comes back one worker after the other.
bool dispatcher::is_widespread(time_point now)
{
    const std::span<worker_view* const> all = all_workers();
    const auto silent =
        std::count_if(all.begin(),
                      all.end(),
                      [this](const worker_view* of)
                      {
                          return !of->life_over && of->silent_calls > options_.max_silent_calls;
                      });
    return recent_crashes_.is_widespread(now, static_cast<std::size_t>(silent), all.size());
}

void dispatcher::end_crashed(time_point now, worker_view& of, run_names* to_next)
{
    const bool widespread = is_widespread(now);
    const bool other_cause = widespread || recent_crashes_.had_one(now, of.info.address);
    const std::optional<std::uint32_t> blamed_before =
        other_cause ? std::nullopt : jobs::max_prior_blame(evidence_of(of.runs));
    for (run_view& run : of.runs)
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
        // An order that nobody answered was often sent to a worker that had crashed already.
        const bool blamed = was_confirmed(run) && run.evidence.blamed == blamed_before;
        const bool innocent = widespread && run.outlived_start;
        const jobs::crash_sign unexplained = blamed ? jobs::crash_sign::blamed : jobs::crash_sign::counted;
        const jobs::crash_sign sign = innocent ? jobs::crash_sign::none : unexplained;
        write_off(now, run, jobs::run_end::crashed, sign, to_next);
    }
    if (!of.life_over)
    {
        ++counts_.workers_crashed;
        recent_crashes_.note(now, of.info.address);
    }
}

jobs::crash_sign dispatcher::sign_of_lapse(time_point now, const run_view& of, bool widespread) const
{
    const bool sent = may_have_begun(of);
    const bool innocent = widespread && of.outlived_start;
    return sent && !innocent && is_unheard(now, *of.on) ? jobs::crash_sign::counted : jobs::crash_sign::none;
}

bool dispatcher::is_unheard(time_point now, const worker_view& of)
{
    return !of.announced || of.announced_at + heard_within < now;
}

// Load that it answers: the ten tasks of a worker that crashed, and a leader that knows only one usable
// worker yet. All of them went there together, crash after crash, and were blamed alike.
bool dispatcher::waits_apart(time_point now, const jobs::task_name& suspect, const worker_view& best)
{
    if (best.suspects == 0)
    {
        apart_since_.erase(suspect);
        return false;
    }
    const auto waiting = apart_since_.try_emplace(suspect, now).first;
    if (now < waiting->second + isolation_timeout)
    {
        return true;
    }
    apart_since_.erase(waiting);
    return false;
}

double dispatcher::crash_risk_cost(time_point now, const worker_view& of) const
{
    return beside_suspect_cost * of.suspects +
           (recent_crashes_.had_one(now, of.info.address) ? crashed_address_cost : 0) +
           (of.lasting_cpu_milli > 0 ? beside_lasting_cost : 0) +
           silence_cost * std::chrono::duration<double>(now - of.answered_at).count();
}

} // namespace plumspoke::dispatch
