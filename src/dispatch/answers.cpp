/// @file
/// @brief Handling of workers' answers: contact, running and ended runs, results of orders.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "repeated_failure_weight.hpp"
#include "run_lost_event.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

constexpr auto commit_timeout = milliseconds(400);  // until the worker is polled again without a commit
constexpr auto unhealthy_pause = milliseconds(500); // no starts for an unhealthy worker
constexpr auto no_room_pause = milliseconds(150);   // a stop releases room within its time limit
constexpr auto initial_pause = milliseconds(50);    // before polling a silent worker again; doubles
constexpr int max_pause_doublings = 3;
constexpr auto stop_timeout = milliseconds(1200); // a stop takes at most 900 ms; the rest allows for the poll
constexpr double success_decay = 0.5;             // factor on a worker's failure score after a success

bool lists_run(const worker_answer& answer, const jobs::run_name& name)
{
    return std::any_of(answer.running.begin(),
                       answer.running.end(),
                       [&name](const running_row& row)
                       {
                           return row.name == name;
                       }) ||
           std::any_of(answer.finished.begin(),
                       answer.finished.end(),
                       [&name](const finished_row& row)
                       {
                           return row.name == name;
                       });
}

} // namespace

void dispatcher::answered(time_point now, const sent_order& sent, const worker_answer& answer)
{
    if (!leading())
    {
        return;
    }
    std::visit(
        [&](const auto& one)
        {
            on(now, one, sent.sent_at, answer);
        },
        sent.what);
}

worker_view* dispatcher::record_contact(time_point now, const recipient& to, const worker_answer& answer)
{
    worker_view* worker = find_worker(to.worker);
    if (worker == nullptr)
    {
        return nullptr;
    }
    if (answer.how == reply::other_life)
    {
        const bool is_identified = answer.born_ms.has_value();
        end_life(now,
                 *worker,
                 life_end_cause::crash,
                 is_identified ? std::optional(fleet::worker_life{to.worker.id, *answer.born_ms})
                               : std::nullopt);
        return nullptr;
    }
    if (answer.how == reply::none || answer.how == reply::unsent)
    {
        return worker;
    }
    if (answer.clock_ms.has_value())
    {
        worker->clock.observe(*answer.clock_ms, now);
        worker->latest_clock_ms = std::max(worker->latest_clock_ms, *answer.clock_ms);
    }
    worker->answered_at = now;
    return worker;
}

void dispatcher::handle_other_life(time_point now, const recipient& asked, const worker_answer& answer)
{
    if (asked.worker.born_ms == 0)
    {
        resolve_unnamed_life(asked, {asked.worker.id, *answer.born_ms});
        return;
    }
    // A connection detects another life itself and sends nothing; callers without one learn of it here.
    worker_answer other;
    other.how = reply::other_life;
    other.born_ms = answer.born_ms;
    (void)record_contact(now, asked, other);
}

// Records and relays of older releases contain no birth time. The life that answers under that id lists its
// own runs; runs that it doesn't list end like those of a worker without an earlier life.
void dispatcher::resolve_unnamed_life(const recipient& asked, const fleet::worker_life& named_life)
{
    worker_view* unnamed = find_worker(asked.worker);
    if (unnamed == nullptr)
    {
        return;
    }
    worker_view& worker = find_or_register_worker(named_life, asked.address);
    worker.has_inherited_runs = worker.has_inherited_runs || unnamed->has_inherited_runs;
    run_names all;
    for (const run_view& run : unnamed->runs)
    {
        all.push_back(run.name);
    }
    for (const jobs::run_name& name : all)
    {
        move_to_life(name, named_life);
    }
    unnamed->poll_in_flight = false;
    unnamed->announced = false;
    unnamed->ends_recorded = unnamed->ends_proposed;
    capacity_changed_ = true;
}

void dispatcher::end_earlier_lives(time_point now, const worker_view& worker, time_point sent_at)
{
    for (worker_view* other : other_lives(worker.info.life))
    {
        const time_point last_heard = std::max(other->announced_at, other->answered_at);
        if (other->info.life.born_ms == 0)
        {
            resolve_unnamed_life(recipient_of(*other), worker.info.life); // it may be the same life
        }
        else if (!other->life_ended && last_heard <= sent_at)
        {
            end_life(now, *other, life_end_cause::crash, worker.info.life);
        }
    }
}

// ---- polls -------------------------------------------------------------------------------------

void dispatcher::on(time_point now, const poll_order& sent, time_point sent_at, const worker_answer& answer)
{
    const std::int64_t asked_born_ms = sent.to.worker.born_ms;
    if (answer.how == reply::done && answer.born_ms.value_or(asked_born_ms) != asked_born_ms)
    {
        handle_other_life(now, sent.to, answer);
        return;
    }
    const worker_view* asked = find_worker(sent.to.worker);
    const contact_snapshot before = asked == nullptr ? contact_snapshot() : make_contact_snapshot(*asked);
    worker_view* worker = record_contact(now, sent.to, answer);
    if (worker == nullptr)
    {
        return;
    }
    if (worker->life_ended && worker->info.life.born_ms != 0)
    {
        const bool asked_since = worker->poll_in_flight && sent_at >= worker->poll_sent_at;
        if (!asked_since)
        {
            return; // an answer that was in flight when the next life answered
        }
        if (answer.how == reply::done)
        {
            worker->life_ended = false;
            events_.push_back(logging::event("dispatch", "worker_back", "An ended life of a worker answers.")
                                  .with("worker", worker->info.life.id)
                                  .with("born_ms", worker->info.life.born_ms)
                                  .with("address", worker->info.address));
        }
    }
    worker->poll_in_flight = false;
    if (answer.how != reply::done)
    {
        ++counts_.polls_unanswered;
        worker->next_poll_at =
            now + initial_pause * (1 << std::min(worker->unanswered_calls, max_pause_doublings));
        ++worker->unanswered_calls;
        if (worker->unanswered_calls == options_.max_unanswered_calls + 1)
        {
            capacity_changed_ = true;
            mark_changed(*worker);
            events_.push_back(logging::event("dispatch", "worker_silent", "A worker doesn't answer.")
                                  .with("worker", worker->info.life.id)
                                  .with("born_ms", worker->info.life.born_ms)
                                  .with("answer", to_string(answer.how))
                                  .with("runs", static_cast<std::int64_t>(worker->runs.size())));
        }
        return;
    }
    if (worker->unanswered_calls > 0 || !worker->contacted)
    {
        capacity_changed_ = true;
    }
    if (!worker->contacted)
    {
        end_earlier_lives(now, *worker, sent_at);
        unrenewed_recheck_ = unrenewed_recheck_ || !may_be_renewed(*worker);
    }
    worker->unanswered_calls = 0;
    worker->contacted = true;
    worker->ends_acknowledged = std::max(worker->ends_acknowledged, sent.ends_recorded);
    worker->next_poll_at = now;
    mark_changed(*worker); // the slack of its tasks
    worker->max_lease_gap = {};
    apply_finished(now, *worker, before, answer);
    apply_running(now, *worker, answer);
    detect_missing_runs(now, *worker, sent_at, answer);
    adjust_pace(now, *worker);
    mark_changed(*worker); // the paces of its fillers
}

void dispatcher::apply_running(time_point now, worker_view& worker, const worker_answer& answer)
{
    for (const running_row& row : answer.running)
    {
        run_view* run = find_run_on(worker, row.name);
        if (run == nullptr || run->stage != run_stage::running)
        {
            mark_begun(now, row.name);
        }
        if (run == nullptr || run->worker != worker.info.life)
        {
            unknown_runs_.emplace_back(worker.info.life, row.name);
            continue;
        }
        if (run->stage == run_stage::ordered || run->stage == run_stage::inherited)
        {
            run->stage = run_stage::running;
            run->started_at = now;
            run->progress_at = now;
            track_if_actionable(*run);
        }
        run->confirmed_at = now;
        run->begun_clock_ms = run->begun_clock_ms.has_value() ? run->begun_clock_ms : answer.clock_ms;
        if (run->stop_acknowledged_at.has_value() && now > *run->stop_acknowledged_at + stop_timeout)
        {
            run->stop_acknowledged_at.reset(); // an acknowledgement is not yet the end of the run
            track_if_actionable(*run);
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

void dispatcher::apply_finished(time_point now,
                                worker_view& worker,
                                const contact_snapshot& before,
                                const worker_answer& answer)
{
    for (const finished_row& row : answer.finished)
    {
        // Matched by run, not by number: an end that is skipped as already read would block its task for
        // ever.
        run_view* run = find_run_on(worker, row.name);
        if (row.number > worker.ends_proposed)
        {
            worker.ends_proposed = row.number;
            worker.next_poll_at = now + commit_timeout;
            record_finished_start(now, row, run);
        }
        if (run == nullptr || run->worker != worker.info.life || run->stage == run_stage::ending)
        {
            continue; // already recorded, or ended after its lease had lapsed
        }
        update_failure_score(now, worker, *run, row.how);
        if (row.how == jobs::run_end::lapsed)
        {
            end_lapsed_run(now, lapse_detector::worker, before, *run, row.saved, jobs::crash_sign::none);
            continue;
        }
        end_run(now, *run, row.how, row.saved);
    }
}

// A stop that arrived before its start may also be listed as an end; nothing has begun then.
void dispatcher::record_finished_start(time_point now, const finished_row& row, const run_view* run)
{
    const bool was_listed = run != nullptr && was_confirmed(*run);
    if (row.how != jobs::run_end::stopped || was_listed)
    {
        mark_begun(now, row.name);
        return;
    }
    events_.push_back(logging::event("dispatch",
                                     "stopped_unstarted",
                                     "A run was stopped before any answer had confirmed it.")
                          .with("job", row.name.task.job)
                          .with("step", row.name.task.step)
                          .with("index", row.name.task.index)
                          .with("attempt", row.name.attempt)
                          .with("known", run == nullptr ? 0 : 1));
}

void dispatcher::detect_missing_runs(time_point now,
                                     worker_view& worker,
                                     time_point sent_at,
                                     const worker_answer& answer)
{
    for (run_view& run : worker.runs)
    {
        if (run.stage == run_stage::proposed || run.stage == run_stage::ending || lists_run(answer, run.name))
        {
            continue;
        }
        const bool is_fenced = run.stop_acknowledged_at.has_value() && *run.stop_acknowledged_at <= sent_at;
        // No start is sent after the first stop.
        const bool is_too_late_to_begin =
            run.stops_sent > 0 &&
            run.first_stop_at + options_.max_order_delay + options_.lapse_margin <= sent_at;
        if (run.stage == run_stage::inherited || is_fenced || is_too_late_to_begin)
        {
            // From this answer on, orders of earlier leaders have no effect, and starts of a stopped run are
            // rejected.
            const bool never_begun = run.stage == run_stage::inherited && !run.stop_wanted;
            const jobs::run_end how = never_begun ? jobs::run_end::not_begun : run.end_if_absent;
            end_run(now, run, how, run.saved);
            continue;
        }
        const bool confirmed_before = run.stage == run_stage::running && run.confirmed_at < sent_at;
        if (confirmed_before && !run.stop_wanted)
        {
            // It was running and is missing without a reported end: fence it before its task is started
            // elsewhere.
            fence_run(now, run, jobs::run_end::lost);
        }
    }
}

// ---- starts, stops, paces ----------------------------------------------------------------------

void dispatcher::on(time_point now,
                    const start_order& sent,
                    time_point /*sent_at*/,
                    const worker_answer& answer)
{
    if (answer.how == reply::done)
    {
        mark_begun(now, sent.name);
    }
    worker_view* worker = record_contact(now, sent.to, answer);
    run_view* run = find_run(sent.name);
    if (worker == nullptr || run == nullptr || run->worker != sent.to.worker)
    {
        return;
    }
    run->start_in_flight = false;
    if (run->stage == run_stage::ending)
    {
        return;
    }
    switch (answer.how)
    {
    case reply::done:
        run->begun_clock_ms = run->begun_clock_ms.has_value() ? run->begun_clock_ms : answer.clock_ms;
        handle_accepted_start(now, *worker, *run);
        return;
    case reply::none:
        handle_unanswered_start(now, *run);
        return;
    case reply::unsent:
        handle_unsent_start(now, *run);
        return;
    case reply::expired:
    case reply::fenced:
        handle_ineffective_start(now, *run);
        return;
    case reply::no_room:
        ++counts_.starts_rejected_no_room;
        worker->no_room_until = now + no_room_pause;
        break;
    case reply::unhealthy:
        ++counts_.starts_rejected_other;
        worker->no_room_until = now + unhealthy_pause;
        penalize_worker(now, *worker, run->name.task.job, 1, "rejects starts as unhealthy");
        break;
    case reply::superseded:
    case reply::no_ticket:
    case reply::malformed:
    case reply::other_life:
        ++counts_.starts_rejected_other;
        break;
    }
    handle_rejected_start(now, *worker, *run, answer.how);
}

void dispatcher::handle_accepted_start(time_point now, worker_view& worker, run_view& run)
{
    if (run.stage == run_stage::ordered)
    {
        run.stage = run_stage::running;
        run.started_at = now;
        run.progress_at = now;
        track_if_actionable(run);
        stage_delays_.record(kind_of(run.lasting, run.filler),
                             task_stage::start_order,
                             std::chrono::duration_cast<duration>(now - run.recorded_at));
    }
    run.confirmed_at = now;
    if (worker.ends_proposed == worker.ends_recorded)
    {
        worker.next_poll_at = std::min(worker.next_poll_at, now);
    }
}

void dispatcher::handle_unanswered_start(time_point now, run_view& run)
{
    ++counts_.starts_unanswered;
    run.start_unanswered = true;
    run.next_start_at = now + options_.order_retry;
    if (run.starts_sent >= options_.max_starts && run.stage == run_stage::ordered)
    {
        fence_run(now, run, jobs::run_end::not_begun); // the task is started elsewhere once the run is fenced
    }
}

// Its run can't begin, unless by an earlier order. While no order was sent, the run ends as soon as its
// worker falls silent.
void dispatcher::handle_unsent_start(time_point now, run_view& run)
{
    if (run.start_unanswered)
    {
        handle_unanswered_start(now, run);
        return;
    }
    ++counts_.starts_unanswered;
    --run.starts_sent;
    run.next_start_at = now + options_.order_retry;
    if (++run.starts_unsent >= options_.max_starts && run.starts_sent == 0 && run.stage == run_stage::ordered)
    {
        end_run(now, run, jobs::run_end::not_begun, {});
    }
}

// The bound on the worker's clock may remain wrong, so that each lease has expired before it arrives, and a
// worker's fencing token may remain higher than this leader's.
void dispatcher::handle_ineffective_start(time_point now, run_view& run)
{
    run.next_start_at = now + options_.order_retry;
    if (run.starts_sent >= options_.max_expired_starts)
    {
        fence_run(now, run, jobs::run_end::not_begun);
    }
}

void dispatcher::handle_rejected_start(time_point now, worker_view& worker, run_view& run, reply how)
{
    events_.push_back(logging::event("dispatch", "start_rejected", "A worker has rejected a start order.")
                          .with("job", run.name.task.job)
                          .with("step", run.name.task.step)
                          .with("index", run.name.task.index)
                          .with("attempt", run.name.attempt)
                          .with("worker", worker.info.life.id)
                          .with("born_ms", worker.info.life.born_ms)
                          .with("reason", to_string(how)));
    if (run.start_unanswered || how == reply::superseded)
    {
        fence_run(now, run, jobs::run_end::not_begun);
        return;
    }
    end_run(now, run, jobs::run_end::not_begun, {});
}

void dispatcher::fence_run(time_point now, run_view& run, jobs::run_end end_if_absent)
{
    run.stop_wanted = true;
    run.end_if_absent = end_if_absent;
    run.next_stop_at = now;
    track_if_actionable(run);
}

// A goodbye is no proof that the worker has ended: it runs on for seconds if the response doesn't arrive. Its
// runs end like those of any other worker, by a stop or when its lease has lapsed.
void dispatcher::fence_departed_runs(time_point now, worker_view& worker)
{
    for (run_view& run : worker.runs)
    {
        if (!run.stop_wanted && run.stage != run_stage::proposed && run.stage != run_stage::ending)
        {
            fence_run(now, run, jobs::run_end::lost);
        }
    }
}

void dispatcher::on(time_point now,
                    const stop_order& sent,
                    time_point /*sent_at*/,
                    const worker_answer& answer)
{
    worker_view* worker = record_contact(now, sent.to, answer);
    run_view* run = find_run(sent.name);
    if (worker == nullptr || run == nullptr)
    {
        return;
    }
    run->stop_in_flight = false;
    if (answer.how == reply::done && run->worker == sent.to.worker) // else the run was moved to the next life
    {
        run->stop_acknowledged_at = run->stop_acknowledged_at.value_or(now);
        if (worker->ends_proposed == worker->ends_recorded)
        {
            worker->next_poll_at = now;
        }
    }
}

void dispatcher::on(time_point now,
                    const pace_order& sent,
                    time_point /*sent_at*/,
                    const worker_answer& answer)
{
    (void)record_contact(now, sent.to, answer);
    run_view* run = find_run(sent.name);
    if (run == nullptr)
    {
        return;
    }
    run->pace_in_flight = false;
    if (answer.how == reply::done)
    {
        run->pace_percent = sent.percent;
        run->pace_unknown = false;
        run->progress_at = now; // progress at the previous pace is no longer comparable
        return;
    }
    run->next_pace_at = now + options_.order_retry;
}

// ---- ends --------------------------------------------------------------------------------------

void dispatcher::end_run(
    time_point now, run_view& run, jobs::run_end how, const std::string& saved, jobs::crash_sign sign)
{
    if (run.stage == run_stage::ending)
    {
        return;
    }
    run.end_read_at = now;
    if (how == jobs::run_end::done && was_confirmed(run))
    {
        stage_delays_.record(kind_of(run.lasting, run.filler),
                             task_stage::run,
                             std::chrono::duration_cast<duration>(now - run.started_at));
    }
    record_end(run, how, saved, sign == jobs::crash_sign::none ? run.pending_crash_sign : sign);
    update_backoff(now, run, how);
    if (how != jobs::run_end::done && how != jobs::run_end::stopped)
    {
        events_.push_back(run_lost_event(now, run, how));
    }
}

bool dispatcher::was_stable(const run_view& run) const
{
    return was_confirmed(run) && run.confirmed_at >= run.started_at + options_.min_stable_run;
}

// The first failure causes no pause, since mostly the worker is at fault.
void dispatcher::update_backoff(time_point now, const run_view& ended, jobs::run_end how)
{
    if (was_stable(ended) || how == jobs::run_end::done)
    {
        retry_backoff_.reset(ended.name.task);
        return;
    }
    const bool failed_at_once = ended.lasting && how == jobs::run_end::failed;
    if (failed_at_once || how == jobs::run_end::not_begun)
    {
        retry_backoff_.record_failure(now, ended.name.task);
    }
}

void dispatcher::record_end(run_view& run, jobs::run_end how, const std::string& saved, jobs::crash_sign sign)
{
    run.stage = run_stage::ending;
    const bool reported = how == jobs::run_end::done || how == jobs::run_end::failed;
    run.ran_until = reported ? run.end_read_at : run.ran_until;
    record_early_end(run, how);
    window_.of(kind_of(run.lasting, run.filler)).note_end(how);
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
    const bool ran_long =
        was_confirmed(run) && run.confirmed_at >= run.started_at + options_.crash_clearing_run;
    const jobs::crash_sign recorded_sign = ran_long ? jobs::crash_sign::cleared : sign;
    pending_ends_.push_back({run.name, how, saved, recorded_sign});
    jobs::crash_evidence evidence = run.evidence;
    evidence.add(recorded_sign);
    if (evidence.exceeds_limit())
    {
        ++counts_.tasks_given_up;
        events_.push_back(task_given_up_event(run, evidence));
    }
}

void dispatcher::update_failure_score(time_point now,
                                      worker_view& worker,
                                      const run_view& ended,
                                      jobs::run_end how)
{
    if (how == jobs::run_end::done)
    {
        ++worker.tasks_done;
        worker.failure_score *= success_decay;
        const double took = std::chrono::duration<double, std::milli>(now - ended.started_at).count();
        step_stats& siblings = *ended.siblings;
        ++siblings.done;
        siblings.mean_ms += (took - siblings.mean_ms) / siblings.done;
        siblings.longest_ms = std::max(siblings.longest_ms, took);
        if (siblings.done == static_cast<int>(ended.step_tasks))
        {
            duration_predictor_.observe(ended.queue, ended.estimate_ms, siblings.longest_ms);
        }
        return;
    }
    if (how != jobs::run_end::failed || ended.lasting)
    {
        return;
    }
    std::set<fleet::worker_life>& failed = failed_on_[ended.name.task];
    penalize_worker(
        now, worker, ended.name.task.job, failed.empty() ? 1 : repeated_failure_weight, "its tasks fail");
    failed.insert(worker.info.life);
}

void dispatcher::penalize_worker(
    time_point now, worker_view& worker, const jobs::job_id& job, double weight, std::string_view why)
{
    worker.failure_score += weight;
    worker.failing_jobs.insert(job);
    const bool enough =
        worker.failure_score >= options_.failure_score_limit && worker.failing_jobs.size() >= 2;
    if (!enough || now < worker.set_aside_until || !is_on(mechanism::set_aside))
    {
        return;
    }
    worker.times_set_aside = std::min(worker.times_set_aside + 1, 3);
    worker.set_aside_until = now + options_.set_aside * worker.times_set_aside;
    worker.failure_score = options_.failure_score_limit / 2; // after its return one more failure is enough
    ++counts_.workers_set_aside;
    events_.push_back(logging::event("dispatch",
                                     "worker_set_aside",
                                     "A worker is set aside: no tasks are placed there for a while.")
                          .with("worker", worker.info.life.id)
                          .with("reason", why)
                          .with("times", worker.times_set_aside));
}

} // namespace plumspoke::dispatch
