/// @file
/// @brief The course of a term: take-over of recorded runs, events and decisions.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "pace_limits.hpp"
#include "plumspoke/metrics/thread_meter.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

// Pause between placements of fillers as a multiple of a decision's duration; their objectives are seconds.
constexpr int filler_pause_factor = 5;
constexpr auto max_filler_pause = milliseconds(200);
constexpr auto watch_interval = milliseconds(100); // workers report about once a second
// Initial pace of fillers that an earlier leader may have slowed: they neither stall for ever nor
// cause harm at once.
constexpr std::uint32_t inherited_pace = 60; // percent; below it a task would be moved

} // namespace

// ---- construction ------------------------------------------------------------------------------

dispatcher::dispatcher(dispatch_options options)
    : options_(options), undisturbed_slack_(default_undisturbed_slack)
{
}

void dispatcher::step_down()
{
    const dispatch_counts counts = counts_;
    *this = dispatcher(options_);
    counts_ = counts;
}

void dispatcher::lead(time_point now,
                      std::uint64_t term,
                      const jobs::store& state,
                      const earlier_leaders& earlier)
{
    step_down();
    term_ = term;
    leading_since_ = now;
    earlier_lease_end_ = std::min(now, earlier.lease_end);
    decided_at_ = now;
    interference_.adopt_recorded(state.learned());
    apply_evacuations(state);
    for (const auto& [id, job] : state.all())
    {
        if (jobs::is_final(job.phase) && !state.ended_with_runs().contains(id))
        {
            continue;
        }
        take_over(now, job);
    }
    adopt_unrenewed(state.unrenewed(), earlier);
    const auto unrenewed = std::count_if(workers_.begin(),
                                         workers_.end(),
                                         [](const auto& entry)
                                         {
                                             return entry.second.earlier_lease_end.has_value();
                                         });
    events_.push_back(
        logging::event("dispatch", "leading", "Began a term as leader and took over the recorded runs.")
            .with("term", static_cast<std::int64_t>(term))
            .with("since_earlier_lease_ms",
                  std::chrono::duration_cast<milliseconds>(now - earlier_lease_end_).count())
            .with("unrenewed_workers", static_cast<std::int64_t>(unrenewed))
            .with("configuration", static_cast<std::int64_t>(state.current().version))
            .with("runs", static_cast<std::int64_t>(runs_.size()))
            .with("workers", static_cast<std::int64_t>(workers_.size())));
}

void dispatcher::take_over(time_point now, const jobs::job& from)
{
    for (const auto& [number, at] : from.occurrences)
    {
        for (std::uint32_t step = 0; step < at.steps.size(); ++step)
        {
            const std::vector<jobs::task>& tasks = at.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index)
            {
                take_over(now, from, {from.id, number, step, index}, tasks[index].runs);
            }
        }
    }
}

void dispatcher::take_over(time_point now,
                           const jobs::job& from,
                           const jobs::task_name& name,
                           std::span<const jobs::run> recorded)
{
    for (const jobs::run& one : recorded)
    {
        run_view added = make_run_view({name, one.attempt}, one.worker, from);
        added.stage = run_stage::inherited;
        added.inherited = true;
        added.recorded_at = now;
        added.started_at = now;
        added.progress_at = now;
        added.stop_wanted = jobs::is_final(from.phase);
        added.pace_unknown = added.filler;
        added.wanted_pace = added.filler ? inherited_pace : added.wanted_pace;
        find_or_register_worker(one.worker, one.address).has_inherited_runs = true;
        add_run(std::move(added));
    }
}

// ---- events ------------------------------------------------------------------------------------

void dispatcher::announced(time_point now, const fleet::announcement& announcement)
{
    if (!leading())
    {
        return;
    }
    worker_view& worker = find_or_add_worker(announcement.life);
    if (worker.announced && announcement.sequence < worker.info.sequence)
    {
        return;
    }
    const bool was_draining = worker.announced && worker.info.state == fleet::worker_state::draining;
    const bool first = !worker.announced;
    const bool is_news = first || !worker.info.has_same_content(announcement) ||
                         now >= worker.announced_at + options_.announcement_timeout;
    worker.info = announcement;
    worker.announced = true;
    worker.announced_at = now;
    worker.evacuated = evacuated_zones_.contains(announcement.zone);
    if (is_news)
    {
        capacity_changed_ =
            true; // otherwise each of about 450 announcements a second would cause a placement
        mark_changed(worker);
    }
    if (first)
    {
        worker.next_poll_at = std::min(worker.next_poll_at, now);
        events_.push_back(logging::event("dispatch", "worker_known", "A worker has announced itself.")
                              .with("worker", announcement.life.id)
                              .with("born_ms", announcement.life.born_ms)
                              .with("address", announcement.address)
                              .with("rack", announcement.rack));
        poll_other_lives(now, announcement);
    }
    const bool has_left = announcement.state == fleet::worker_state::leave_unconfirmed && was_draining;
    if (announcement.state == fleet::worker_state::gone || has_left)
    {
        departed(now, announcement.life);
        return;
    }
    if (announcement.state == fleet::worker_state::leave_unconfirmed)
    {
        worker.next_poll_at = std::min(worker.next_poll_at, now);
    }
    if (announcement.state == fleet::worker_state::draining && !was_draining)
    {
        events_.push_back(logging::event("dispatch", "worker_draining", "A worker is leaving.")
                              .with("worker", announcement.life.id)
                              .with("born_ms", announcement.life.born_ms)
                              .with("time_left_ms", announcement.time_left_ms));
        next_watch_at_ = now;
    }
}

void dispatcher::poll_other_lives(time_point now, const fleet::announcement& announcement)
{
    std::set<fleet::worker_life>& lives = lives_at_[announcement.address];
    lives.insert(announcement.life);
    for (const fleet::worker_life& life : lives)
    {
        if (worker_view* other = find_worker(life); other != nullptr && life != announcement.life)
        {
            other->next_poll_at = now; // its answer shows whether the earlier life has ended
        }
    }
}

bool dispatcher::refresh_liveness(time_point now, const fleet::worker_life& life)
{
    worker_view* worker = find_worker(life);
    if (worker == nullptr || !worker->announced)
    {
        return false;
    }
    worker->announced_at = now;
    return true;
}

void dispatcher::departed(time_point now, const fleet::worker_life& life)
{
    worker_view* worker = find_worker(life);
    if (worker == nullptr || worker->departs_at.has_value())
    {
        return;
    }
    // A worker whose goodbye is acknowledged ends at once; 500 ms allow for a slow exit.
    worker->departs_at = now + milliseconds(500);
    capacity_changed_ = true;
    mark_changed(*worker);
}

// ---- decisions ---------------------------------------------------------------------------------

dispatch_output dispatcher::decide(time_point now, std::int64_t day_ms, const jobs::store& state)
{
    dispatch_output out;
    if (!leading())
    {
        return out;
    }
    apply_evacuations(state);
    stop_runs_of_ended_jobs(state);
    measure_cancel_latency(day_ms, state, out);
    if (now >= next_watch_at_)
    {
        const metrics::scoped_loop_part watching(metrics::loop_part::watch);
        next_watch_at_ = now + watch_interval;
        if (now >= next_sweep_at_)
        {
            next_sweep_at_ = now + sweep_interval();
            watch_runs(now, state);
        }
        watch_workers(now, state);
        remove_silent_workers(now);
        summarize(now, state);
        report_waits(now, day_ms, state);
    }
    order_due_polls(now, out);
    propose(day_ms, state, now, out);
    order_for_actionable_runs(now, state, out);
    stop_unknown_runs(out);
    // Sending the polls and starts of a large fleet takes long, while stops have a time limit for the user.
    std::stable_partition(out.orders.begin(),
                          out.orders.end(),
                          [](const order& one)
                          {
                              return std::holds_alternative<stop_order>(one);
                          });
    decided_at_ = now;
    out.events = std::exchange(events_, {});
    return out;
}

void dispatcher::apply_evacuations(const jobs::store& state)
{
    if (evacuation_version_ == state.evacuation_version())
    {
        return;
    }
    evacuation_version_ = state.evacuation_version();
    evacuated_zones_ = state.evacuated_zones();
    std::int64_t affected = 0;
    for (auto& [life, worker] : workers_)
    {
        const bool evacuated = evacuated_zones_.contains(worker.info.zone);
        affected += evacuated ? 1 : 0;
        if (evacuated != worker.evacuated)
        {
            worker.evacuated = evacuated;
            mark_changed(worker);
        }
    }
    capacity_changed_ = true;
    events_.push_back(logging::event("dispatch", "zones_evacuated", "The evacuated zones have changed.")
                          .with("zones", static_cast<std::int64_t>(evacuated_zones_.size()))
                          .with("workers", affected)
                          .with("version", static_cast<std::int64_t>(evacuation_version_)));
}

void dispatcher::on_decided(duration took) noexcept
{
    if (considers_fillers_)
    {
        next_filler_placement_at_ =
            decided_at_ + std::min<duration>(filler_pause_factor * took, max_filler_pause);
    }
}

void dispatcher::stop_runs_of_ended_jobs(const jobs::store& state)
{
    for (const jobs::job_id& id : state.ended_with_runs())
    {
        const auto first = runs_.lower_bound({{id, 0, 0, 0}, 0});
        for (auto at = first; at != runs_.end() && at->first.task.job == id; ++at)
        {
            at->second.stop_wanted = true;
            track_if_actionable(at->second);
        }
    }
}

void dispatcher::measure_cancel_latency(std::int64_t day_ms, const jobs::store& state, dispatch_output& out)
{
    for (const jobs::job_id& id : state.ended_with_runs())
    {
        const jobs::job* job = state.find(id);
        if (job != nullptr && job->phase == jobs::job_phase::cancelled)
        {
            cancelled_at_ms_.try_emplace(id, job->ended_at_ms);
        }
    }
    std::erase_if(cancelled_at_ms_,
                  [&](const auto& entry)
                  {
                      const bool over = !state.ended_with_runs().contains(entry.first);
                      if (over)
                      {
                          out.cancels_stopped_ms.push_back(day_ms - entry.second);
                      }
                      return over;
                  });
}

unconfirmed_runs dispatcher::count_unconfirmed(time_point now) const
{
    unconfirmed_runs out;
    const jobs::job_id* job = nullptr;
    bool job_confirmed = true;
    for (const auto& [name, run] : runs_) // the runs of a job follow one another
    {
        if (job == nullptr || *job != name.task.job)
        {
            out.jobs += job_confirmed ? 0 : 1;
            job = &name.task.job;
            job_confirmed = false;
        }
        const bool open = run.stage == run_stage::ordered || run.stage == run_stage::inherited;
        job_confirmed = job_confirmed || (!open && run.stage != run_stage::proposed);
        if (open)
        {
            ++(run.inherited ? out.inherited : out.own);
            out.oldest = std::max(out.oldest, std::chrono::duration_cast<duration>(now - run.recorded_at));
        }
    }
    out.jobs += job_confirmed ? 0 : 1;
    out.unrenewed_workers = static_cast<std::uint64_t>(std::count_if(
        workers_.begin(),
        workers_.end(),
        [](const auto& entry)
        {
            const worker_view& worker = entry.second;
            return worker.has_inherited_runs && !worker.runs.empty() && worker.lease_sent_at == time_point{};
        }));
    return out;
}

std::int64_t dispatcher::lease_for(time_point now, worker_view& worker) const
{
    const duration lease =
        is_leaving(worker) ? std::min(options_.leaving_lease, options_.lease) : options_.lease;
    const std::int64_t until =
        worker.clock.lower_bound(now) + std::chrono::duration_cast<milliseconds>(lease).count();
    worker.lease_sent_ms = std::max(worker.lease_sent_ms, until);
    if (worker.lease_sent_at != time_point{})
    {
        worker.max_lease_gap =
            std::max(worker.max_lease_gap, std::chrono::duration_cast<duration>(now - worker.lease_sent_at));
    }
    worker.lease_sent_at = now;
    worker.first_lease_at = worker.first_lease_at == time_point{} ? now : worker.first_lease_at;
    return until;
}

recipient dispatcher::recipient_of(const worker_view& worker) const
{
    return {worker.info.life, worker.info.address};
}

duration dispatcher::stretched(duration on_worker) const
{
    return duration(
        static_cast<std::int64_t>(static_cast<double>(on_worker.count()) / options_.slowest_clock));
}

duration dispatcher::shortened(duration elsewhere) const
{
    return duration(
        static_cast<std::int64_t>(static_cast<double>(elsewhere.count()) * options_.slowest_clock));
}

// A worker that didn't answer the last leader either has had time; one call and an announcement are allowed.
time_point dispatcher::first_contact_end(const worker_view& worker) const
{
    const time_point own_end = leading_since_ + options_.first_contact_timeout;
    if (!worker.awaited_since.has_value() || worker.unanswered_calls == 0)
    {
        return own_end;
    }
    return std::max(*worker.awaited_since + options_.first_contact_timeout,
                    leading_since_ + options_.repeated_contact_timeout);
}

dispatcher::lapse dispatcher::lease_lapse(const worker_view& worker) const
{
    lapse out{time_point::max(), lease_bound::none};
    const auto extend = [&out](time_point at, lease_bound bound)
    {
        if (out.bound == lease_bound::none || at > out.at)
        {
            out = {at, bound};
        }
    };
    if (worker.has_inherited_runs)
    {
        // Contact doesn't shorten a lease of an earlier leader.
        extend(worker.earlier_lease_end.value_or(earlier_lease_end_) + stretched(options_.lease) +
                   options_.lapse_margin,
               lease_bound::inherited);
        extend(first_contact_end(worker), lease_bound::first_contact);
    }
    if (worker.lease_sent_ms > 0)
    {
        extend(worker.clock.certainly_past(worker.lease_sent_ms) + options_.lapse_margin,
               lease_bound::renewed);
    }
    if (worker.late_starts_over_at != time_point{})
    {
        // A late start for an earlier life may begin its run there, and prolongs the lease of all others.
        extend(worker.late_starts_over_at, lease_bound::late_start);
    }
    return out;
}

void dispatcher::remove_life_from_address(const worker_view& worker)
{
    worker_list_stale_ = true;
    const auto lives = lives_at_.find(worker.info.address);
    if (lives != lives_at_.end() && lives->second.erase(worker.info.life) > 0 && lives->second.empty())
    {
        lives_at_.erase(lives);
    }
}

void dispatcher::remove_silent_workers(time_point now)
{
    std::erase_if(workers_,
                  [&](const auto& entry)
                  {
                      const worker_view& worker = entry.second;
                      const time_point last_heard = std::max(worker.announced_at, worker.answered_at);
                      const bool silent =
                          !worker.announced || last_heard + 2 * options_.announcement_timeout < now;
                      const bool over = silent && worker.runs.empty() && !worker.poll_in_flight &&
                                        worker.ends_proposed == worker.ends_recorded;
                      if (over)
                      {
                          remove_life_from_address(worker);
                          worker_by_life_.erase(entry.first);
                      }
                      return over;
                  });
}

} // namespace plumspoke::dispatch
