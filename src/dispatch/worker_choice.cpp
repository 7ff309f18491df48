/// @file
/// @brief Which worker takes a task, and why none does.

#include "ready_step.hpp"

#include <algorithm>
#include <array>

namespace plumspoke::dispatch
{

namespace
{

// Of a worker's processors, in favour of one that serves already: what doesn't disturb goes there, so
// that fillers find workers where nothing serves.
constexpr double serving_bonus = 0.5;
// Thousandths of a core that one point of blame costs a worker in the comparison.
constexpr double blame_cost = 8000;
constexpr double wrong_rack_cost = 30'000; // more than any difference in free processors
constexpr double unproven_cost = 16'000;   // for a task that has failed before
// Of a worker's processors: serving tasks of one image go together, since what harms one image is then kept
// from fewer workers. Above 2 an empty worker is better than one that serves another image.
constexpr double mixed_images_cost = 2.5;
// Of a worker's processors, for each unit of slack that a filler would take from a serving task.
constexpr double effect_cost = 1;
// A worker that may crash within 50 ms is the last choice for sound tasks.
constexpr double beside_prime_suspect_cost = 60'000;
constexpr auto explanation_interval = seconds(1); // one waiting task of a kind a second explains a queue
constexpr double max_set_aside_share = 0.34;

} // namespace

void dispatcher::note_set_aside_share(time_point now)
{
    std::size_t announced = 0;
    std::size_t aside = 0;
    for (const auto& [id, of] : workers_)
    {
        announced += of.announced ? 1 : 0;
        aside += of.announced && now < of.set_aside_until ? 1 : 0;
    }
    ignore_set_aside_ = static_cast<double>(aside) > max_set_aside_share * static_cast<double>(announced);
}

worker_view* dispatcher::choose_worker(time_point now,
                                       const ready_step& what,
                                       const waiting_task& task,
                                       start_kind how,
                                       const std::string& rack,
                                       std::span<const candidate> candidates) const
{
    const jobs::task& recorded = what.state().tasks[task.name.index];
    const auto failed = failed_on_.find(task.name);
    const worker_view* holds_copy = task.runs.first_on;
    const bool suspect = is_suspect(recorded.evidence);
    worker_view* best = nullptr;
    double best_score = 0;
    for (const candidate& one : candidates)
    {
        const worker_view& of = *one.on;
        double points = one.points;
        if (failed != failed_on_.end())
        {
            points -= of.tasks_done == 0 || of.failure_score > 0.5 ? unproven_cost : 0;
            points -= failed->second.contains(of.info.life) ? 2 * wrong_rack_cost : 0;
        }
        points -= now < of.set_aside_until ? set_aside_cost : 0;
        points -= suspect ? crash_risk_cost(now, of) : 0;
        points -= !rack.empty() && of.info.rack != rack ? wrong_rack_cost : 0;
        const bool kept =
            how != start_kind::again_anywhere && what.spec->lasting && !leaves_short_room(of, what);
        if (&of != holds_copy && !kept && (best == nullptr || points > best_score))
        {
            best = one.on;
            best_score = points;
        }
    }
    return best;
}

bool dispatcher::is_usable(time_point now, const worker_view& of, bool urgent) const
{
    const bool set_aside = now < of.set_aside_until && !ignore_set_aside_ && !urgent;
    return is_present(now, of) && of.info.state == fleet::worker_state::ready && !of.departs_at.has_value() &&
           of.contacted && of.clock.known() && of.unanswered_calls <= options_.max_unanswered_calls &&
           !set_aside && now >= of.no_room_until;
}

bool dispatcher::is_present(time_point now, const worker_view& of) const noexcept
{
    const bool announces = now < of.announced_at + options_.announcement_timeout;
    const bool answers = now < of.answered_at + options_.answer_timeout &&
                         now < of.announced_at + options_.max_announcement_age;
    return of.announced && (announces || answers);
}

std::uint32_t dispatcher::runs_of_step(const worker_view& of, const ready_step& what)
{
    return static_cast<std::uint32_t>(std::count_if(of.runs.begin(),
                                                    of.runs.end(),
                                                    [&what](const run_view& run)
                                                    {
                                                        const jobs::task_name& task = run.name.task;
                                                        return task.step == what.step &&
                                                               task.occurrence == what.at->number &&
                                                               task.job == what.job->id;
                                                    }));
}

dispatcher::fitness
dispatcher::may_take(time_point now, worker_view& of, const ready_step& what, start_kind how) const
{
    const jobs::step_spec& spec = *what.spec;
    if (of.info.service != what.job->source_queue.service)
    {
        return fitness::other_pool;
    }
    if (!is_usable(now, of, what.urgent))
    {
        return fitness::not_usable;
    }
    const std::vector<std::string>& labels = of.info.labels;
    if (!spec.required_label.empty() &&
        std::find(labels.begin(), labels.end(), spec.required_label) == labels.end())
    {
        return fitness::no_label;
    }
    if (spec.max_per_worker > 0 && runs_of_step(of, what) >= spec.max_per_worker)
    {
        return fitness::spread;
    }
    if (!spec.filler && of.held)
    {
        return fitness::held;
    }
    jobs::resources left = of.info.room;
    left -= of.used;
    jobs::resources needs = spec.needs;
    if (spec.filler)
    {
        if (spare_for_fillers(of) < needs.cpu_milli)
        {
            return fitness::no_room;
        }
        refresh_digest(of);
        if (of.digest.over_target)
        {
            return fitness::would_harm;
        }
        // What would wait for ever is put where it harms least, and slowed there as far as needed: one on a
        // worker, else all that waits stands slowed on all workers, and nothing ends.
        if (harms(of.digest, what.image_id) && (!what.starving || has_harmful_filler(of.digest)))
        {
            return fitness::would_harm;
        }
        needs.cpu_milli = 0;
    }
    if (!needs.fits_into(left))
    {
        return fitness::no_room;
    }
    const bool leaves_room =
        how == start_kind::again_anywhere || !spec.lasting || leaves_short_room(of, what);
    return leaves_room ? fitness::fits : fitness::kept;
}

void dispatcher::explain_wait(time_point now, const ready_step& what, std::uint32_t index)
{
    time_point& next_at = next_explanation_at_.at(static_cast<std::size_t>(what.kind()));
    if (now < next_at)
    {
        return;
    }
    next_at = now + explanation_interval;
    std::array<std::int64_t, fitness_count> counts{};
    const bool first = what.state().tasks[index].last_attempt == 0;
    const start_kind how = first ? start_kind::first : start_kind::again_anywhere;
    for (worker_view* of : all_workers())
    {
        ++counts.at(static_cast<std::size_t>(may_take(now, *of, what, how)));
    }
    const auto of = [&counts](fitness which)
    {
        return counts.at(static_cast<std::size_t>(which));
    };
    events_.push_back(logging::event("dispatch", "task_waits", "No worker takes a task now.")
                          .with("job", what.job->id)
                          .with("step", what.step)
                          .with("index", index)
                          .with("lasting", what.spec->lasting ? 1 : 0)
                          .with("filler", what.spec->filler ? 1 : 0)
                          .with("needs_cpu_milli", what.spec->needs.cpu_milli)
                          .with("needs_memory_mb", what.spec->needs.memory_mb)
                          .with("not_usable", of(fitness::not_usable))
                          .with("no_label", of(fitness::no_label))
                          .with("spread", of(fitness::spread))
                          .with("no_room", of(fitness::no_room))
                          .with("would_harm", of(fitness::would_harm))
                          .with("held", of(fitness::held))
                          .with("kept", of(fitness::kept)));
}

double dispatcher::same_image_share(const worker_row& of, image_number image)
{
    const auto found = std::find_if(of.runs->serving.begin(),
                                    of.runs->serving.end(),
                                    [image](const serving_image& one)
                                    {
                                        return one.image == image;
                                    });
    return of.serving_runs == 0 || found == of.runs->serving.end()
               ? 0
               : static_cast<double>(found->runs) / of.serving_runs;
}

index_key dispatcher::key_of(const ready_step& what, start_kind how) noexcept
{
    const jobs::step_spec& spec = *what.spec;
    if (spec.lasting && how == start_kind::again_anywhere)
    {
        return {task_kind::brief, 0}; // tight, whatever runs there: it uses up as few places as can be
    }
    if (spec.lasting && spec.tail_target_ms > 0)
    {
        return {task_kind::serving, what.image_id};
    }
    if (spec.filler)
    {
        return {what.starving ? task_kind::starving_filler : task_kind::filler, what.image_id};
    }
    return {task_kind::brief, 0};
}

bool dispatcher::is_wrong_rack(const worker_view& of, const ready_step& what)
{
    return !what.spec->data_rack.empty() && of.info.rack != what.spec->data_rack;
}

worker_row dispatcher::make_row(worker_view& of) const
{
    refresh_digest(of);
    worker_row out;
    out.on = &of;
    out.cpu_left = cpu_left(of, false);
    out.filler_left = cpu_left(of, true);
    out.whole_milli = of.info.room.cpu_milli;
    out.filler_milli = of.filler_cpu_milli;
    out.handicap = blame_cost * of.failure_score + (of.critical_suspects > 0 ? beside_prime_suspect_cost : 0);
    out.serving_runs = of.serving_runs;
    out.runs = &of.digest;
    return out;
}

double dispatcher::score(worker_view& of, const ready_step& what, start_kind how) const
{
    return points_of(make_row(of), key_of(what, how)) - (is_wrong_rack(of, what) ? wrong_rack_cost : 0);
}

double dispatcher::points_of(const worker_row& of, const index_key& what) const
{
    const auto free = static_cast<double>(of.cpu_left);
    const auto fillers = static_cast<double>(of.filler_milli);
    const auto whole = static_cast<double>(of.whole_milli);
    const double points = -of.handicap;
    switch (what.kind)
    {
    case task_kind::serving:
    {
        // Packed together, so that many workers stay free for fillers.
        const bool counts = of.serving_runs > 0 && is_on(mechanism::serving_by_image);
        const double other_images = counts ? 1 - same_image_share(of, what.image) : 0;
        return points + (of.serving_runs > 0 ? whole : 0) - free - 2 * fillers -
               mixed_images_cost * whole * other_images;
    }
    case task_kind::filler:
    case task_kind::starving_filler:
        // Where nothing serves it can do no harm.
        return points + static_cast<double>(of.filler_left) -
               effect_cost * whole * worst_effect(*of.runs, what.image);
    case task_kind::brief:
        break;
    }
    const bool tight = is_on(mechanism::tight_short_tasks);
    return points + (tight ? -free : free) - fillers + (of.serving_runs > 0 ? serving_bonus * whole : 0);
}

} // namespace plumspoke::dispatch
