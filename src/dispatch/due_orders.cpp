/// @file
/// @brief Orders that are due now: polls in limited batches, starts and stops.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "start_survival.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

// Limit on polls per decision: a number per millisecond since the previous decision, so that a leader that
// decides seldom learns of ends as soon, and at least `min_polls`.
constexpr std::ptrdiff_t min_polls = 256;
constexpr std::ptrdiff_t polls_per_ms = 5;
constexpr auto stop_retry = milliseconds(400); // longer than any queueing of an order that is answered

} // namespace

// A new leader has to poll thousands of workers and to open a connection to each. In a single decision that
// would take longer than its own lease. In batches the oldest renewals go first, with time for heartbeats in
// between.
void dispatcher::order_due_polls(time_point now, dispatch_output& out)
{
    std::vector<worker_view*> due;
    for (worker_view* worker : all_workers())
    {
        if (update_worker(now, *worker))
        {
            due.push_back(worker);
        }
    }
    const auto passed = std::chrono::duration_cast<milliseconds>(now - decided_at_).count();
    const std::ptrdiff_t max_polls = std::max(min_polls, polls_per_ms * static_cast<std::ptrdiff_t>(passed));
    if (std::ssize(due) > max_polls)
    {
        const auto last = due.begin() + max_polls;
        std::nth_element(due.begin(),
                         last,
                         due.end(),
                         [](const worker_view* left, const worker_view* right)
                         {
                             return std::tuple(left->runs.empty(), left->poll_sent_at) <
                                    std::tuple(right->runs.empty(), right->poll_sent_at);
                         });
        due.erase(last, due.end());
    }
    for (worker_view* worker : due)
    {
        order_poll(now, *worker, out);
    }
}

/// @return whether a poll of the worker is due
bool dispatcher::update_worker(time_point now, worker_view& worker)
{
    if (worker.departs_at.has_value() && now >= *worker.departs_at)
    {
        if (worker.runs.empty())
        {
            end_life(now, worker, life_end_cause::departure);
            return false;
        }
        fence_departed_runs(now, worker);
    }
    const bool needs_polls = !worker.runs.empty() || worker.ends_proposed > worker.ends_acknowledged;
    if (needs_polls && now >= lease_lapse(worker).at)
    {
        end_lapsed_runs(now, worker);
    }
    if (worker.contacted && !may_be_renewed(worker))
    {
        return false; // its lease is due as soon as the record permits
    }
    // A silent worker without runs is polled further; otherwise it would count as silent for ever.
    const bool wanted = needs_polls || (worker.announced && !worker.contacted) ||
                        (is_reachable(now, worker) && worker.unanswered_calls > 0);
    return !worker.poll_in_flight && wanted && now >= worker.next_poll_at;
}

void dispatcher::order_poll(time_point now, worker_view& worker, dispatch_output& out)
{
    poll_order sent;
    sent.to = recipient_of(worker);
    sent.fencing_token = term_;
    sent.ends_recorded = worker.ends_recorded;
    if (worker.clock.known() && worker.unanswered_calls == 0 && !worker.departs_at.has_value() &&
        may_be_renewed(worker))
    {
        // A silent worker gets no lease: one that might arrive would postpone the certain lapse of its runs
        // for ever. Nor does one that has said goodbye.
        sent.lease_until_ms = lease_for(now, worker);
    }
    const bool may_wait =
        worker.contacted && worker.unanswered_calls == 0 && worker.ends_proposed == worker.ends_recorded;
    const bool needs_new_report = !overload_.is_late(now) && needs_frequent_reports(worker);
    milliseconds wait = needs_new_report ? options_.watched_poll_wait : options_.poll_wait;
    // Shows early that a suspect has survived its start, so that later crashes don't count against it.
    wait = !overload_.is_late(now) && count_unproven_suspects(worker) > 0 ? options_.suspect_poll_wait : wait;
    // Its leases are short.
    wait = is_leaving(worker) ? std::min(wait, options_.leaving_poll_wait) : wait;
    sent.wait_ms = may_wait ? wait.count() : 0;
    worker.poll_in_flight = true;
    worker.poll_sent_at = now;
    ++counts_.polls;
    counts_.polls_without_lease += sent.lease_until_ms.has_value() ? 0 : 1;
    out.orders.emplace_back(std::move(sent));
}

// Visits only the listed runs: a pass over all of them took half a millisecond with 3,000 runs.
void dispatcher::order_for_actionable_runs(time_point now, const jobs::store& state, dispatch_output& out)
{
    for (auto at = actionable_.begin(); at != actionable_.end();)
    {
        run_view& run = *at++;
        order_for_run(now, run, state, out);
        order_pace(now, run, out);
        if (!may_need_order(run))
        {
            run.actionable_hook.unlink();
        }
    }
}

void dispatcher::order_for_run(time_point now, run_view& run, const jobs::store& state, dispatch_output& out)
{
    if (run.stage == run_stage::proposed || run.stage == run_stage::ending)
    {
        return;
    }
    const bool accepted = run.on == nullptr || accepts_starts(*run.on);
    const bool reachable = run.on == nullptr || may_be_reached(*run.on);
    if (run.stage == run_stage::ordered && run.starts_sent == 0 &&
        (run.stop_wanted || !accepted || !reachable))
    {
        end_run(now, run, jobs::run_end::not_begun, {}); // no order was sent, so nothing can begin
        return;
    }
    if (run.stop_wanted)
    {
        // Doesn't wait for an unanswered start: a worker rejects a start that arrives after the run's stop.
        const bool due = !run.stop_acknowledged_at.has_value() || run.stop_unconfirmed;
        if (!run.stop_in_flight && now >= run.next_stop_at && due)
        {
            run.next_stop_at = now + stop_retry;
            run.stop_unconfirmed = false;
            order_stop(now, run, out);
        }
        return;
    }
    if (run.stage != run_stage::ordered)
    {
        return;
    }
    if (!accepted)
    {
        // An order may still take effect; the stop also removes one that is queued for its connection.
        fence_run(now, run, jobs::run_end::not_begun);
        return;
    }
    if (run.start_in_flight || now < run.next_start_at)
    {
        return;
    }
    order_start(now, run, state, out);
}

bool dispatcher::accepts_starts(const worker_view& worker) noexcept
{
    return worker.info.state != fleet::worker_state::draining &&
           worker.info.state != fleet::worker_state::gone && !worker.departs_at.has_value() &&
           !worker.evacuated;
}

bool dispatcher::may_be_reached(const worker_view& worker) const noexcept
{
    return !worker.life_ended && worker.clock.known() &&
           worker.unanswered_calls <= options_.max_unanswered_calls;
}

void dispatcher::order_start(time_point now, run_view& run, const jobs::store& state, dispatch_output& out)
{
    worker_view* worker = find_worker(run.worker);
    const jobs::job* job = state.find(run.name.task.job);
    const jobs::task* task = state.find(run.name.task);
    if (worker == nullptr || job == nullptr || task == nullptr || !worker->clock.known() ||
        !may_be_renewed(*worker))
    {
        return;
    }
    start_order sent;
    sent.to = recipient_of(*worker);
    sent.fencing_token = term_;
    // As with polls, a lease that might reach a silent worker would postpone its certain lapse.
    const bool renews = worker->unanswered_calls == 0 || worker->lease_sent_ms == 0;
    sent.lease_until_ms = renews ? lease_for(now, *worker) : worker->lease_sent_ms;
    sent.name = run.name;
    sent.payload = job->spec.payload;
    sent.saved = task->saved;
    run.start_in_flight = true;
    ++run.starts_sent;
    ++counts_.starts_ordered;
    out.orders.emplace_back(std::move(sent));
}

void dispatcher::order_stop(time_point now, run_view& run, dispatch_output& out)
{
    const worker_view* worker = find_worker(run.worker);
    if (worker == nullptr)
    {
        return;
    }
    run.stop_in_flight = true;
    run.first_stop_at = run.stops_sent == 0 ? now : run.first_stop_at;
    ++run.stops_sent;
    ++counts_.stops_ordered;
    out.orders.emplace_back(stop_order{recipient_of(*worker), term_, run.name});
}

} // namespace plumspoke::dispatch
