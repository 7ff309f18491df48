/// @file
/// @brief Runs that stand still or lag, workers that leave, and fillers that disturb what serves.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::int64_t whole_percent = 100;
constexpr std::int64_t least_measured_percent = 3; // below this a speed is mostly rounding
// Fillers are slowed as soon as a serving task's tail passes this share of its target, and let go
// again below the lower one.
constexpr double slow_down_share = 0.85;
constexpr double let_go_share = 0.6;
constexpr std::uint32_t pace_step_up = 20; // percent
// A report covers the last half second: a pace is judged by reports from after it took effect.
constexpr auto pace_settle = milliseconds(700);


std::string step_key(const jobs::task_name& name)
{
    return name.job + "." + std::to_string(name.step);
}

} // namespace

void dispatcher::watch_runs(time_point now, const jobs::store& state)
{
    for (auto& [name, of] : runs_)
    {
        watch_run(now, of, state);
    }
    for (auto& [id, of] : workers_)
    {
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
    const double left = elapsed * static_cast<double>(whole_percent - of.percent) / static_cast<double>(of.percent);
    const double again = mean->second * (spec.saves_progress && !of.saved.empty() ? 0.5 : 1.0);
    const double extra = std::chrono::duration<double, std::milli>(options_.straggler_extra).count();
    if (left > options_.straggler_factor * again + extra)
    {
        ++counts_.moved_straggler;
        blame(now, *on, of.name.task.job, 0.5, "its tasks are slow");
        move_run(now, of, spec, "straggler");
    }
}

void dispatcher::move_run(time_point now, run_view& of, const jobs::step_spec& spec, std::string_view why)
{
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
        const double needed =
            run->percent > 0
                ? elapsed * static_cast<double>(whole_percent - run->percent) / static_cast<double>(run->percent)
                : static_cast<double>(spec.estimate_ms);
        if (!spec.lasting && needed < static_cast<double>(left_ms))
        {
            continue; // it ends before its worker does
        }
        ++counts_.moved_drain;
        move_run(now, *run, spec, "its worker leaves");
    }
}

// ---- pace --------------------------------------------------------------------------------------

void dispatcher::watch_pace(time_point now, worker_view& of)
{
    if (of.serving_runs == 0 || of.filler_cpu_milli == 0 || now < of.pace_changed_at + pace_settle)
    {
        return;
    }
    double worst = 0;
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        if (run.serving && run.tail_target_ms > 0 && run.percent >= whole_percent)
        {
            worst = std::max(worst, static_cast<double>(run.measured) / run.tail_target_ms);
        }
    }
    for (const jobs::run_name& name : of.runs)
    {
        run_view& run = runs_.at(name);
        if (!run.filler || run.stage != run_stage::running)
        {
            continue;
        }
        const std::uint32_t before = run.wanted_pace;
        if (worst > 1)
        {
            run.wanted_pace = run.wanted_pace / 4;
        }
        else if (worst > slow_down_share)
        {
            run.wanted_pace = run.wanted_pace / 2;
        }
        else if (worst < let_go_share)
        {
            run.wanted_pace = std::min<std::uint32_t>(whole_percent, run.wanted_pace + pace_step_up);
        }
        if (run.wanted_pace != before)
        {
            of.pace_changed_at = now;
        }
    }
}

void dispatcher::order_paces(dispatch_output& out)
{
    for (auto& [name, run] : runs_)
    {
        const worker_view* on = find_worker(run.worker);
        const bool due = run.stage == run_stage::running && run.wanted_pace != run.pace_percent;
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
