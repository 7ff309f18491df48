/// @file
/// @brief The leader's loop: one thread that feeds the dispatcher and executes its decisions.

#include "plumspoke/job_server/control_server.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/logging/event.hpp"
#include "plumspoke/time/time_of_day.hpp"

#include <algorithm>
#include <thread>

namespace plumspoke::job_server
{

namespace
{

constexpr const char* part = "control";
constexpr auto leading_interval = milliseconds(25);    // for timers: retries, lease expiry
constexpr auto following_interval = milliseconds(100); // only to detect gaining leadership
constexpr auto expire_interval = seconds(5);
constexpr auto window_length = seconds(1); // of the loop's log line; a lease is lost within a few windows
// After this much uninterrupted work the loop's thread sleeps, so that the threads serving peers and callers
// get processor time: a fifth of the total, about what they need beside a busy loop.
constexpr auto max_busy_period = milliseconds(8);
constexpr auto rest_period = milliseconds(2);

using metrics::loop_part;
using metrics::scoped_loop_part;

std::int64_t microseconds_since(time_point started_at)
{
    return std::chrono::duration_cast<duration>(boot_clock::now() - started_at).count();
}

std::int64_t to_ms(std::int64_t microseconds) noexcept
{
    return std::chrono::duration_cast<milliseconds>(duration(microseconds)).count();
}

/// @brief Adds this process's counts of runs whose lease expired, by finder and cause; zero counts are
///        omitted.
void add_lapses(logging::event& to, const dispatch::lapse_counts& counts)
{
    for (std::size_t finder_index = 0; finder_index < dispatch::lapse_detector_count; ++finder_index)
    {
        const std::string finder(to_string(static_cast<dispatch::lapse_detector>(finder_index)));
        for (std::size_t cause_index = 0; cause_index < dispatch::lapse_cause_count; ++cause_index)
        {
            if (const std::uint64_t count = counts.at(finder_index).at(cause_index); count > 0)
            {
                const std::string cause(to_string(static_cast<dispatch::lapse_cause>(cause_index)));
                to.with("lapsed_" + finder + "_" + cause, static_cast<std::int64_t>(count));
            }
        }
    }
}

/// @brief Lists voters as `id acknowledged/replied`, with the ages in ms.
std::string to_text(std::span<const replica::voter_contact> voters)
{
    std::string out;
    for (const replica::voter_contact& one : voters)
    {
        out.append(out.empty() ? "" : ", ")
            .append(one.id)
            .append(" ")
            .append(std::to_string(to_ms(one.since_acknowledged.count())))
            .append("/")
            .append(std::to_string(to_ms(one.since_reply.count())));
    }
    return out;
}

} // namespace

void control_server::run_loop()
{
    const auto work = boost::asio::make_work_guard(context_);
    meter_.start();
    arm_timer();
    while (context_.run_one() > 0) // blocks while there is nothing to do
    {
        run_ready_handlers();
    }
}

// A heartbeat and its answer pass through several threads of this process. Each would wait behind a loop that
// never sleeps, until the leader's lease expires. A VM that has exhausted its processor quota loses nothing
// by the sleep.
void control_server::run_ready_handlers()
{
    const time_point rest_at = boot_clock::now() + max_busy_period;
    while (context_.poll_one() > 0)
    {
        if (boot_clock::now() >= rest_at)
        {
            std::this_thread::sleep_for(rest_period);
            return;
        }
    }
}

void control_server::arm_timer()
{
    timer_.expires_after(dispatcher_.leading() ? leading_interval : following_interval);
    timer_.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                record_lateness(timer_.expiry());
                schedule_step();
                arm_timer();
            }
        });
}

void control_server::schedule_step()
{
    if (!step_scheduled_.exchange(true))
    {
        boost::asio::post(context_,
                          [this, wanted_at = boot_clock::now()]
                          {
                              step_or_wait(wanted_at);
                          });
    }
}

void control_server::step_or_wait(time_point wanted_at)
{
    const time_point due_at = std::max(wanted_at, decision_limiter_.next_at());
    if (boot_clock::now() >= due_at)
    {
        record_lateness(due_at);
        step();
        return;
    }
    pacing_timer_.expires_at(due_at);
    pacing_timer_.async_wait(
        [this, due_at](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                record_lateness(due_at);
                step();
            }
        });
}

void control_server::record_lateness(time_point wanted_at)
{
    const std::int64_t late_us = microseconds_since(wanted_at);
    loop_late_.record(late_us);
    window_.late_us = std::max(window_.late_us, late_us);
    dispatcher_.record_lateness(boot_clock::now(), duration(late_us));
}

void control_server::step()
{
    step_scheduled_ = false;
    // Read the clock before checking leadership: the leases of orders are counted from this time.
    const time_point now = boot_clock::now();
    const scoped_loop_part following(loop_part::follow);
    const replica::replica_status status = driver_->status();
    update_leadership(now, status);
    if (!dispatcher_.leading())
    {
        return;
    }
    ++window_.steps;
    report_window(now, status);
    if (!status.holds_lease(now))
    {
        ++counts_.steps_without_lease;
        ++window_.without_lease;
        return;
    }
    const auto lease_left = std::chrono::duration_cast<duration>(status.lease_end - now);
    window_.min_lease_left_us = std::min<std::int64_t>(window_.min_lease_left_us, lease_left.count());
    if (decision_limiter_.should_defer(now, lease_left))
    {
        ++counts_.steps_yielded;
        ++window_.deferred;
        return; // the timer triggers the next step
    }
    dispatch::dispatch_output decided = decide(now);
    execute(decided);
    rejects_submits_ = dispatcher_.refuses_jobs(now);
    decision_limiter_.record(now, boot_clock::now());
}

dispatch::dispatch_output control_server::decide(time_point now)
{
    const scoped_loop_part deciding(loop_part::decide);
    const time_point started_at = boot_clock::now();
    const std::uint64_t polls_before = dispatcher_.counts().polls;
    dispatch::dispatch_output decided = state_machine_.read(
        [this, now](const jobs::store& state)
        {
            dispatch::dispatch_output out = dispatcher_.decide(now, time_of_day_ms(), state);
            const std::lock_guard lock(counts_mutex_);
            dispatch_counts_ = dispatcher_.counts();
            live_jobs_ = state.live().size();
            live_runs_ = dispatcher_.runs().size();
            known_workers_ = dispatcher_.workers().size();
            return out;
        });
    const std::int64_t took_us = microseconds_since(started_at);
    dispatcher_.on_decided(duration(took_us));
    decide_times_.record(took_us);
    window_.decide_us = std::max(window_.decide_us, took_us);
    window_.max_polls = std::max(window_.max_polls, dispatcher_.counts().polls - polls_before);
    ++window_.decisions;
    return decided;
}

void control_server::report_window(time_point now, const replica::replica_status& status)
{
    if (now < window_.started_at + window_length)
    {
        return;
    }
    const scoped_loop_part reporting(loop_part::log);
    const loop_totals totals = read_totals(status);
    const dispatch::unconfirmed_runs open = dispatcher_.count_unconfirmed(now);
    {
        const std::lock_guard lock(counts_mutex_);
        unconfirmed_ = open;
    }
    if (window_.started_at != time_point{})
    {
        log_window(now, totals, open);
    }
    window_ = {};
    window_.started_at = now;
    window_.before = totals;
}

control_server::loop_totals control_server::read_totals(const replica::replica_status& status) const
{
    loop_totals out;
    for (std::size_t i = 0; i < metrics::loop_part_count; ++i)
    {
        out.part_us.at(i) = meter_.microseconds(static_cast<loop_part>(i));
    }
    out.process_us = metrics::read_process_microseconds();
    out.descriptor_searches = http::read_descriptor_search_counts();
    out.replica_us = status.cpu_time_us;
    out.answers = meter_.passes(loop_part::answers);
    out.announcements = counts_.announcements;
    const dispatch::dispatch_counts& ordered = dispatcher_.counts();
    out.polls = ordered.polls;
    out.polls_without_lease = ordered.polls_without_lease;
    out.starts = ordered.starts_ordered;
    out.stops = ordered.stops_ordered;
    out.paces = ordered.paces_ordered;
    out.timed_out_polls = worker_client_->timed_out().polls;
    out.timed_out_orders = worker_client_->timed_out().orders;
    out.timed_out_replicas = transport_->timed_out_calls();
    return out;
}

void control_server::log_window(time_point now,
                                const loop_totals& totals,
                                const dispatch::unconfirmed_runs& open) const
{
    const auto since = [](std::uint64_t later, std::uint64_t earlier)
    {
        return static_cast<std::int64_t>(later - earlier);
    };
    logging::event line(part, "loop", "Statistics of the leader's loop in this window.");
    line.with("term", static_cast<std::int64_t>(dispatcher_.term()))
        .with("window_ms", std::chrono::duration_cast<milliseconds>(now - window_.started_at).count())
        .with("steps", window_.steps)
        .with("without_lease", window_.without_lease)
        .with("decisions", window_.decisions)
        .with("deferred", window_.deferred)
        .with("min_lease_left_ms",
              window_.steps > window_.without_lease ? to_ms(window_.min_lease_left_us) : 0)
        .with("max_polls", static_cast<std::int64_t>(window_.max_polls))
        .with("late_ms", to_ms(window_.late_us))
        .with("decide_ms", to_ms(window_.decide_us))
        .with("carry_out_ms", to_ms(window_.carry_out_us))
        .with("process_cpu_ms", to_ms(since(totals.process_us, window_.before.process_us)))
        .with("replica_cpu_ms", to_ms(since(totals.replica_us, window_.before.replica_us)));
    std::int64_t thread_us = 0;
    for (std::size_t i = 0; i < metrics::loop_part_count; ++i)
    {
        const std::int64_t spent_us = since(totals.part_us.at(i), window_.before.part_us.at(i));
        thread_us += spent_us;
        line.with(std::string(to_string(static_cast<loop_part>(i))) + "_cpu_ms", to_ms(spent_us));
    }
    line.with("loop_cpu_ms", to_ms(thread_us))
        .with("answers", since(totals.answers, window_.before.answers))
        .with("announcements", since(totals.announcements, window_.before.announcements))
        .with("polls", since(totals.polls, window_.before.polls))
        .with("polls_without_lease", since(totals.polls_without_lease, window_.before.polls_without_lease))
        .with("starts", since(totals.starts, window_.before.starts))
        .with("stops", since(totals.stops, window_.before.stops))
        .with("paces", since(totals.paces, window_.before.paces))
        .with("silent_polls", since(totals.timed_out_polls, window_.before.timed_out_polls))
        .with("silent_orders", since(totals.timed_out_orders, window_.before.timed_out_orders))
        .with("silent_replica_calls", since(totals.timed_out_replicas, window_.before.timed_out_replicas))
        .with("http_connections", http_->open_connections())
        .with("descriptor_searches",
              since(totals.descriptor_searches.searches, window_.before.descriptor_searches.searches))
        .with("searched_descriptors",
              since(totals.descriptor_searches.descriptors, window_.before.descriptor_searches.descriptors))
        .with("open_runs", static_cast<std::int64_t>(dispatcher_.runs().size()))
        .with("unconfirmed_own", static_cast<std::int64_t>(open.own))
        .with("unconfirmed_inherited", static_cast<std::int64_t>(open.inherited))
        .with("unconfirmed_jobs", static_cast<std::int64_t>(open.jobs))
        .with("unconfirmed_oldest_ms", to_ms(open.oldest.count()))
        .with("unrenewed_workers", static_cast<std::int64_t>(open.unrenewed_workers))
        .with("waiting", count_waiting());
    logging::write(line);
}

std::int64_t control_server::count_waiting() const
{
    return state_machine_.read(
        [](const jobs::store& state)
        {
            return static_cast<std::int64_t>(std::count_if(state.live().begin(),
                                                           state.live().end(),
                                                           [](const auto& entry)
                                                           {
                                                               return !entry.second->begun;
                                                           }));
        });
}

void control_server::update_leadership(time_point now, const replica::replica_status& status)
{
    const bool same_term = dispatcher_.leading() && status.is_leader() && status.term == dispatcher_.term();
    if (same_term)
    {
        return;
    }
    if (dispatcher_.leading())
    {
        log_leadership_end(now, status);
        dispatcher_.step_down();
        rejects_submits_ = false;
        worker_client_->reset();
    }
    if (!status.holds_lease(now))
    {
        return;
    }
    ++counts_.leader_changes;
    window_ = {};
    const scoped_loop_part taking_over(loop_part::take_over);
    const time_point started_at = boot_clock::now();
    state_machine_.read_with_record_time(
        [&](const jobs::store& state, time_point unrenewed_recorded_at)
        {
            dispatcher_.lead(now,
                             status.term,
                             state,
                             {status.earlier_lease_end, status.last_earlier_term, unrenewed_recorded_at});
        });
    take_over_times_.record(microseconds_since(started_at));
    const std::lock_guard lock(registry_mutex_);
    for (const fleet::announcement& one : registry_.all())
    {
        dispatcher_.announced(now, one);
    }
    timer_.cancel();
    arm_timer();
}

void control_server::log_leadership_end(time_point now, const replica::replica_status& status) const
{
    const replica::leadership_record& last = status.last_leadership;
    logging::event line(part, "retired", "This process no longer leads.");
    line.with("term", static_cast<std::int64_t>(dispatcher_.term())).with("new_leader", status.leader_name);
    if (last.term == dispatcher_.term())
    {
        line.with("reason", to_string(last.reason))
            .with("length_ms", to_ms(last.length.count()))
            .with("since_quorum_ms", to_ms(last.since_quorum_ack.count()))
            .with("longest_gap_ms", to_ms(last.longest_event_gap.count()))
            .with("seen_term", static_cast<std::int64_t>(last.higher_term))
            .with("seen_from", last.higher_term_sender)
            .with("voters", to_text(last.voters))
            .with("noticed_after_ms", std::chrono::duration_cast<milliseconds>(now - last.ended_at).count());
    }
    line.with("unrenewed_workers",
              static_cast<std::int64_t>(dispatcher_.count_unconfirmed(now).unrenewed_workers));
    add_lapses(line, dispatcher_.counts().runs_lapsed);
    logging::write(line);
}

void control_server::execute(dispatch::dispatch_output& decided)
{
    const scoped_loop_part carrying_out(loop_part::carry_out);
    const time_point started_at = boot_clock::now();
    {
        const scoped_loop_part writing(loop_part::log);
        for (const logging::event& one : decided.events)
        {
            logging::write(one);
        }
    }
    for (const dispatch::planned_round& planned : decided.rounds)
    {
        propose(planned);
    }
    for (const std::int64_t took_ms : decided.cancels_stopped_ms)
    {
        cancel_times_.record(std::chrono::duration_cast<duration>(milliseconds(took_ms)).count());
    }
    for (dispatch::order& order : decided.orders)
    {
        worker_client_->send(std::move(order));
    }
    const time_point now = boot_clock::now();
    if (now >= next_expiry_)
    {
        next_expiry_ = now + expire_interval;
        worker_client_->expire(now);
    }
    const std::int64_t took_us = microseconds_since(started_at);
    window_.carry_out_us = std::max(window_.carry_out_us, took_us);
    carry_out_times_.record(took_us);
}

void control_server::propose(const dispatch::planned_round& planned)
{
    const std::uint64_t term = dispatcher_.term();
    driver_->propose(jobs::encode(planned.command),
                     [this, term, id = planned.id](replica::proposal_result result)
                     {
                         boost::asio::post(context_,
                                           [this, term, id, result = std::move(result)]
                                           {
                                               if (dispatcher_.term() != term)
                                               {
                                                   return; // proposed in an earlier term
                                               }
                                               std::optional<std::vector<bool>> accepted;
                                               if (!result.error)
                                               {
                                                   accepted =
                                                       jobs::decode_answer(result.answer).starts_accepted;
                                               }
                                               const scoped_loop_part answering(loop_part::rounds);
                                               dispatcher_.round_ended(boot_clock::now(), id, accepted);
                                               schedule_step();
                                           });
                     });
}

} // namespace plumspoke::job_server
