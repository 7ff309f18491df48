/// @file
/// @brief Runs that stand still or lag, workers that leave, and fillers that disturb what serves.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::int64_t whole_percent = 100;
constexpr std::int64_t least_measured_percent = 3; // below this a speed is mostly rounding
constexpr auto summary_interval = seconds(2);      // short enough to see a disturbance of a few seconds
constexpr std::uint32_t moved_pace = 60;           // percent; slower than this a saved task goes on elsewhere
constexpr auto moved_after = milliseconds(200);    // a move costs about 0.4 s: the saved work is restored
constexpr std::size_t most_moves = 2; // of one task: where everything is full, moving on helps nobody
constexpr double filler_patience = 2; // a filler lags where others use their processors
// Slack is target / tail: 1 is a tail at its target. Reports of undisturbed tasks differ by 0.2.
constexpr double disturbed_slack = 0.25;
constexpr double slack_at_peak = 1.5; // the least that own load leaves, on both sites
constexpr double least_slack = 1.2;   // below it fillers are slowed
// A serving task over its target for so long: all fillers beside it stand still; then they are stopped.
// The users call it harm after 4 s (impact_ms, or more); a report may be a second old.
constexpr auto over_target_pause = milliseconds(1900);
constexpr auto over_target_stop = milliseconds(2900);
constexpr double stop_slack = 0.7;      // below it the pressure is more than is known: fillers stand still
constexpr double report_span_s = 0.6;   // a report's half second and the time until a pace is in force
constexpr double wanted_slack = 1.4;    // what a slowing aims at; load may take 0.3 a second
constexpr double most_slack = 4;        // of a task that nothing presses
constexpr double saturated_slack = 0.2; // a tail five times its target tells little of the pressure
constexpr std::uint32_t least_pace = 5; // percent; below this a task only holds its memory
constexpr double enough_evidence = 3;   // reports
// A report covers the last half second: a pace is judged by reports from after it took effect.
constexpr auto pace_settle = milliseconds(700);

std::string step_key(const jobs::task_name& name)
{
    return name.job + "." + std::to_string(name.step);
}

} // namespace

void dispatcher::watch_runs(time_point now, const jobs::store& state)
{
    note_references();
    for (auto& [name, of] : runs_)
    {
        watch_run(now, of, state);
    }
    for (auto& [id, of] : workers_)
    {
        if (of.serving_runs > 0 && of.filler_cpu_milli > 0)
        {
            guard_target(now, of);
        }
        if (of.announced && of.info.state == fleet::worker_state::draining)
        {
            watch_draining(now, of, state);
        }
    }
    const auto is_over = [&state](const std::string& job)
    {
        const jobs::job* found = state.find(job);
        return found == nullptr || jobs::is_final(found->phase);
    };
    std::erase_if(failed_on_,
                  [&](const auto& entry)
                  {
                      return is_over(entry.first.job);
                  });
    std::erase_if(copy_wanted_,
                  [&](const auto& name)
                  {
                      return is_over(name.job);
                  });
    std::erase_if(step_mean_ms_,
                  [&](const auto& entry)
                  {
                      return is_over(entry.first.substr(0, entry.first.rfind('.')));
                  });
    std::erase_if(step_done_,
                  [&](const auto& entry)
                  {
                      return is_over(entry.first.substr(0, entry.first.rfind('.')));
                  });
}

void dispatcher::watch_run(time_point now, run_view& of, const jobs::store& state)
{
    const jobs::job* job = state.find(of.name.task.job);
    worker_view* on = find_worker(of.worker);
    if (job == nullptr || on == nullptr || jobs::is_final(job->phase) || of.stop_wanted)
    {
        return;
    }
    const jobs::step_spec& spec = job->spec.steps[of.name.task.step];
    const bool silent = on->silent_calls > options_.max_silent_calls;
    if (spec.copies_allowed && silent && of.stage != run_stage::ending)
    {
        copy_wanted_.insert(of.name.task);
        return;
    }
    if (of.filler && of.stage == run_stage::running && failed_on_[of.name.task].size() < most_moves &&
        of.wanted_pace < moved_pace && !of.saved.empty() && now > of.paced_since + moved_after)
    {
        ++counts_.moved_pace;
        move_run(now, of, spec, "it would disturb what serves here");
        return;
    }
    if (of.stage != run_stage::running || silent || of.pace_percent < whole_percent || spec.gang)
    {
        return;
    }
    const bool at_work = spec.lasting && of.percent >= whole_percent;
    const bool reported = of.confirmed_at > of.progress_at + options_.standstill / 2;
    if (!at_work && reported && now > of.progress_at + options_.standstill)
    {
        ++counts_.moved_standstill;
        blame(now, *on, of.name.task.job, 1, "its tasks stand still");
        move_run(now, of, spec, "standstill");
        return;
    }
    const auto mean = step_mean_ms_.find(step_key(of.name.task));
    if (spec.lasting || mean == step_mean_ms_.end() || of.percent < least_measured_percent)
    {
        return;
    }
    const double elapsed = std::chrono::duration<double, std::milli>(of.confirmed_at - of.started_at).count();
    const double left =
        elapsed * static_cast<double>(whole_percent - of.percent) / static_cast<double>(of.percent);
    const double again = mean->second * (spec.saves_progress && !of.saved.empty() ? 0.5 : 1.0);
    const double extra = std::chrono::duration<double, std::milli>(options_.straggler_extra).count();
    // A filler is slow where others use their processors: it is moved for much, and its worker not blamed.
    const double factor = options_.straggler_factor * (of.filler ? filler_patience : 1);
    if (left > factor * again + extra && (!of.filler || !of.saved.empty()))
    {
        ++counts_.moved_straggler;
        blame(now, *on, of.name.task.job, of.filler ? 0 : 0.5, "its tasks are slow");
        move_run(now, of, spec, "straggler");
    }
}

void dispatcher::move_run(time_point now, run_view& of, const jobs::step_spec& spec, std::string_view why)
{
    if (spec.copies_allowed && runs_of(of.name.task).count > 1)
    {
        of.progress_at = now; // its copy is on the way already
        return;
    }
    events_.push_back(logging::event("dispatch", "run_moved", "A run is given up for another one elsewhere.")
                          .with("job", of.name.task.job)
                          .with("step", of.name.task.step)
                          .with("index", of.name.task.index)
                          .with("attempt", of.name.attempt)
                          .with("worker", of.worker)
                          .with("percent", of.percent)
                          .with("reason", why));
    failed_on_[of.name.task].insert(of.worker);
    if (spec.copies_allowed)
    {
        of.progress_at = now; // judged again after another while
        copy_wanted_.insert(of.name.task);
        return;
    }
    of.stop_wanted = true;
    of.end_if_absent = jobs::run_end::stopped;
    of.next_stop_at = now;
}

void dispatcher::watch_draining(time_point now, worker_view& of, const jobs::store& state)
{
    const auto since = std::chrono::duration_cast<milliseconds>(now - of.announced_at).count();
    const std::int64_t left_ms = of.info.time_left_ms - since - options_.drain_reserve.count();
    for (const jobs::run_name& name : std::vector<jobs::run_name>(of.runs.begin(), of.runs.end()))
    {
        run_view* run = find_run(name);
        const jobs::job* job = state.find(name.task.job);
        if (run == nullptr || job == nullptr || run->stop_wanted || run->stage == run_stage::ending ||
            run->stage == run_stage::proposed)
        {
            continue;
        }
        const jobs::step_spec& spec = job->spec.steps[name.task.step];
        const double elapsed = std::chrono::duration<double, std::milli>(now - run->started_at).count();
        const double needed = run->percent > 0 ? elapsed * static_cast<double>(whole_percent - run->percent) /
                                                     static_cast<double>(run->percent)
                                               : static_cast<double>(spec.estimate_ms);
        if (!spec.lasting && needed < static_cast<double>(left_ms))
        {
            continue; // it ends before its worker does
        }
        ++counts_.moved_drain;
        move_run(now, *run, spec, "its worker leaves");
    }
}

void dispatcher::summarize(time_point now, const jobs::store& state)
{
    if (now < next_summary_at_)
    {
        return;
    }
    next_summary_at_ = now + summary_interval;
    std::int64_t usable = 0;
    std::int64_t serving = 0;
    std::int64_t whole_cpu = 0;
    std::int64_t used_cpu = 0;
    std::int64_t filler_cpu = 0;
    std::int64_t paced = 0;
    std::int64_t silent = 0;
    std::int64_t aside = 0;
    for (const auto& [id, of] : workers_)
    {
        usable += is_usable(now, of, false) ? 1 : 0;
        serving += of.serving_runs > 0 ? 1 : 0;
        silent += of.silent_calls > options_.max_silent_calls ? 1 : 0;
        aside += now < of.set_aside_until ? 1 : 0;
        whole_cpu += of.announced ? of.info.room.cpu_milli : 0;
        used_cpu += of.used.cpu_milli;
        filler_cpu += of.filler_cpu_milli;
    }
    for (const auto& [name, run] : runs_)
    {
        paced += run.wanted_pace < whole_percent ? 1 : 0;
    }
    events_.push_back(logging::event("dispatch", "summary", "What runs and what waits.")
                          .with("live_jobs", static_cast<std::int64_t>(state.live().size()))
                          .with("runs", static_cast<std::int64_t>(runs_.size()))
                          .with("paced_runs", paced)
                          .with("workers", static_cast<std::int64_t>(workers_.size()))
                          .with("usable", usable)
                          .with("serving", serving)
                          .with("silent", silent)
                          .with("set_aside", aside)
                          .with("cpu_milli", whole_cpu)
                          .with("used_cpu_milli", used_cpu)
                          .with("filler_cpu_milli", filler_cpu));
}

// ---- pace --------------------------------------------------------------------------------------

void dispatcher::watch_pace(time_point now, worker_view& of)
{
    if (of.serving_runs == 0)
    {
        return;
    }
    learn_interference(of);
    note_over_target(now, of);
    if (of.filler_cpu_milli == 0 || now < of.pace_changed_at + pace_settle)
    {
        return;
    }
    const run_view* tightest = nullptr;
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        const bool disturbed = run.serving && lost_slack_of(run) > disturbed_slack;
        if (disturbed && (tightest == nullptr || slack_of(run) < slack_of(*tightest)))
        {
            tightest = &run;
        }
    }
    if (tightest == nullptr)
    {
        release_paces(now, of, most_slack);
    }
    else if (slack_of(*tightest) < least_slack)
    {
        set_paces(now, of, *tightest);
    }
    else
    {
        release_paces(now, of, slack_of(*tightest));
    }
}

double dispatcher::slack_of(const run_view& serving)
{
    if (serving.percent < whole_percent || serving.measured <= 0)
    {
        return most_slack;
    }
    return static_cast<double>(serving.tail_target_ms) / static_cast<double>(serving.measured);
}

void dispatcher::note_over_target(time_point now, worker_view& of)
{
    for (const jobs::run_name& name : of.runs)
    {
        run_view& run = runs_.at(name);
        if (!run.serving || slack_of(run) >= 1 || lost_slack_of(run) < disturbed_slack)
        {
            run.over_target_since.reset();
        }
        else if (!run.over_target_since.has_value())
        {
            run.over_target_since = now;
        }
    }
}

bool dispatcher::is_over_target(const worker_view& of) const
{
    return std::any_of(of.runs.begin(),
                       of.runs.end(),
                       [this](const jobs::run_name& name)
                       {
                           return runs_.at(name).over_target_since.has_value();
                       });
}

void dispatcher::guard_target(time_point now, worker_view& of)
{
    std::optional<time_point> since;
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        if (run.over_target_since.has_value())
        {
            since = std::min(since.value_or(now), *run.over_target_since);
        }
    }
    if (!since.has_value() || now < *since + over_target_pause)
    {
        return;
    }
    for (const jobs::run_name& name : of.runs)
    {
        run_view& run = runs_.at(name);
        if (!run.filler || run.stage == run_stage::proposed || run.stage == run_stage::ending)
        {
            continue;
        }
        run.wanted_pace = 0; // whatever is known of its image
        of.pace_changed_at = now;
        if (now > *since + over_target_stop && !run.stop_wanted)
        {
            ++counts_.moved_pace;
            run.stop_wanted = true;
            run.end_if_absent = jobs::run_end::stopped;
            run.next_stop_at = now;
        }
    }
}

void dispatcher::note_references()
{
    std::map<std::string, std::vector<double>> slacks;
    for (const auto& [name, run] : runs_)
    {
        if (run.serving && run.percent >= whole_percent && run.measured > 0)
        {
            slacks[step_key(name.task)].push_back(slack_of(run));
        }
    }
    sibling_slack_.clear();
    for (auto& [key, all] : slacks)
    {
        // The upper quarter: up to three of four may be disturbed.
        const auto quarter = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 4);
        std::nth_element(all.begin(), quarter, all.end(), std::greater<>());
        sibling_slack_[key] = *quarter;
    }
}

double dispatcher::lost_slack_of(const run_view& serving) const
{
    const auto found = sibling_slack_.find(step_key(serving.name.task));
    const double siblings = found == sibling_slack_.end() ? 0 : found->second;
    // Own load alone leaves so much at its peak: siblings with less are disturbed themselves.
    return std::max(siblings, slack_at_peak) - slack_of(serving);
}

void dispatcher::learn_interference(const worker_view& of)
{
    std::vector<filler_beside> beside;
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        if (!run.filler || run.stage != run_stage::running)
        {
            continue;
        }
        if (run.pace_unknown)
        {
            return; // what presses here can't be told yet
        }
        // A report covers half a second: a filler that has just come accounts for a part of it.
        const double age = std::chrono::duration<double>(run.confirmed_at - run.started_at).count();
        const double present = std::clamp(age / report_span_s, 0.0, 1.0);
        beside.push_back({run.image, present * static_cast<double>(run.pace_percent) / whole_percent});
    }
    std::set<std::string> seen;
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        // Tasks of one image suffer alike here: one report for each is enough.
        if (run.serving && run.percent >= whole_percent && run.measured > 0 && seen.insert(run.image).second)
        {
            interference_.observe(run.image, lost_slack_of(run), slack_of(run) < saturated_slack, beside);
        }
    }
}

void dispatcher::set_paces(time_point now, worker_view& of, const run_view& serving)
{
    double sum = 0; // of effects at the present pace
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        sum += run.filler ? interference_.effect(serving.image, run.image) * run.pace_percent / whole_percent
                          : 0;
    }
    const double missing = wanted_slack - slack_of(serving);
    const bool known = sum > 0 && slack_of(serving) > stop_slack;
    const double scale = known ? std::clamp(1 - missing / sum, 0.0, 1.0) : 0;
    for (const jobs::run_name& name : of.runs)
    {
        run_view& run = runs_.at(name);
        const bool known_harmless =
            interference_.effect(serving.image, run.image) < options_.harmless_effect &&
            interference_.evidence(serving.image, run.image) > enough_evidence;
        if (!run.filler || run.stage != run_stage::running || known_harmless)
        {
            continue;
        }
        const auto pace = static_cast<std::uint32_t>(scale * static_cast<double>(run.pace_percent));
        if (run.wanted_pace >= moved_pace)
        {
            run.paced_since = now;
        }
        run.wanted_pace = pace < least_pace ? 0 : pace;
        of.pace_changed_at = now;
    }
}

void dispatcher::release_paces(time_point now, worker_view& of, double slack)
{
    double free = slack - wanted_slack;
    for (const jobs::run_name& name : of.runs)
    {
        run_view& run = runs_.at(name);
        if (!run.filler || run.stage != run_stage::running || run.wanted_pace >= whole_percent)
        {
            continue;
        }
        const double worst = worst_effect(of, run.image);
        const auto left = static_cast<double>(whole_percent - run.wanted_pace) / whole_percent;
        const double step = worst <= 0 ? left : std::clamp(free / worst, 0.0, left);
        free -= step * worst;
        const auto percent = static_cast<std::uint32_t>(step * whole_percent);
        if (percent >= least_pace)
        {
            run.wanted_pace += percent;
            of.pace_changed_at = now;
        }
    }
}

void dispatcher::order_paces(dispatch_output& out)
{
    for (auto& [name, run] : runs_)
    {
        const worker_view* on = find_worker(run.worker);
        const bool differs = run.pace_unknown || run.wanted_pace != run.pace_percent;
        const bool due = run.stage == run_stage::running && differs;
        if (!due || run.pace_in_flight || on == nullptr || on->silent_calls > 0)
        {
            continue;
        }
        run.pace_in_flight = true;
        ++counts_.paces_ordered;
        out.orders.emplace_back(pace_order{recipient_of(*on), term_, name, run.wanted_pace});
    }
    for (const auto& [worker, name] : std::exchange(strays_, {}))
    {
        if (const worker_view* on = find_worker(worker); on != nullptr)
        {
            ++counts_.stops_ordered;
            out.orders.emplace_back(stop_order{recipient_of(*on), term_, name});
        }
    }
}

} // namespace plumspoke::dispatch
