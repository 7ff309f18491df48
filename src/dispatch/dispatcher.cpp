/// @file
/// @brief A term's course: what it takes over, what it hears, and what it decides.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "pace_limits.hpp"
#include "plumspoke/metrics/thread_meter.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

// Between placements of fillers, as a multiple of a decision's length; their objectives are seconds.
constexpr int filler_rest_factor = 5;
constexpr auto max_filler_rest = milliseconds(200);
constexpr auto watch_interval = milliseconds(100); // workers' reports come about once a second
// Of fillers that an earlier leader may have slowed: neither do they stand still for ever, nor harm at once.
constexpr std::uint32_t inherited_pace = 60; // percent; below it a task would be moved

} // namespace

// ---- construction ------------------------------------------------------------------------------

dispatcher::dispatcher(dispatch_options options) : options_(options), calm_slack_(unseen_calm_slack)
{
}

void dispatcher::retire()
{
    const dispatch_counts counts = counts_;
    *this = dispatcher(options_);
    counts_ = counts;
}

void dispatcher::lead(time_point now, std::uint64_t term, const jobs::store& state)
{
    retire();
    term_ = term;
    leading_since_ = now;
    decided_at_ = now;
    interference_.take_over(state.learned());
    for (const auto& [id, job] : state.all())
    {
        if (jobs::is_final(job.phase) && !state.ended_with_runs().contains(id))
        {
            continue;
        }
        take_over(now, job);
    }
    events_.push_back(logging::event("dispatch", "leading", "Took over the recorded runs.")
                          .with("term", static_cast<std::int64_t>(term))
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
        meet_worker(one.worker, one.address).has_inherited = true;
        add_run(std::move(added));
    }
}

// ---- events ------------------------------------------------------------------------------------

void dispatcher::announced(time_point now, const fleet::announcement& heard)
{
    if (!leading())
    {
        return;
    }
    worker_view& of = find_or_add_worker(heard.life);
    if (of.announced && heard.sequence < of.info.sequence)
    {
        return;
    }
    const bool was_draining = of.announced && of.info.state == fleet::worker_state::draining;
    const bool first = !of.announced;
    const bool is_news =
        first || !of.info.says_the_same(heard) || now >= of.announced_at + options_.announce_silence;
    of.info = heard;
    of.announced = true;
    of.announced_at = now;
    if (is_news)
    {
        room_changed_ = true; // else each of some 450 announcements a second would lead to a placement
        note_changed(of);
    }
    if (first)
    {
        of.next_hold_at = std::min(of.next_hold_at, now);
        events_.push_back(logging::event("dispatch", "worker_known", "A worker has announced itself.")
                              .with("worker", heard.life.id)
                              .with("born_ms", heard.life.born_ms)
                              .with("address", heard.address)
                              .with("rack", heard.rack));
        look_at_earlier_lives(now, heard);
    }
    const bool goes = heard.state == fleet::worker_state::doubtful && was_draining;
    if (heard.state == fleet::worker_state::gone || goes)
    {
        said_goodbye(now, heard.life);
        return;
    }
    if (heard.state == fleet::worker_state::doubtful)
    {
        of.next_hold_at = std::min(of.next_hold_at, now);
    }
    if (heard.state == fleet::worker_state::draining && !was_draining)
    {
        events_.push_back(logging::event("dispatch", "worker_draining", "A worker is leaving.")
                              .with("worker", heard.life.id)
                              .with("born_ms", heard.life.born_ms)
                              .with("time_left_ms", heard.time_left_ms));
        next_watch_at_ = now;
    }
}

void dispatcher::look_at_earlier_lives(time_point now, const fleet::announcement& heard)
{
    std::set<fleet::worker_life>& lives = lives_at_[heard.address];
    lives.insert(heard.life);
    for (const fleet::worker_life& life : lives)
    {
        if (worker_view* other = find_worker(life); other != nullptr && life != heard.life)
        {
            other->next_hold_at = now; // its own answer tells whether the old life is over
        }
    }
}

bool dispatcher::still_alive(time_point now, const fleet::worker_life& worker)
{
    worker_view* of = find_worker(worker);
    if (of == nullptr || !of->announced)
    {
        return false;
    }
    of->announced_at = now;
    return true;
}

void dispatcher::said_goodbye(time_point now, const fleet::worker_life& worker)
{
    worker_view* of = find_worker(worker);
    if (of == nullptr || of->over_at.has_value())
    {
        return;
    }
    // It ends right after the goodbye; half a second covers a slow way out.
    of->over_at = now + milliseconds(500);
    room_changed_ = true;
    note_changed(*of);
}

// ---- decisions ---------------------------------------------------------------------------------

dispatch_output dispatcher::decide(time_point now, std::int64_t day_ms, const jobs::store& state)
{
    dispatch_output out;
    if (!leading())
    {
        return out;
    }
    tend_ended_jobs(state);
    time_cancels(day_ms, state, out);
    if (now >= next_watch_at_)
    {
        const metrics::measured_part watching(metrics::loop_part::watch);
        next_watch_at_ = now + watch_interval;
        if (now >= next_sweep_at_)
        {
            next_sweep_at_ = now + sweep_interval();
            watch_runs(now, state);
        }
        watch_workers(now, state);
        expire_workers(now);
        summarize(now, state);
        watch_held(now, day_ms, state);
    }
    tend_workers(now, out);
    propose(day_ms, state, now, out);
    tend_attended(now, state, out);
    stop_unknown_runs(out);
    // Polls and starts of a large fleet take long to hand out; a stop has a time limit towards the user.
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

void dispatcher::on_decided(duration took) noexcept
{
    if (considers_fillers_)
    {
        next_filler_placement_at_ =
            decided_at_ + std::min<duration>(filler_rest_factor * took, max_filler_rest);
    }
}

void dispatcher::tend_ended_jobs(const jobs::store& state)
{
    for (const jobs::job_id& id : state.ended_with_runs())
    {
        const auto first = runs_.lower_bound({{id, 0, 0, 0}, 0});
        for (auto at = first; at != runs_.end() && at->first.task.job == id; ++at)
        {
            at->second.stop_wanted = true;
            attend(at->second);
        }
    }
}

void dispatcher::time_cancels(std::int64_t day_ms, const jobs::store& state, dispatch_output& out)
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
    for (const auto& [name, of] : runs_) // the runs of a job follow one another
    {
        if (job == nullptr || *job != name.task.job)
        {
            out.jobs += job_confirmed ? 0 : 1;
            job = &name.task.job;
            job_confirmed = false;
        }
        const bool open = of.stage == run_stage::ordered || of.stage == run_stage::inherited;
        job_confirmed = job_confirmed || (!open && of.stage != run_stage::proposed);
        if (open)
        {
            ++(of.inherited ? out.inherited : out.own);
            out.oldest = std::max(out.oldest, std::chrono::duration_cast<duration>(now - of.recorded_at));
        }
    }
    out.jobs += job_confirmed ? 0 : 1;
    out.unrenewed_workers = static_cast<std::uint64_t>(
        std::count_if(workers_.begin(),
                      workers_.end(),
                      [](const auto& entry)
                      {
                          const worker_view& of = entry.second;
                          return of.has_inherited && !of.runs.empty() && of.lease_sent_at == time_point{};
                      }));
    return out;
}

std::int64_t dispatcher::lease_for(time_point now, worker_view& of) const
{
    const std::int64_t until =
        of.clock.at_least(now) + std::chrono::duration_cast<milliseconds>(options_.lease).count();
    of.lease_sent_ms = std::max(of.lease_sent_ms, until);
    if (of.lease_sent_at != time_point{})
    {
        of.lease_gap = std::max(of.lease_gap, std::chrono::duration_cast<duration>(now - of.lease_sent_at));
    }
    of.lease_sent_at = now;
    of.first_lease_at = of.first_lease_at == time_point{} ? now : of.first_lease_at;
    return until;
}

recipient dispatcher::recipient_of(const worker_view& of) const
{
    return {of.info.life, of.info.address};
}

time_point dispatcher::lapse_of(const worker_view& of) const
{
    const auto stretched = duration(static_cast<std::int64_t>(
        static_cast<double>(duration(options_.lease).count()) / options_.slowest_clock));
    time_point lapse =
        of.has_inherited && !of.contacted ? leading_since_ + stretched + options_.lapse_margin : time_point{};
    if (of.lease_sent_ms > 0)
    {
        lapse = std::max(lapse, of.clock.surely_past(of.lease_sent_ms) + options_.lapse_margin);
    }
    if (lapse == time_point{})
    {
        return time_point::max(); // nothing was ever ordered there
    }
    return lapse;
}

void dispatcher::forget_life(const worker_view& of)
{
    worker_list_stale_ = true;
    const auto lives = lives_at_.find(of.info.address);
    if (lives != lives_at_.end() && lives->second.erase(of.info.life) > 0 && lives->second.empty())
    {
        lives_at_.erase(lives);
    }
}

void dispatcher::expire_workers(time_point now)
{
    std::erase_if(workers_,
                  [&](const auto& entry)
                  {
                      const worker_view& of = entry.second;
                      const time_point last_heard = std::max(of.announced_at, of.answered_at);
                      const bool silent = !of.announced || last_heard + 2 * options_.announce_silence < now;
                      const bool over = silent && of.runs.empty() && !of.hold_in_flight &&
                                        of.ends_proposed == of.ends_noted;
                      if (over)
                      {
                          forget_life(of);
                          worker_by_life_.erase(entry.first);
                      }
                      return over;
                  });
}

} // namespace plumspoke::dispatch
