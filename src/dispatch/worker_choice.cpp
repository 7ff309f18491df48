/// @file
/// @brief Chooses the worker for a task, and logs why a task finds none.

#include "pace_limits.hpp"
#include "ready_step.hpp"
#include "start_survival.hpp"

#include <algorithm>
#include <array>

namespace plumspoke::dispatch
{

namespace
{

// Share of a worker's processors, added to the score of a worker that runs serving tasks: tasks that don't
// interfere are placed there, so that workers without serving tasks stay free for fillers.
constexpr double serving_bonus = 0.5;
// Thousandths of a core subtracted from a worker's score for each point of its failure score.
constexpr double failure_cost = 8000;
constexpr double shared_processors_cost = 120'000; // more than the processors of a worker
constexpr double off_rack_cost = 30'000;           // more than any difference in free processors
constexpr double unproven_cost =
    16'000; // for a task that failed before, on a worker without successes or with failures
// Share of a worker's processors. Serving tasks of one image are colocated, so that fillers that interfere
// with that image are kept off fewer workers. Above 2 an empty worker is preferred to one that serves another
// image.
constexpr double mixed_images_cost = 2.5;
// Share of a worker's processors for each unit of slack that a filler would take from a serving task.
constexpr double effect_cost = 1;
// A worker that runs a critical suspect may crash within 50 ms, so other tasks are placed there last.
constexpr double beside_critical_suspect_cost = 60'000;
constexpr auto wait_reason_interval = seconds(1);  // per kind of work; one task of a queue is representative
constexpr std::ptrdiff_t max_starting_fillers = 2; // on a worker with fillers that interfere
constexpr double max_set_aside_share = 0.34;

} // namespace

void dispatcher::update_set_aside_limit(time_point now)
{
    std::size_t announced = 0;
    std::size_t aside = 0;
    for (const auto& [id, worker] : workers_)
    {
        announced += worker.announced ? 1 : 0;
        aside += worker.announced && now < worker.set_aside_until ? 1 : 0;
    }
    ignore_set_aside_ = static_cast<double>(aside) > max_set_aside_share * static_cast<double>(announced);
}

worker_view* dispatcher::choose_worker(time_point now,
                                       const ready_step& step,
                                       const waiting_task& task,
                                       start_kind start,
                                       const std::string& rack,
                                       std::span<const candidate> candidates) const
{
    const jobs::task& recorded = step.state().tasks[task.name.index];
    const auto failed = failed_on_.find(task.name);
    const worker_view* holds_copy = task.runs.first_worker;
    const bool suspect = is_suspect(recorded.evidence);
    const early_ends::counts* ended_early = early_ends_.find(early_ends_key(task.name, step.spec->gang));
    worker_view* best = nullptr;
    std::pair<int, double> best_rank;
    for (const candidate& entry : candidates)
    {
        const worker_view& worker = *entry.worker;
        double score = entry.score;
        if (failed != failed_on_.end())
        {
            score -= worker.tasks_done == 0 || worker.failure_score > 0.5 ? unproven_cost : 0;
            score -= failed->second.contains(worker.info.life) ? 2 * off_rack_cost : 0;
        }
        score -= now < worker.set_aside_until ? set_aside_cost : 0;
        const bool shares = start == start_kind::shared_processors &&
                            filler_headroom_milli(worker) < step.spec->needs.cpu_milli;
        score -= shares ? shared_processors_cost : 0;
        score -= suspect ? crash_risk_cost(now, worker) : 0;
        score -= !rack.empty() && worker.info.rack != rack ? off_rack_cost : 0;
        const bool blocked_by_headroom =
            start != start_kind::restart_anywhere && step.spec->lasting && !leaves_headroom(worker, step);
        // By count first: whatever their scores, each worker is tried before one of them is tried again.
        const std::pair rank(-count_on(ended_early, worker.info.life), score);
        if (&worker != holds_copy && !blocked_by_headroom && (best == nullptr || rank > best_rank))
        {
            best = entry.worker;
            best_rank = rank;
        }
    }
    return best;
}

bool dispatcher::is_available(time_point now, const worker_view& worker, bool urgent) const
{
    const bool set_aside = now < worker.set_aside_until && !ignore_set_aside_ && !urgent;
    return can_take_tasks(now, worker) && !set_aside && now >= worker.no_room_until;
}

bool dispatcher::can_take_tasks(time_point now, const worker_view& worker) const
{
    return is_reachable(now, worker) && worker.info.state == fleet::worker_state::ready &&
           !worker.departs_at.has_value() && !worker.evacuated && worker.contacted && worker.clock.known() &&
           worker.unanswered_calls <= options_.max_unanswered_calls && may_be_renewed(worker);
}

bool dispatcher::is_reachable(time_point now, const worker_view& worker) const noexcept
{
    const bool announces = now < worker.announced_at + options_.announcement_timeout;
    const bool answers = now < worker.answered_at + options_.answer_timeout &&
                         now < worker.announced_at + options_.max_announcement_age;
    return worker.announced && (announces || answers);
}

std::uint32_t dispatcher::count_step_runs(const worker_view& worker, const ready_step& step)
{
    return static_cast<std::uint32_t>(std::count_if(worker.runs.begin(),
                                                    worker.runs.end(),
                                                    [&step](const run_view& run)
                                                    {
                                                        const jobs::task_name& task = run.name.task;
                                                        return task.step == step.step &&
                                                               task.occurrence == step.at->number &&
                                                               task.job == step.job->id;
                                                    }));
}

dispatcher::eligibility dispatcher::check_eligibility(time_point now,
                                                      worker_view& worker,
                                                      const ready_step& step,
                                                      start_kind start) const
{
    const jobs::step_spec& spec = *step.spec;
    if (worker.info.service != step.job->source_queue.service)
    {
        return eligibility::other_pool;
    }
    if (!is_available(now, worker, step.urgent))
    {
        return eligibility::unavailable;
    }
    const std::vector<std::string>& labels = worker.info.labels;
    if (!spec.required_label.empty() &&
        std::find(labels.begin(), labels.end(), spec.required_label) == labels.end())
    {
        return eligibility::missing_label;
    }
    if (spec.max_per_worker > 0 && count_step_runs(worker, step) >= spec.max_per_worker)
    {
        return eligibility::per_worker_limit;
    }
    const bool respects_reservations = !spec.filler || start == start_kind::shared_processors;
    if (respects_reservations && worker.reserved && !step.owed)
    {
        return eligibility::reserved;
    }
    jobs::resources left = worker.info.room;
    left -= worker.used;
    jobs::resources needs = spec.needs;
    if (spec.filler)
    {
        if (start != start_kind::shared_processors && filler_headroom_milli(worker) < needs.cpu_milli)
        {
            return eligibility::insufficient_capacity;
        }
        refresh_colocation(worker);
        if (worker.colocation.over_target)
        {
            return eligibility::over_target;
        }
        // A starving filler would wait forever, so it is placed where it interferes least and is throttled as
        // far as needed. Only one per worker: otherwise all waiting fillers would run throttled, and none
        // would finish.
        if (would_interfere(worker.colocation, step.image_id) &&
            (!step.starving ||
             (has_interfering_filler(worker.colocation) && !may_join_fillers(now, worker, step))))
        {
            return eligibility::would_interfere;
        }
        needs.cpu_milli = 0;
    }
    if (!needs.fits_into(left))
    {
        return eligibility::insufficient_capacity;
    }
    const bool has_headroom =
        start == start_kind::restart_anywhere || !spec.lasting || leaves_headroom(worker, step);
    return has_headroom ? eligibility::eligible : eligibility::short_task_headroom;
}

// A job that must start shares the pace with the fillers there. Those that start are at full pace until
// their effect is reported.
bool dispatcher::may_join_fillers(time_point now, const worker_view& worker, const ready_step& step) const
{
    const auto starting = std::count_if(worker.runs.begin(),
                                        worker.runs.end(),
                                        [now](const run_view& run)
                                        {
                                            return run.filler && (run.stage != run_stage::running ||
                                                                  now < run.started_at + pace_settle_time);
                                        });
    return step.owed && starting < max_starting_fillers && activity_of(now, *step.job) == job_activity::idle;
}

void dispatcher::log_wait_reasons(time_point now, const ready_step& step, std::uint32_t index)
{
    time_point& next_at = next_wait_reason_at_.at(static_cast<std::size_t>(step.kind()));
    if (now < next_at)
    {
        return;
    }
    next_at = now + wait_reason_interval;
    logging::event line("dispatch", "task_waits", "No worker can take a task now.");
    line.with("job", step.job->id).with("step", step.step).with("index", index);
    add_wait_reasons(now, step, index, line);
    events_.push_back(std::move(line));
}

void dispatcher::add_wait_reasons(time_point now,
                                  const ready_step& step,
                                  std::uint32_t index,
                                  logging::event& line)
{
    std::array<std::int64_t, eligibility_count> counts{};
    const bool first = step.state().tasks[index].last_attempt == 0;
    const start_kind own_processors = first ? start_kind::first : start_kind::restart_anywhere;
    const start_kind start = may_share_processors(now, step) ? start_kind::shared_processors : own_processors;
    std::int64_t with_suspects = 0;
    for (worker_view* worker : all_workers())
    {
        const eligibility found = check_eligibility(now, *worker, step, start);
        ++counts.at(static_cast<std::size_t>(found));
        with_suspects += found == eligibility::eligible && count_unproven_suspects(*worker) > 0 ? 1 : 0;
    }
    const pool_headroom* pool = find_headroom(step.job->source_queue.service);
    const auto count_of = [&counts](eligibility reason)
    {
        return counts.at(static_cast<std::size_t>(reason));
    };
    line.with("lasting", step.spec->lasting ? 1 : 0)
        .with("filler", step.spec->filler ? 1 : 0)
        .with("needs_cpu_milli", step.spec->needs.cpu_milli)
        .with("needs_memory_mb", step.spec->needs.memory_mb)
        .with("not_usable", count_of(eligibility::unavailable))
        .with("no_label", count_of(eligibility::missing_label))
        .with("spread", count_of(eligibility::per_worker_limit))
        .with("no_room", count_of(eligibility::insufficient_capacity))
        .with("starving", step.starving ? 1 : 0)
        .with("would_harm", count_of(eligibility::would_interfere))
        .with("over_target", count_of(eligibility::over_target))
        .with("held", count_of(eligibility::reserved))
        .with("kept", count_of(eligibility::short_task_headroom))
        .with("eligible", count_of(eligibility::eligible))
        .with("with_suspects", with_suspects)
        .with("pool_milli", pool == nullptr ? 0 : pool->available_milli)
        .with("pool_used_milli", pool == nullptr ? 0 : pool->used_milli);
}

double dispatcher::same_image_share(const worker_row& row, image_number image)
{
    const auto found = std::find_if(row.colocation->serving.begin(),
                                    row.colocation->serving.end(),
                                    [image](const serving_image& entry)
                                    {
                                        return entry.image == image;
                                    });
    return row.serving_runs == 0 || found == row.colocation->serving.end()
               ? 0
               : static_cast<double>(found->runs) / row.serving_runs;
}

index_key dispatcher::index_key_for(const ready_step& step, start_kind start) noexcept
{
    const jobs::step_spec& spec = *step.spec;
    if (spec.lasting && start == start_kind::restart_anywhere)
    {
        return {task_kind::short_task, 0}; // best fit, whatever runs there: uses up as few slots as possible
    }
    if (spec.lasting && spec.tail_target_ms > 0)
    {
        return {task_kind::serving, step.image_id};
    }
    if (spec.filler)
    {
        if (start == start_kind::shared_processors)
        {
            return {step.owed ? task_kind::owed_sharing_filler : task_kind::sharing_filler, step.image_id};
        }
        const task_kind waiting = step.starving ? task_kind::starving_filler : task_kind::filler;
        return {step.owed && step.starving ? task_kind::owed_filler : waiting, step.image_id};
    }
    return {task_kind::short_task, 0};
}

bool dispatcher::is_off_data_rack(const worker_view& worker, const ready_step& step)
{
    return !step.spec->data_rack.empty() && worker.info.rack != step.spec->data_rack;
}

worker_row dispatcher::make_row(worker_view& worker) const
{
    refresh_colocation(worker);
    worker_row row;
    row.worker = &worker;
    row.free_cpu_milli = free_cpu_milli(worker, false);
    row.filler_free_milli = free_cpu_milli(worker, true);
    row.total_milli = worker.info.room.cpu_milli;
    row.filler_milli = worker.filler_cpu_milli;
    row.penalty = failure_cost * worker.failure_score +
                  (worker.critical_suspects > 0 ? beside_critical_suspect_cost : 0);
    row.serving_runs = worker.serving_runs;
    row.colocation = &worker.colocation;
    return row;
}

double dispatcher::score_worker(worker_view& worker, const ready_step& step, start_kind start) const
{
    return base_score(make_row(worker), index_key_for(step, start)) -
           (is_off_data_rack(worker, step) ? off_rack_cost : 0);
}

double dispatcher::base_score(const worker_row& row, const index_key& key) const
{
    const auto free = static_cast<double>(row.free_cpu_milli);
    const auto fillers = static_cast<double>(row.filler_milli);
    const auto total = static_cast<double>(row.total_milli);
    const double score = -row.penalty;
    switch (key.kind)
    {
    case task_kind::serving:
    {
        // Serving tasks are packed, so that many workers stay free for fillers.
        const bool penalize_mix = row.serving_runs > 0 && is_on(mechanism::serving_by_image);
        const double other_images = penalize_mix ? 1 - same_image_share(row, key.image) : 0;
        return score + (row.serving_runs > 0 ? total : 0) - free - 2 * fillers -
               mixed_images_cost * total * other_images;
    }
    case task_kind::filler:
    case task_kind::starving_filler:
    case task_kind::owed_filler:
    case task_kind::sharing_filler:
    case task_kind::owed_sharing_filler:
        // A filler can't interfere on a worker without serving tasks.
        return score + static_cast<double>(row.filler_free_milli) -
               effect_cost * total * max_effect_of(*row.colocation, key.image);
    case task_kind::short_task:
        break;
    }
    const bool tight = is_on(mechanism::tight_short_tasks);
    return score + (tight ? -free : free) - fillers + (row.serving_runs > 0 ? serving_bonus * total : 0);
}

} // namespace plumspoke::dispatch
