/// @file
/// @brief What a worker's answers tell about its runs.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "repeated_blame.hpp"
#include "run_lost_event.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

constexpr auto commit_timeout = milliseconds(400);  // for the record of ends; then the worker is asked again
constexpr auto unhealthy_pause = milliseconds(500); // an unhealthy worker is asked again after this
constexpr auto no_room_pause = milliseconds(150);   // a stop's room comes free within its time limit
constexpr auto first_pause = milliseconds(50);      // before a silent worker is asked again; doubles
constexpr int longest_pause_doublings = 3;
constexpr auto stop_timeout = milliseconds(1200); // a stop takes 900 ms at most, and a poll its way
constexpr double success_share = 0.5;             // of a worker's blame that is left after a success

bool lists(const worker_answer& got, const jobs::run_name& name)
{
    return std::any_of(got.running.begin(),
                       got.running.end(),
                       [&name](const running_row& row)
                       {
                           return row.name == name;
                       }) ||
           std::any_of(got.finished.begin(),
                       got.finished.end(),
                       [&name](const finished_row& row)
                       {
                           return row.name == name;
                       });
}

} // namespace

void dispatcher::answered(time_point now, const sent_order& sent, const worker_answer& got)
{
    if (!leading())
    {
        return;
    }
    std::visit(
        [&](const auto& one)
        {
            on(now, one, sent.sent_at, got);
        },
        sent.what);
}

worker_view* dispatcher::note_contact(time_point now, const recipient& to, const worker_answer& got)
{
    worker_view* of = find_worker(to.worker);
    if (of == nullptr)
    {
        return nullptr;
    }
    if (got.how == reply::other_life)
    {
        const bool told = got.born_ms.has_value();
        end_life(now,
                 *of,
                 life_end::crash,
                 told ? std::optional(fleet::worker_life{to.worker.id, *got.born_ms}) : std::nullopt);
        return nullptr;
    }
    if (got.how == reply::none)
    {
        return of;
    }
    if (got.clock_ms.has_value())
    {
        of->clock.observe(*got.clock_ms, now);
    }
    of->answered_at = now;
    return of;
}

void dispatcher::meet_other_life(time_point now, const recipient& asked, const worker_answer& got)
{
    if (asked.worker.born_ms == 0)
    {
        identify(asked, {asked.worker.id, *got.born_ms});
        return;
    }
    // A connection finds this out by itself, and sends nothing; whoever has none learns it here.
    worker_answer other;
    other.how = reply::other_life;
    other.born_ms = got.born_ms;
    (void)note_contact(now, asked, other);
}

// A record or a relay of an older release names no time of birth. Whoever answers to that id lists what is
// its own; what it doesn't list ends as that of a worker without an earlier life.
void dispatcher::identify(const recipient& asked, const fleet::worker_life& told)
{
    worker_view* unnamed = find_worker(asked.worker);
    if (unnamed == nullptr)
    {
        return;
    }
    worker_view& of = meet_worker(told, asked.address);
    of.has_inherited = of.has_inherited || unnamed->has_inherited;
    run_names all;
    for (const run_view& run : unnamed->runs)
    {
        all.push_back(run.name);
    }
    for (const jobs::run_name& name : all)
    {
        move_to_life(name, told);
    }
    unnamed->hold_in_flight = false;
    unnamed->announced = false;
    unnamed->ends_noted = unnamed->ends_proposed;
    room_changed_ = true;
}

void dispatcher::end_earlier_lives(time_point now, const worker_view& of, time_point sent_at)
{
    for (worker_view* other : other_lives(of.info.life))
    {
        const time_point last_heard = std::max(other->announced_at, other->answered_at);
        if (other->info.life.born_ms == 0)
        {
            identify(recipient_of(*other), of.info.life); // it may well be the same life
        }
        else if (!other->life_over && last_heard <= sent_at)
        {
            end_life(now, *other, life_end::crash, of.info.life);
        }
    }
}

// ---- holds -------------------------------------------------------------------------------------

void dispatcher::on(time_point now, const hold_order& sent, time_point sent_at, const worker_answer& got)
{
    const std::int64_t asked_born_ms = sent.to.worker.born_ms;
    if (got.how == reply::done && got.born_ms.value_or(asked_born_ms) != asked_born_ms)
    {
        meet_other_life(now, sent.to, got);
        return;
    }
    const worker_view* asked = find_worker(sent.to.worker);
    const contact_notes before = asked == nullptr ? contact_notes() : note_contact_with(*asked);
    worker_view* of = note_contact(now, sent.to, got);
    if (of == nullptr || (of->life_over && of->info.life.born_ms != 0))
    {
        return; // an answer that was on its way as the next life answered
    }
    of->hold_in_flight = false;
    if (got.how != reply::done)
    {
        ++counts_.holds_unanswered;
        of->next_hold_at = now + first_pause * (1 << std::min(of->silent_calls, longest_pause_doublings));
        ++of->silent_calls;
        if (of->silent_calls == options_.max_silent_calls + 1)
        {
            room_changed_ = true;
            note_changed(*of);
            events_.push_back(logging::event("dispatch", "worker_silent", "A worker doesn't answer.")
                                  .with("worker", of->info.life.id)
                                  .with("born_ms", of->info.life.born_ms)
                                  .with("answer", to_string(got.how))
                                  .with("runs", static_cast<std::int64_t>(of->runs.size())));
        }
        return;
    }
    if (of->silent_calls > 0 || !of->contacted)
    {
        room_changed_ = true;
    }
    if (!of->contacted)
    {
        end_earlier_lives(now, *of, sent_at);
    }
    of->silent_calls = 0;
    of->contacted = true;
    of->ends_told = std::max(of->ends_told, sent.ends_noted);
    of->next_hold_at = now;
    note_changed(*of); // its tasks' slack
    of->lease_gap = {};
    take_finished(now, *of, before, got);
    take_running(now, sent_at, *of, got);
    find_absent(now, *of, sent_at, got);
    watch_pace(now, *of);
    note_changed(*of); // its fillers' paces
}

void dispatcher::take_running(time_point now, time_point sent_at, worker_view& of, const worker_answer& got)
{
    for (const running_row& row : got.running)
    {
        run_view* run = find_run_on(of, row.name);
        if (run == nullptr || run->stage != run_stage::running)
        {
            note_begun(now, row.name);
        }
        if (run == nullptr || run->worker != of.info.life)
        {
            unknown_runs_.emplace_back(of.info.life, row.name);
            continue;
        }
        if (run->stage == run_stage::ordered || run->stage == run_stage::inherited)
        {
            run->stage = run_stage::running;
            run->started_at = now;
            run->progress_at = now;
            attend(*run);
        }
        run->start_unanswered = false;
        run->confirmed_at = now;
        // By when the poll was sent: answers may wait here for a leader that is late.
        run->outlived_start = run->outlived_start || sent_at >= run->started_at + options_.start_crash_limit;
        if (run->stop_acknowledged_at.has_value() && now > *run->stop_acknowledged_at + stop_timeout)
        {
            run->stop_acknowledged_at.reset(); // an acknowledgement is not yet the end
            attend(*run);
        }
        if (row.percent > run->percent)
        {
            run->progress_at = now;
        }
        if (run->first_percent < 0)
        {
            run->first_percent = row.percent;
            run->first_percent_at = now;
        }
        run->percent = row.percent;
        run->saved = row.saved;
        run->measured = row.measured;
    }
}

void dispatcher::take_finished(time_point now,
                               worker_view& of,
                               const contact_notes& before,
                               const worker_answer& got)
{
    for (const finished_row& row : got.finished)
    {
        // By its run, not by its number: passed over as read, an end would hold its task back for ever.
        run_view* run = find_run_on(of, row.name);
        if (row.number > of.ends_proposed)
        {
            of.ends_proposed = row.number;
            of.next_hold_at = now + commit_timeout;
            record_end_of_start(now, row, run);
        }
        if (run == nullptr || run->worker != of.info.life || run->stage == run_stage::ending)
        {
            continue; // recorded already, or written off after its lease had lapsed
        }
        note_quality(now, of, *run, row.how);
        if (row.how == jobs::run_end::lapsed)
        {
            end_lapsed_run(now, lapse_finder::worker, before, *run, row.saved, jobs::crash_sign::none);
            continue;
        }
        end_run(now, *run, row.how, row.saved);
    }
}

// A stop that came before its start may be listed as an end too: nothing has begun then.
void dispatcher::record_end_of_start(time_point now, const finished_row& row, const run_view* run)
{
    const bool was_listed = run != nullptr && was_confirmed(*run);
    if (row.how != jobs::run_end::stopped || was_listed)
    {
        note_begun(now, row.name);
        return;
    }
    events_.push_back(
        logging::event("dispatch", "stopped_unstarted", "A run was stopped that no answer had confirmed.")
            .with("job", row.name.task.job)
            .with("step", row.name.task.step)
            .with("index", row.name.task.index)
            .with("attempt", row.name.attempt)
            .with("known", run == nullptr ? 0 : 1));
}

void dispatcher::find_absent(time_point now, worker_view& of, time_point sent_at, const worker_answer& got)
{
    for (run_view& run : of.runs)
    {
        if (run.stage == run_stage::proposed || run.stage == run_stage::ending || lists(got, run.name))
        {
            continue;
        }
        const bool is_shut_out = run.stop_acknowledged_at.has_value() && *run.stop_acknowledged_at <= sent_at;
        if (run.stage == run_stage::inherited || is_shut_out)
        {
            // Orders of earlier leaders have no effect since this answer; a stopped run is rejected.
            const jobs::run_end how =
                run.stage == run_stage::inherited ? jobs::run_end::not_begun : run.end_if_absent;
            end_run(now, run, how, run.saved);
            continue;
        }
        const bool confirmed_before = run.stage == run_stage::running && run.confirmed_at < sent_at;
        if (confirmed_before && !run.stop_wanted)
        {
            // It was there and is gone without an end: shut it out before anything else is done.
            shut_out(now, run, jobs::run_end::lost);
        }
    }
}

// ---- starts, stops, paces ----------------------------------------------------------------------

void dispatcher::on(time_point now, const start_order& sent, time_point /*sent_at*/, const worker_answer& got)
{
    if (got.how == reply::done)
    {
        note_begun(now, sent.name);
    }
    worker_view* of = note_contact(now, sent.to, got);
    run_view* run = find_run(sent.name);
    if (of == nullptr || run == nullptr || run->worker != sent.to.worker)
    {
        return;
    }
    run->start_in_flight = false;
    if (run->stage == run_stage::ending)
    {
        return;
    }
    switch (got.how)
    {
    case reply::done:
        note_start_taken(now, *of, *run);
        return;
    case reply::none:
        note_start_unanswered(now, *run);
        return;
    case reply::expired:
        note_start_late(now, *run);
        return;
    case reply::fenced:
        run->next_start_at = now + options_.order_retry;
        return;
    case reply::no_room:
        ++counts_.starts_rejected_no_room;
        of->no_room_until = now + no_room_pause;
        break;
    case reply::unhealthy:
        ++counts_.starts_rejected_other;
        of->no_room_until = now + unhealthy_pause;
        blame(now, *of, run->name.task.job, 1, "rejects starts as unhealthy");
        break;
    case reply::superseded:
    case reply::no_ticket:
    case reply::malformed:
    case reply::other_life:
        ++counts_.starts_rejected_other;
        break;
    }
    note_start_rejected(now, *of, *run, got.how);
}

void dispatcher::note_start_taken(time_point now, worker_view& on, run_view& of)
{
    of.start_unanswered = false;
    if (of.stage == run_stage::ordered)
    {
        of.stage = run_stage::running;
        of.started_at = now;
        of.progress_at = now;
        attend(of);
        stage_delays_.record(kind_of(of.lasting, of.filler),
                             task_stage::start_order,
                             std::chrono::duration_cast<duration>(now - of.recorded_at));
    }
    of.confirmed_at = now;
    if (on.ends_proposed == on.ends_noted)
    {
        on.next_hold_at = std::min(on.next_hold_at, now);
    }
}

void dispatcher::note_start_unanswered(time_point now, run_view& of)
{
    ++counts_.starts_unanswered;
    of.start_unanswered = true;
    of.next_start_at = now + options_.order_retry;
    if (of.starts_sent >= options_.max_starts && of.stage == run_stage::ordered)
    {
        shut_out(now, of, jobs::run_end::not_begun); // the task goes elsewhere once that is done
    }
}

// What is known of the worker's clock may stay wrong: then each lease is over before it arrives.
void dispatcher::note_start_late(time_point now, run_view& of)
{
    of.next_start_at = now + options_.order_retry;
    if (of.starts_sent >= options_.max_late_starts)
    {
        shut_out(now, of, jobs::run_end::not_begun);
    }
}

void dispatcher::note_start_rejected(time_point now, worker_view& on, run_view& of, reply how)
{
    events_.push_back(logging::event("dispatch", "start_rejected", "A worker has rejected a start.")
                          .with("job", of.name.task.job)
                          .with("step", of.name.task.step)
                          .with("index", of.name.task.index)
                          .with("attempt", of.name.attempt)
                          .with("worker", on.info.life.id)
                          .with("born_ms", on.info.life.born_ms)
                          .with("reason", to_string(how)));
    if (of.start_unanswered || how == reply::superseded)
    {
        shut_out(now, of, jobs::run_end::not_begun);
        return;
    }
    end_run(now, of, jobs::run_end::not_begun, {});
}

void dispatcher::shut_out(time_point now, run_view& of, jobs::run_end end_if_absent)
{
    of.stop_wanted = true;
    of.end_if_absent = end_if_absent;
    of.next_stop_at = now;
    attend(of);
}

void dispatcher::on(time_point now, const stop_order& sent, time_point /*sent_at*/, const worker_answer& got)
{
    worker_view* of = note_contact(now, sent.to, got);
    run_view* run = find_run(sent.name);
    if (of == nullptr || run == nullptr)
    {
        return;
    }
    run->stop_in_flight = false;
    if (got.how == reply::done)
    {
        run->stop_acknowledged_at = run->stop_acknowledged_at.value_or(now);
        if (of->ends_proposed == of->ends_noted)
        {
            of->next_hold_at = now;
        }
    }
}

void dispatcher::on(time_point now, const pace_order& sent, time_point /*sent_at*/, const worker_answer& got)
{
    (void)note_contact(now, sent.to, got);
    run_view* run = find_run(sent.name);
    if (run == nullptr)
    {
        return;
    }
    run->pace_in_flight = false;
    if (got.how == reply::done)
    {
        run->pace_percent = sent.percent;
        run->pace_unknown = false;
        run->progress_at = now; // its speed from before says nothing any more
        return;
    }
    run->next_pace_at = now + options_.order_retry;
}

// ---- ends --------------------------------------------------------------------------------------

void dispatcher::end_run(
    time_point now, run_view& of, jobs::run_end how, const std::string& saved, jobs::crash_sign sign)
{
    if (of.stage == run_stage::ending)
    {
        return;
    }
    of.end_read_at = now;
    if (how == jobs::run_end::done && was_confirmed(of))
    {
        stage_delays_.record(kind_of(of.lasting, of.filler),
                             task_stage::run,
                             std::chrono::duration_cast<duration>(now - of.started_at));
    }
    note_end(of, how, saved, sign == jobs::crash_sign::none ? of.crash_if_ended : sign);
    note_setback(now, of, how);
    if (how != jobs::run_end::done && how != jobs::run_end::stopped)
    {
        events_.push_back(run_lost_event(now, of, how));
    }
}

bool dispatcher::has_lived(const run_view& of) const
{
    return was_confirmed(of) && of.confirmed_at >= of.started_at + options_.short_run;
}

// The first setback is answered at once: mostly it was the worker's.
void dispatcher::note_setback(time_point now, const run_view& ended, jobs::run_end how)
{
    if (has_lived(ended) || how == jobs::run_end::done)
    {
        retry_pauses_.forget(ended.name.task);
        return;
    }
    const bool failed_at_once = ended.lasting && how == jobs::run_end::failed;
    if (failed_at_once || how == jobs::run_end::not_begun)
    {
        retry_pauses_.note_setback(now, ended.name.task);
    }
}

void dispatcher::note_end(run_view& of, jobs::run_end how, const std::string& saved, jobs::crash_sign sign)
{
    of.stage = run_stage::ending;
    window_.of(kind_of(of.lasting, of.filler)).note_end(how);
    switch (how)
    {
    case jobs::run_end::done:
        ++counts_.ends_done;
        break;
    case jobs::run_end::failed:
        ++counts_.ends_failed;
        break;
    case jobs::run_end::lapsed:
        ++counts_.ends_lapsed;
        break;
    case jobs::run_end::lost:
        ++counts_.ends_lost;
        break;
    case jobs::run_end::crashed:
        ++counts_.ends_crashed;
        break;
    case jobs::run_end::not_begun:
        ++counts_.ends_not_begun;
        break;
    case jobs::run_end::stopped:
    case jobs::run_end::broken:
    case jobs::run_end::alone:
        ++counts_.ends_stopped;
        break;
    }
    const bool ran_long = was_confirmed(of) && of.confirmed_at >= of.started_at + options_.long_run;
    const jobs::crash_sign told = ran_long ? jobs::crash_sign::cleared : sign;
    pending_ends_.push_back({of.name, how, saved, told});
    jobs::crash_evidence evidence = of.evidence;
    evidence.add(told);
    if (evidence.exceeds_limit())
    {
        ++counts_.tasks_given_up;
        events_.push_back(task_given_up_event(of, evidence));
    }
}

void dispatcher::note_quality(time_point now, worker_view& of, const run_view& ended, jobs::run_end how)
{
    if (how == jobs::run_end::done)
    {
        ++of.tasks_done;
        of.blame *= success_share;
        const double took = std::chrono::duration<double, std::milli>(now - ended.started_at).count();
        step_stats& siblings = *ended.siblings;
        ++siblings.done;
        siblings.mean_ms += (took - siblings.mean_ms) / siblings.done;
        siblings.longest_ms = std::max(siblings.longest_ms, took);
        if (siblings.done == static_cast<int>(ended.step_tasks))
        {
            task_times_.observe(ended.queue, ended.estimate_ms, siblings.longest_ms);
        }
        return;
    }
    if (how != jobs::run_end::failed || ended.lasting)
    {
        return;
    }
    std::set<fleet::worker_life>& failed = failed_on_[ended.name.task];
    blame(now, of, ended.name.task.job, failed.empty() ? 1 : repeated_blame, "its tasks fail");
    failed.insert(of.info.life);
}

void dispatcher::blame(
    time_point now, worker_view& of, const jobs::job_id& job, double weight, std::string_view why)
{
    of.blame += weight;
    of.blamed_by.insert(job);
    const bool enough = of.blame >= options_.blame_limit && of.blamed_by.size() >= 2;
    if (!enough || now < of.set_aside_until || !is_on(mechanism::set_aside))
    {
        return;
    }
    of.times_set_aside = std::min(of.times_set_aside + 1, 3);
    of.set_aside_until = now + options_.set_aside * of.times_set_aside;
    of.blame = options_.blame_limit / 2; // on its return one more failure is enough
    ++counts_.workers_set_aside;
    events_.push_back(
        logging::event("dispatch", "worker_set_aside", "Nothing is placed on a worker for a while.")
            .with("worker", of.info.life.id)
            .with("reason", why)
            .with("times", of.times_set_aside));
}

} // namespace plumspoke::dispatch
