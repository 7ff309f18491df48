/// @file
/// @brief Checks that no job stands still beside free room.

#include "task_world.hpp"

#include <algorithm>

namespace plumspoke::test
{

namespace
{

constexpr auto held_limit = seconds(3);
constexpr auto calm_before = seconds(4);
constexpr auto after_lasting_run = seconds(6); // of a lasting task whose job runs, and which ran before

// What a task needs that other tasks can't use at the same time.
jobs::resources reserved_needs(const jobs::step_spec& spec)
{
    return spec.filler ? jobs::resources{0, spec.needs.memory_mb, spec.needs.accelerators} : spec.needs;
}

std::int64_t times_within(std::int64_t needed, std::int64_t room, std::int64_t most)
{
    return needed <= 0 ? most : std::clamp<std::int64_t>(room / needed, 0, most);
}

bool has_label(const fleet::announcement& worker, const std::string& label)
{
    return label.empty() ||
           std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

} // namespace

std::string_view to_string(wait_kind kind) noexcept
{
    switch (kind)
    {
    case wait_kind::short_task:
        return "short task";
    case wait_kind::gang:
        return "gang";
    case wait_kind::single_rack:
        return "gang in one rack";
    case wait_kind::filler:
        return "filler";
    case wait_kind::lasting:
        return "lasting task";
    case wait_kind::serving:
        return "serving task";
    case wait_kind::labelled:
        return "task with a label";
    case wait_kind::limited:
        return "task with a limit for each worker";
    case wait_kind::data_bound:
        return "task with a data rack";
    }
    return "";
}

void task_world::report_held_jobs(running_means means) noexcept
{
    reports_held_jobs_ = true;
    running_means_ = means;
}

void task_world::report_held_jobs_beside_crashes() noexcept
{
    report_held_jobs();
    crashing_tasks_disturb_ = false;
}

bool task_world::is_usable(const worker& of) const
{
    return of.alive && !of.cut && !of.deaf && !of.mute && of.info.state == fleet::worker_state::ready &&
           !evacuated_since_.contains(of.info.zone);
}

task_world::pool_use task_world::reserved_processors() const
{
    pool_use use;
    for (const auto& [id, of] : workers_)
    {
        if (!is_usable(of))
        {
            continue;
        }
        use.whole += of.info.room.cpu_milli;
        for (const auto& [name, task] : of.running)
        {
            const jobs::job* job = store_.find(name.task.job);
            use.used += job == nullptr || job->spec.steps.empty()
                            ? 0
                            : reserved_needs(job->spec.steps[name.task.step]).cpu_milli;
        }
    }
    return use;
}

std::int64_t
task_world::count_places(const worker& of, const jobs::task_name& name, const jobs::step_spec& spec) const
{
    if (!is_usable(of) || !has_label(of.info, spec.required_label))
    {
        return 0;
    }
    jobs::resources free = of.info.room;
    std::int64_t of_step = 0;
    for (const auto& [run, task] : of.running)
    {
        const jobs::job* job = store_.find(run.task.job);
        free -= job == nullptr || job->spec.steps.empty() ? jobs::resources{}
                                                          : reserved_needs(job->spec.steps[run.task.step]);
        of_step +=
            run.task.job == name.job && run.task.occurrence == name.occurrence && run.task.step == name.step
                ? 1
                : 0;
    }
    const jobs::resources needs = reserved_needs(spec);
    constexpr std::int64_t many = 1000;
    const std::int64_t allowed =
        spec.max_per_worker == 0 ? many : std::max<std::int64_t>(spec.max_per_worker - of_step, 0);
    return std::min(times_within(needs.cpu_milli, free.cpu_milli, allowed),
                    times_within(needs.memory_mb, free.memory_mb, allowed));
}

bool task_world::has_room_twice(const jobs::task_name& name, const jobs::step_spec& spec) const
{
    const std::int64_t wanted = 2 * static_cast<std::int64_t>(spec.gang ? spec.task_count : 1);
    std::map<std::string, std::int64_t> places; // by rack where one must hold them all
    for (const auto& [id, of] : workers_)
    {
        std::int64_t& count = places[spec.gang && spec.single_rack ? of.info.rack : ""];
        count += count_places(of, name, spec);
        if (count >= wanted)
        {
            return true;
        }
    }
    return false;
}

void task_world::note_running()
{
    for (const auto& [id, of] : workers_)
    {
        for (const auto& [name, task] : of.running)
        {
            if (of.alive && (running_means_ == running_means::listed || task.pace > 0))
            {
                job_ran_at_[name.task.job] = now_;
                task_ran_at_[name.task] = now_;
            }
        }
    }
}

void task_world::check_held_jobs()
{
    note_running();
    const pool_use pool = reserved_processors();
    const bool is_calm = now_ >= std::max(disturbed_until_, calm_since_) + calm_before;
    if (!leading_ || !is_calm || 2 * pool.used >= pool.whole)
    {
        held_job_since_.clear();
        return;
    }
    for (const auto& [order, job] : store_.live())
    {
        if (crashing_tasks_disturb_ || !has_crashing_task(job->id))
        {
            check_held_job(*job);
        }
    }
}

void task_world::check_held_job(const jobs::job& job)
{
    for (const auto& [number, occurrence] : job.occurrences)
    {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step)
        {
            if (!job.is_ready(occurrence, step))
            {
                continue;
            }
            const std::vector<jobs::task>& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index)
            {
                if (tasks[index].phase != jobs::task_phase::done)
                {
                    check_held_task(job, {job.id, number, step, index}, job.spec.steps[step]);
                }
            }
        }
    }
}

void task_world::check_held_task(const jobs::job& job,
                                 const jobs::task_name& name,
                                 const jobs::step_spec& spec)
{
    const auto last_of = [this](const auto& times, const auto& key)
    {
        const auto found = times.find(key);
        return found == times.end() ? time_point{} : found->second;
    };
    const bool job_runs = last_of(job_ran_at_, job.id) == now_;
    const time_point task_ran_at = last_of(task_ran_at_, name);
    const bool is_due = spec.lasting ? task_ran_at != now_ &&
                                           (!job_runs || now_ >= task_ran_at + after_lasting_run - held_limit)
                                     : !job_runs;
    if (!is_due || !has_room_twice(name, spec))
    {
        held_job_since_.erase(name);
        return;
    }
    count_armed(spec);
    const time_point since = held_job_since_.try_emplace(name, now_).first->second;
    if (now_ > since + held_limit && reported_held_.insert(name).second)
    {
        report_violation(describe_held(name, spec));
    }
}

void task_world::count_armed(const jobs::step_spec& spec)
{
    const auto count = [this](wait_kind kind, bool applies)
    {
        outcome_.waits_armed.at(static_cast<std::size_t>(kind)) += applies ? 1 : 0;
    };
    count(wait_kind::short_task, !spec.lasting && !spec.filler && !spec.gang);
    count(wait_kind::gang, spec.gang);
    count(wait_kind::single_rack, spec.gang && spec.single_rack);
    count(wait_kind::filler, spec.filler);
    count(wait_kind::lasting, spec.lasting && spec.tail_target_ms == 0);
    count(wait_kind::serving, spec.lasting && spec.tail_target_ms > 0);
    count(wait_kind::labelled, !spec.required_label.empty());
    count(wait_kind::limited, spec.max_per_worker > 0);
    count(wait_kind::data_bound, !spec.data_rack.empty());
}

std::string task_world::describe_held(const jobs::task_name& name, const jobs::step_spec& spec) const
{
    const jobs::task* recorded = store_.find(name);
    const pool_use pool = reserved_processors();
    std::string out = "held beside free room: " + name.job.text() + " step " + std::to_string(name.step) +
                      " index " + std::to_string(name.index) + ", attempt " +
                      std::to_string(recorded->last_attempt) + ", failures " +
                      std::to_string(recorded->failures);
    out += spec.filler ? ", filler" : "";
    out += spec.gang ? ", gang" : "";
    out += spec.single_rack ? " in one rack" : "";
    out += spec.lasting ? ", lasting" : "";
    out += spec.tail_target_ms > 0 ? ", serving" : "";
    out += spec.required_label.empty() ? "" : ", label";
    out += spec.max_per_worker == 0 ? "" : ", limit " + std::to_string(spec.max_per_worker);
    out += spec.data_rack.empty() ? "" : ", data rack";
    out += ", needs " + std::to_string(spec.needs.cpu_milli) + " " + std::to_string(spec.needs.memory_mb);
    for (const jobs::run& run : recorded->runs)
    {
        const auto followed = leader_.runs().find({name, run.attempt});
        out += ", recorded on " + run.worker.id + " attempt " + std::to_string(run.attempt) + " stage " +
               (followed == leader_.runs().end() ? "none"
                                                 : std::to_string(static_cast<int>(followed->second.stage)));
    }
    out += "; " + std::to_string(pool.used) + " of " + std::to_string(pool.whole) + " in use";
    for (const auto& [id, of] : workers_)
    {
        out += count_places(of, name, spec) > 0 ? "; " + describe_room(of) : "";
    }
    return out;
}

std::string task_world::describe_room(const worker& of) const
{
    std::int64_t by_fillers = 0;
    int paused = 0;
    int serving = 0;
    double worst_tail = 0; // as a share of the target
    for (const auto& [name, task] : of.running)
    {
        const jobs::job* job = store_.find(name.task.job);
        const bool filler =
            job != nullptr && !job->spec.steps.empty() && job->spec.steps[name.task.step].filler;
        by_fillers += filler ? job->spec.steps[name.task.step].needs.cpu_milli : 0;
        paused += filler && task.pace == 0 ? 1 : 0;
        serving += task.serving ? 1 : 0;
        worst_tail = task.serving ? std::max(worst_tail, task.reported_tail_ms / task.target_ms) : worst_tail;
    }
    return of.info.life.id + ": " + std::to_string(of.running.size()) + " runs, fillers on " +
           std::to_string(by_fillers) + " of " + std::to_string(of.info.room.cpu_milli) + ", " +
           std::to_string(paused) + " paused, " + std::to_string(serving) + " serving, " +
           std::to_string(worst_tail) + " of the target";
}

} // namespace plumspoke::test
