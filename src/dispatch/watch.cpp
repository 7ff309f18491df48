/// @file
/// @brief Detection of stalled runs and stragglers, draining workers, and the periodic summary.

#include "pace_limits.hpp"
#include "plumspoke/dispatch/dispatcher.hpp"
#include "repeated_failure_weight.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::int64_t min_measured_percent = 3;           // below this, the speed is dominated by rounding
constexpr duration min_sweep_interval = milliseconds(100); // workers report about once a second
// Interval per run, which bounds the share of a processor that checking all runs takes.
constexpr duration sweep_interval_per_run = std::chrono::microseconds(40);
constexpr auto summary_interval = seconds(2);  // short enough to show a disturbance of a few seconds
constexpr auto cleaning_interval = seconds(1); // of state kept for ended jobs
// Limit for a poll's answer that lists the end of a stopped run or no longer lists the run.
constexpr auto stop_confirmation_timeout = milliseconds(2500);
constexpr auto move_delay = milliseconds(200); // a move costs about 0.4 s to restore the saved work
constexpr std::size_t max_moves = 2;           // per task: on a full fleet further moves don't help
constexpr int max_straggler_moves = 2;   // per task: one that is slow on three workers is inherently slow
constexpr int max_timeout_doublings = 6; // from 1.6 s to 102 s
constexpr double filler_straggler_factor = 2; // fillers are slower while others use their processors

} // namespace

// Longer with more runs; their figures arrive with polls, once or twice a second.
duration dispatcher::sweep_interval() const noexcept
{
    return std::max(min_sweep_interval, sweep_interval_per_run * static_cast<std::int64_t>(runs_.size()));
}

void dispatcher::watch_runs(time_point now, const jobs::store& state)
{
    update_reference_slacks();
    for (auto& [name, run] : runs_)
    {
        note_run_wait(now, run);
        watch_run(now, run);
        stop_redundant_copy(run, state);
        track_if_actionable(run);
    }
}

void dispatcher::watch_workers(time_point now, const jobs::store& state)
{
    for (worker_view* worker : all_workers())
    {
        if (worker->serving_runs > 0 && worker->filler_cpu_milli > 0)
        {
            enforce_target(now, *worker);
        }
        if (worker->announced && worker->info.state == fleet::worker_state::draining)
        {
            watch_draining(now, *worker, state);
        }
    }
    if (now >= next_cleaning_at_)
    {
        next_cleaning_at_ = now + cleaning_interval;
        forget_ended_jobs(state);
    }
}

void dispatcher::forget_ended_jobs(const jobs::store& state)
{
    const auto is_over = [&state](const jobs::job_id& job)
    {
        const jobs::job* found = state.find(job);
        return found == nullptr || jobs::is_final(found->phase);
    };
    std::erase_if(failed_on_,
                  [&](const auto& entry)
                  {
                      return is_over(entry.first.job);
                  });
    retry_backoff_.erase_jobs(is_over);
    early_ends_.erase_jobs(is_over);
    job_idle_times_.erase_jobs(is_over);
    listed_runs_.erase_jobs(is_over);
    std::erase_if(slow_moves_,
                  [&](const auto& entry)
                  {
                      return is_over(entry.first.job);
                  });
    std::erase_if(isolation_wait_since_,
                  [&](const auto& entry)
                  {
                      return is_over(entry.first.job);
                  });
    std::erase_if(copy_wanted_,
                  [&](const auto& name)
                  {
                      return is_over(name.job);
                  });
    std::erase_if(steps_,
                  [&](const auto& entry)
                  {
                      return is_over(entry.first.first);
                  });
}

void dispatcher::stop_redundant_copy(run_view& run, const jobs::store& state)
{
    if (!run.copies_allowed || run.gang)
    {
        return;
    }
    const jobs::task* task = state.find(run.name.task);
    if (task != nullptr && task->phase == jobs::task_phase::done)
    {
        run.stop_wanted = true; // a copy finished first
    }
}

// Called for each run up to ten times a second, so it avoids lookups by name. Runs of ended jobs are already
// to be stopped and are skipped.
void dispatcher::watch_run(time_point now, run_view& run)
{
    if (run.stop_wanted)
    {
        retry_unconfirmed_stop(now, run);
        return;
    }
    worker_view& worker = *run.on;
    const bool silent = worker.unanswered_calls > options_.max_unanswered_calls;
    if (run.copies_allowed && silent && run.stage != run_stage::ending && is_on(mechanism::copies))
    {
        copy_wanted_.insert(run.name.task);
        return;
    }
    if (run.filler && run.stage == run_stage::running && run.wanted_pace < relocation_pace &&
        !run.saved.empty() && now > run.slowed_since + move_delay &&
        failed_on_[run.name.task].size() < max_moves)
    {
        ++counts_.moved_pace;
        move_run(now, run, "it would disturb what serves here");
        return;
    }
    const bool is_checked = run.stage == run_stage::running && !silent && run.pace_percent >= full_percent;
    if (!is_checked || run.gang || !is_on(mechanism::straggler_moves))
    {
        return;
    }
    const bool at_work = run.lasting && run.percent >= full_percent;
    const bool reported = run.confirmed_at > run.progress_at + options_.stall_timeout / 2;
    if (!at_work && reported && now > run.progress_at + options_.stall_timeout)
    {
        move_stalled_run(now, run);
        return;
    }
    if (run.lasting || run.siblings->done == 0 || run.percent < min_measured_percent)
    {
        return;
    }
    const double elapsed_ms =
        std::chrono::duration<double, std::milli>(run.confirmed_at - run.started_at).count();
    const double remaining_ms =
        elapsed_ms * static_cast<double>(full_percent - run.percent) / static_cast<double>(run.percent);
    const double restart_ms = run.siblings->mean_ms * (run.saves_progress && !run.saved.empty() ? 0.5 : 1.0);
    const double margin_ms = std::chrono::duration<double, std::milli>(options_.straggler_margin).count();
    // Fillers slow down while others use their processors: the factor is larger, and the worker is not
    // penalized.
    const double factor = options_.straggler_factor * (run.filler ? filler_straggler_factor : 1);
    if (remaining_ms > factor * restart_ms + margin_ms && (!run.filler || !run.saved.empty()))
    {
        move_straggling_run(now, run);
    }
}

// The only check of an acknowledgement while polls are unanswered.
void dispatcher::retry_unconfirmed_stop(time_point now, run_view& run)
{
    if (run.stop_acknowledged_at.has_value() &&
        now > std::max(*run.stop_acknowledged_at, run.next_stop_at) + stop_confirmation_timeout)
    {
        run.stop_unconfirmed = true;
        track_if_actionable(run);
    }
}

int dispatcher::slow_moves_of(const jobs::task_name& task) const
{
    const auto found = slow_moves_.find(task);
    return found == slow_moves_.end() ? 0 : found->second;
}

// A task that stalls on every worker must neither be moved for ever nor set sound workers aside: each move
// doubles the timeout, and only the first worker is penalized in full.
void dispatcher::move_stalled_run(time_point now, run_view& run)
{
    const int moves = slow_moves_of(run.name.task);
    const duration timeout = options_.stall_timeout * (1 << std::min(moves, max_timeout_doublings));
    if (now <= run.progress_at + timeout)
    {
        return;
    }
    ++slow_moves_[run.name.task];
    ++counts_.moved_stalled;
    penalize_worker(
        now, *run.on, run.name.task.job, moves == 0 ? 1 : repeated_failure_weight, "its tasks stand still");
    move_run(now, run, "standstill");
}

// The number of moves is limited: an inherently slow task would be moved for ever and never end.
void dispatcher::move_straggling_run(time_point now, run_view& run)
{
    const int moves = slow_moves_of(run.name.task);
    if (moves >= max_straggler_moves)
    {
        return;
    }
    ++slow_moves_[run.name.task];
    ++counts_.moved_straggler;
    const double weight = moves == 0 ? 0.5 : 0.5 * repeated_failure_weight;
    penalize_worker(now, *run.on, run.name.task.job, run.filler ? 0 : weight, "its tasks are slow");
    move_run(now, run, "straggler");
}

void dispatcher::move_run(time_point now, run_view& run, std::string_view why)
{
    if (run.copies_allowed && runs_of(run.name.task).count > 1)
    {
        run.progress_at = now; // a copy already exists
        return;
    }
    events_.push_back(
        logging::event("dispatch", "run_moved", "A run is replaced by another one on another worker.")
            .with("job", run.name.task.job)
            .with("step", run.name.task.step)
            .with("index", run.name.task.index)
            .with("attempt", run.name.attempt)
            .with("worker", run.worker.id)
            .with("born_ms", run.worker.born_ms)
            .with("percent", run.percent)
            .with("reason", why));
    failed_on_[run.name.task].insert(run.worker);
    if (run.copies_allowed && is_on(mechanism::copies))
    {
        run.progress_at = now; // checked again after another timeout
        copy_wanted_.insert(run.name.task);
        return;
    }
    run.stop_wanted = true;
    run.end_if_absent = jobs::run_end::stopped;
    run.next_stop_at = now;
    track_if_actionable(run);
}

void dispatcher::watch_draining(time_point now, worker_view& worker, const jobs::store& state)
{
    const auto since = std::chrono::duration_cast<milliseconds>(now - worker.announced_at).count();
    const std::int64_t left_ms = worker.info.time_left_ms - since - options_.drain_reserve.count();
    for (run_view& run : worker.runs)
    {
        const jobs::job* job = state.find(run.name.task.job);
        if (job == nullptr || run.stop_wanted || run.stage == run_stage::ending ||
            run.stage == run_stage::proposed)
        {
            continue;
        }
        const jobs::step_spec& spec = job->spec.steps[run.name.task.step];
        const double elapsed_ms = std::chrono::duration<double, std::milli>(now - run.started_at).count();
        const double needed_ms = run.percent > 0
                                     ? elapsed_ms * static_cast<double>(full_percent - run.percent) /
                                           static_cast<double>(run.percent)
                                     : static_cast<double>(spec.estimate_ms);
        if (!spec.lasting && needed_ms < static_cast<double>(left_ms))
        {
            continue; // it will end before its worker leaves
        }
        ++counts_.moved_drain;
        move_run(now, run, "its worker leaves");
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
    std::int64_t set_aside = 0;
    for (const auto& [id, worker] : workers_)
    {
        usable += is_available(now, worker, false) ? 1 : 0;
        serving += worker.serving_runs > 0 ? 1 : 0;
        silent += worker.unanswered_calls > options_.max_unanswered_calls ? 1 : 0;
        set_aside += now < worker.set_aside_until ? 1 : 0;
        whole_cpu += worker.announced ? worker.info.room.cpu_milli : 0;
        used_cpu += worker.used.cpu_milli;
        filler_cpu += worker.filler_cpu_milli;
    }
    for (const auto& [name, run] : runs_)
    {
        paced += run.wanted_pace < full_percent ? 1 : 0;
    }
    events_.push_back(logging::event("dispatch", "summary", "Summary of jobs, runs and workers.")
                          .with("live_jobs", static_cast<std::int64_t>(state.live().size()))
                          .with("runs", static_cast<std::int64_t>(runs_.size()))
                          .with("paced_runs", paced)
                          .with("workers", static_cast<std::int64_t>(workers_.size()))
                          .with("usable", usable)
                          .with("serving", serving)
                          .with("silent", silent)
                          .with("set_aside", set_aside)
                          .with("cpu_milli", whole_cpu)
                          .with("used_cpu_milli", used_cpu)
                          .with("filler_cpu_milli", filler_cpu));
}

} // namespace plumspoke::dispatch
