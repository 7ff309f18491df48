/// @file
/// @brief Which tasks run next, and where.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>

namespace plumspoke::dispatch
{

namespace
{

// A job is worth something up to three times its objective: the users' rule for late work.
constexpr double late_factor = 3;
// Of a worker's processors, in favour of one that serves already: what doesn't disturb goes there, so
// that fillers find workers where nothing serves.
constexpr double serving_bonus = 0.5;
// Thousandths of a core that one point of blame costs a worker in the comparison.
constexpr double blame_cost = 8000;
constexpr double wrong_rack_cost = 30'000; // more than any difference in free processors
constexpr double unproven_cost = 16'000;   // for a task that has failed before
// Of a worker's processors: serving tasks of one image go together, since what harms one image is then kept
// from fewer workers. Above 2 an empty worker is better than one that serves another image. Mean worth of six
// quiet days (three seeds a site, without charge): 0.741, with 1 it was 0.578.
constexpr double mixed_images_cost = 2.5;
// Of each worker's processors, kept free of lasting tasks while there are short ones: these come in
// bursts, and a lasting task never makes room for them. The users' short tasks need 5% on average. A
// lasting task that ran before goes back wherever it fits: it is to be away as shortly as can be.
constexpr double short_task_reserve = 0.08;
// Of a worker's processors, for each unit of slack that a filler would take from a serving task.
constexpr double effect_cost = 1;
constexpr double slack_alone = 4;                 // of a serving task that nothing presses
constexpr double enough_evidence = 1.5;           // reports
constexpr std::uint32_t whole_pace = 100;         // percent
constexpr std::size_t max_copies = 2;             // as the store allows
constexpr auto explanation_interval = seconds(1); // one waiting task a second explains a queue
// A job with nothing running for so long takes any worker, also one that is set aside.
constexpr auto urgent_after = milliseconds(2000);
// A filler that would harm everywhere is placed after this; with 2 s quiet-1 of codewell-tw fell from 0.844
// to 0.609.
constexpr auto starving_after = milliseconds(8000);
constexpr double max_set_aside_share = 0.34;
// Of the workers, at most so many are held at once: the rest goes on with short tasks.
constexpr double max_held_share = 0.1;

/// @brief How much a job's remaining time is worth, best first.
enum class worth_class : std::uint8_t
{
    in_time,
    late,
    hopeless,
};

} // namespace

/// @brief A step whose tasks may start.
struct dispatcher::ready_step
{
    const jobs::job* job = nullptr;
    const jobs::occurrence* at = nullptr;
    std::uint32_t step = 0;
    const jobs::step_spec* spec = nullptr;
    worth_class worth = worth_class::in_time;
    std::int64_t deadline_ms = 0;
    bool starving = false; // the same for so long that harm elsewhere is the lesser evil
    bool urgent = false;   // its job has had nothing running for long: any worker is better than none
    bool regains = false;  // a lasting task of it has lost its run: its users are away until it is back

    [[nodiscard]] jobs::task_name task(std::uint32_t index) const
    {
        return {job->id, at->number, step, index};
    }
    [[nodiscard]] const jobs::step& state() const
    {
        return at->steps[step];
    }
};

void dispatcher::rank(ready_step& of, std::int64_t day_ms) const
{
    const jobs::job& job = *of.job;
    std::int64_t chain_ms = 0;
    for (const jobs::step_spec& spec : job.spec.steps)
    {
        chain_ms += spec.estimate_ms; // steps mostly wait for the one before
    }
    const std::int64_t since = job.spec.repeat_count == 0
                                   ? job.accepted_at_ms
                                   : job.spec.first_due_ms + of.at->number * job.spec.interval_ms;
    const auto objective_ms =
        static_cast<std::int64_t>(job.taken_from.objective_factor * static_cast<double>(chain_ms)) +
        job.taken_from.objective_extra_ms;
    of.deadline_ms = since + objective_ms;
    const std::int64_t age_ms = day_ms - since;
    if (of.spec->lasting || age_ms <= objective_ms)
    {
        of.worth = worth_class::in_time;
    }
    else
    {
        const bool late = static_cast<double>(age_ms) <= late_factor * static_cast<double>(objective_ms);
        of.worth = late ? worth_class::late : worth_class::hopeless;
    }
}

std::vector<dispatcher::ready_step> dispatcher::find_ready(std::int64_t day_ms,
                                                           const jobs::store& state) const
{
    std::vector<ready_step> ready;
    for (const auto& [accepted, job] : state.live())
    {
        for (const auto& [number, at] : job->occurrences)
        {
            for (std::uint32_t step = 0; step < at.steps.size(); ++step)
            {
                if (at.steps[step].done == at.steps[step].tasks.size() || !job->is_ready(at, step))
                {
                    continue;
                }
                ready_step found;
                found.job = job;
                found.at = &at;
                found.step = step;
                found.spec = &job->spec.steps[step];
                rank(found, day_ms);
                found.urgent = is_urgent(found, day_ms);
                found.regains = found.spec->lasting && has_lost_run(found);
                found.starving = found.urgent && day_ms > job->accepted_at_ms + starving_after.count();
                ready.push_back(found);
            }
        }
    }
    std::stable_sort(
        ready.begin(),
        ready.end(),
        [](const ready_step& left, const ready_step& right)
        {
            return std::tuple(left.job->taken_from.priority, !left.urgent, left.worth, left.deadline_ms) <
                   std::tuple(right.job->taken_from.priority, !right.urgent, right.worth, right.deadline_ms);
        });
    return ready;
}

bool dispatcher::has_lost_run(const ready_step& of)
{
    const std::vector<jobs::task>& tasks = of.state().tasks;
    return std::any_of(tasks.begin(),
                       tasks.end(),
                       [](const jobs::task& one)
                       {
                           return one.last_attempt > 0 && one.runs.empty();
                       });
}

bool dispatcher::is_urgent(const ready_step& of, std::int64_t day_ms) const
{
    const jobs::run_name first{{of.job->id, 0, 0, 0}, 0};
    const auto any = runs_.lower_bound(first);
    const bool has_runs = any != runs_.end() && any->first.task.job == of.job->id;
    const bool restarted = of.spec->lasting && of.job->begun;
    return restarted || (!has_runs && day_ms > of.job->accepted_at_ms + urgent_after.count());
}

void dispatcher::place(time_point now, std::int64_t day_ms, const jobs::store& state, jobs::round& into)
{
    note_set_aside_share(now);
    held_.clear();
    for (const ready_step& what : find_ready(day_ms, state))
    {
        if (into.starts.size() >= options_.max_starts_per_round)
        {
            room_changed_ = true; // the rest has its turn in the next round
            return;
        }
        place_step(now, what, into);
    }
}

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

dispatcher::task_runs dispatcher::runs_of(const jobs::task_name& name) const
{
    task_runs found;
    for (auto at = runs_.lower_bound({name, 0}); at != runs_.end() && at->first.task == name; ++at)
    {
        ++found.count;
        found.last_attempt = at->first.attempt;
    }
    return found;
}

void dispatcher::place_step(time_point now, const ready_step& what, jobs::round& into)
{
    if (what.spec->gang)
    {
        place_gang(now, what, into);
        return;
    }
    const std::size_t before = into.starts.size();
    place_waiting(now, what, false, into);
    place_waiting(now, what, true, into);
    if (into.starts.size() > before)
    {
        const jobs::run_started& first = into.starts[before];
        events_.push_back(logging::event("dispatch", "tasks_granted", "Tasks of a step are given to workers.")
                              .with("job", what.job->id)
                              .with("step", what.step)
                              .with("tasks", static_cast<std::int64_t>(into.starts.size() - before))
                              .with("first_worker", first.worker)
                              .with("first_attempt", first.name.attempt)
                              .with("worth", static_cast<std::int64_t>(what.worth)));
    }
}

void dispatcher::place_waiting(time_point now, const ready_step& what, bool first_start, jobs::round& into)
{
    const std::vector<jobs::task>& tasks = what.state().tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        if (tasks[index].phase == jobs::task_phase::done || (tasks[index].last_attempt == 0) != first_start)
        {
            continue;
        }
        const std::size_t running = runs_of(what.task(index)).count;
        const bool wants_copy = what.spec->copies_allowed && copy_wanted_.contains(what.task(index));
        if (running >= (wants_copy ? max_copies : 1))
        {
            continue;
        }
        if (!place_task(now, what, index, into) && !wants_copy)
        {
            explain_wait(now, what, index);
            if (what.regains && !first_start)
            {
                hold_room(now, what, static_cast<std::uint32_t>(tasks.size()) - index);
            }
            return; // these tasks are alike: where one finds no room, no other does
        }
    }
}

bool dispatcher::place_task(time_point now, const ready_step& what, std::uint32_t index, jobs::round& into)
{
    worker_view* on = choose_worker(now, what, index, {});
    if (on == nullptr)
    {
        return false;
    }
    if (copy_wanted_.erase(what.task(index)) > 0)
    {
        ++counts_.copies;
    }
    // A run whose record is on its way has a number that the state doesn't know yet.
    const std::uint32_t last =
        std::max(what.state().tasks[index].last_attempt, runs_of(what.task(index)).last_attempt);
    grant(what, index, last + 1, *on, into);
    return true;
}

void dispatcher::place_gang(time_point now, const ready_step& what, jobs::round& into)
{
    const std::vector<jobs::task>& tasks = what.state().tasks;
    std::uint32_t attempt = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        if (runs_of(what.task(index)).count > 0)
        {
            return; // all members of the last run must be over
        }
        attempt = std::max(attempt, tasks[index].last_attempt);
    }
    const std::size_t planned_before = into.starts.size();
    std::string rack;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        worker_view* on = choose_worker(now, what, index, rack);
        if (on == nullptr)
        {
            while (into.starts.size() > planned_before)
            {
                remove_run(into.starts.back().name);
                into.starts.pop_back();
            }
            return;
        }
        if (what.spec->single_rack && rack.empty())
        {
            rack = on->info.rack;
        }
        grant(what, index, attempt + 1, *on, into);
    }
}

void dispatcher::grant(
    const ready_step& what, std::uint32_t index, std::uint32_t attempt, worker_view& on, jobs::round& into)
{
    run_view added;
    added.name = {what.task(index), attempt};
    added.worker = on.info.id;
    added.needs = what.spec->needs;
    added.filler = what.spec->filler;
    added.lasting = what.spec->lasting;
    added.serving = what.spec->lasting && what.spec->tail_target_ms > 0;
    added.tail_target_ms = what.spec->tail_target_ms;
    added.gang = what.spec->gang;
    added.image = what.spec->image;
    short_tasks_seen_ = short_tasks_seen_ || (!added.lasting && !added.filler);
    into.starts.push_back({added.name, on.info.id, on.info.address});
    add_run(std::move(added));
}

// ---- workers -----------------------------------------------------------------------------------

worker_view* dispatcher::choose_worker(time_point now,
                                       const ready_step& what,
                                       std::uint32_t index,
                                       const std::string& rack)
{
    const auto failed = failed_on_.find(what.task(index));
    const auto first_run = runs_.lower_bound({what.task(index), 0});
    const bool first_start = what.state().tasks[index].last_attempt == 0;
    worker_view* best = nullptr;
    double best_score = 0;
    for (auto& [id, of] : workers_)
    {
        if (may_take(now, of, what, first_start) != fitness::fits)
        {
            continue;
        }
        double points = score(of, what);
        if (failed != failed_on_.end())
        {
            points -= of.tasks_done == 0 || of.blame > 0.5 ? unproven_cost : 0;
            points -= failed->second.contains(id) ? 2 * wrong_rack_cost : 0;
        }
        points -= now < of.set_aside_until ? 2 * wrong_rack_cost : 0;
        points -= !rack.empty() && of.info.rack != rack ? wrong_rack_cost : 0;
        const bool holds_copy = first_run != runs_.end() && first_run->first.task == what.task(index) &&
                                first_run->second.worker == id;
        if (!holds_copy && (best == nullptr || points > best_score))
        {
            best = &of;
            best_score = points;
        }
    }
    return best;
}

bool dispatcher::is_usable(time_point now, const worker_view& of, bool urgent) const
{
    const bool set_aside = now < of.set_aside_until && !ignore_set_aside_ && !urgent;
    return of.announced && of.info.state == fleet::worker_state::ready && !of.over_at.has_value() &&
           now < of.announced_at + options_.announce_silence && of.contacted && of.clock.known() &&
           of.silent_calls <= options_.max_silent_calls && !set_aside && now >= of.no_room_until;
}

std::uint32_t dispatcher::runs_of_step(const worker_view& of, const ready_step& what) const
{
    const jobs::run_name first{{what.job->id, what.at->number, what.step, 0}, 0};
    std::uint32_t count = 0;
    for (auto at = of.runs.lower_bound(first); at != of.runs.end(); ++at)
    {
        if (at->task.job != what.job->id || at->task.occurrence != what.at->number ||
            at->task.step != what.step)
        {
            break;
        }
        ++count;
    }
    return count;
}

dispatcher::fitness
dispatcher::may_take(time_point now, const worker_view& of, const ready_step& what, bool first_start) const
{
    const jobs::step_spec& spec = *what.spec;
    if (of.info.service != what.job->taken_from.service)
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
    if (!spec.filler && held_.contains(of.info.id))
    {
        return fitness::held;
    }
    jobs::room left = of.info.room;
    left -= of.used;
    jobs::room needs = spec.needs;
    if (spec.filler)
    {
        if (spare_for_fillers(of) < needs.cpu_milli)
        {
            return fitness::no_room;
        }
        const bool harms = least_slack_beside(of, spec.image) < options_.least_slack_at_start ||
                           !may_explore(of, spec.image);
        // What would wait for ever is put where it harms least, and slowed there as far as needed: one on a
        // worker, else all that waits stands slowed on all workers, and nothing ends.
        if (harms && (!what.starving || has_harmful_filler(of)))
        {
            return fitness::would_harm;
        }
        needs.cpu_milli = 0;
    }
    if (spec.lasting && short_tasks_seen_ && first_start)
    {
        left.cpu_milli -=
            static_cast<std::int64_t>(short_task_reserve * static_cast<double>(of.info.room.cpu_milli));
    }
    return needs.fits_into(left) ? fitness::fits : fitness::no_room;
}

void dispatcher::explain_wait(time_point now, const ready_step& what, std::uint32_t index)
{
    if (now < next_explanation_at_)
    {
        return;
    }
    next_explanation_at_ = now + explanation_interval;
    std::array<std::int64_t, fitness_count> counts{};
    const bool first_start = what.state().tasks[index].last_attempt == 0;
    for (const auto& [id, of] : workers_)
    {
        ++counts.at(static_cast<std::size_t>(may_take(now, of, what, first_start)));
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
                          .with("held", of(fitness::held)));
}

jobs::room dispatcher::room_beside_lasting(const worker_view& of) const
{
    jobs::room left = of.info.room;
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        if (run.lasting)
        {
            left -= run.needs;
        }
    }
    return left;
}

// As in backfilling with reservations (EASY, Lifka 1995): else short tasks take each bit of room that comes
// free, and a large task that lost its worker waits for as long as they come (20 s on the bench).
void dispatcher::hold_room(time_point now, const ready_step& what, std::uint32_t waiting)
{
    const auto most = static_cast<std::size_t>(max_held_share * static_cast<double>(workers_.size())) + 1;
    for (std::uint32_t i = 0; i < waiting && held_.size() < most; ++i)
    {
        const worker_view* best = nullptr;
        for (const auto& [id, of] : workers_)
        {
            const bool only_full = may_take(now, of, what, false) == fitness::no_room;
            if (!only_full || !what.spec->needs.fits_into(room_beside_lasting(of)))
            {
                continue;
            }
            const std::int64_t used = of.used.cpu_milli;
            if (best == nullptr ||
                of.info.room.cpu_milli - used > best->info.room.cpu_milli - best->used.cpu_milli)
            {
                best = &of;
            }
        }
        if (best == nullptr)
        {
            return;
        }
        held_.insert(best->info.id);
    }
}

bool dispatcher::has_harmful_filler(const worker_view& of) const
{
    return std::any_of(of.runs.begin(),
                       of.runs.end(),
                       [&](const jobs::run_name& name)
                       {
                           const run_view& run = runs_.at(name);
                           const bool slowed = run.wanted_pace < whole_pace;
                           return run.filler && (slowed || worst_effect(of, run.image) > 0);
                       });
}

std::int64_t dispatcher::spare_for_fillers(const worker_view& of) const
{
    const auto unused =
        static_cast<std::int64_t>((1 - options_.serving_use) * static_cast<double>(of.serving_cpu_milli));
    return of.info.room.cpu_milli - of.used.cpu_milli + unused - of.filler_cpu_milli;
}

double dispatcher::least_slack_beside(const worker_view& of, const std::string& filler_image) const
{
    double least = slack_alone;
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        const double effect = run.serving ? interference_.effect(run.image, filler_image) : 0;
        if (effect >= options_.harmless_effect) // else its own load may take its slack, not the filler
        {
            least = std::min(least, slack_of(run) - effect);
        }
    }
    return least;
}

double dispatcher::worst_effect(const worker_view& of, const std::string& filler_image) const
{
    double worst = 0;
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        worst = std::max(worst, run.serving ? interference_.effect(run.image, filler_image) : 0);
    }
    return worst < options_.harmless_effect ? 0 : worst;
}

bool dispatcher::may_explore(const worker_view& of, const std::string& filler_image) const
{
    const auto is_unknown_here = [&](const std::string& filler)
    {
        return std::any_of(of.runs.begin(),
                           of.runs.end(),
                           [&](const jobs::run_name& name)
                           {
                               const run_view& run = runs_.at(name);
                               return run.serving &&
                                      interference_.evidence(run.image, filler) < enough_evidence;
                           });
    };
    if (!is_unknown_here(filler_image))
    {
        return true;
    }
    // One unknown at a time on a worker: its effect can then be told apart.
    return std::none_of(of.runs.begin(),
                        of.runs.end(),
                        [&](const jobs::run_name& name)
                        {
                            const run_view& run = runs_.at(name);
                            return run.filler && is_unknown_here(run.image);
                        });
}

double dispatcher::same_image_share(const worker_view& of, const std::string& image) const
{
    int same = 0;
    for (const jobs::run_name& name : of.runs)
    {
        const run_view& run = runs_.at(name);
        same += run.serving && run.image == image ? 1 : 0;
    }
    return of.serving_runs == 0 ? 0 : static_cast<double>(same) / of.serving_runs;
}

double dispatcher::score(const worker_view& of, const ready_step& what) const
{
    const jobs::step_spec& spec = *what.spec;
    const auto free = static_cast<double>(of.info.room.cpu_milli - of.used.cpu_milli);
    const auto fillers = static_cast<double>(of.filler_cpu_milli);
    const auto whole = static_cast<double>(of.info.room.cpu_milli);
    double points = -blame_cost * of.blame;
    points -= !spec.data_rack.empty() && of.info.rack != spec.data_rack ? wrong_rack_cost : 0;
    if (spec.lasting && spec.tail_target_ms > 0)
    {
        // Packed together, so that many workers stay free for fillers.
        const double other_images = of.serving_runs > 0 ? 1 - same_image_share(of, spec.image) : 0;
        return points + (of.serving_runs > 0 ? whole : 0) - free - 2 * fillers -
               mixed_images_cost * whole * other_images;
    }
    if (spec.filler)
    {
        // Where nothing serves it can do no harm.
        return points + static_cast<double>(spare_for_fillers(of)) -
               effect_cost * whole * worst_effect(of, spec.image);
    }
    return points + free - fillers + (of.serving_runs > 0 ? serving_bonus * whole : 0);
}

} // namespace plumspoke::dispatch
