/// @file
/// @brief Serving tasks, whose tail latency rises with their own load and with the fillers beside them, and
///        fillers, whose progress follows their pace.

#include "task_world.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace plumspoke::test
{

namespace
{

constexpr double full_pace = 100;
constexpr double start_up_s = 0.8;       // of a serving task
constexpr int samples_per_report = 20;   // half a second of ticks
constexpr auto harm_limit = seconds(4);  // over its target because of fillers
constexpr double report_noise = 0.05;    // share of the tail, either way
constexpr double least_own_share = 0.05; // of the target
constexpr auto calm_before = seconds(4);
constexpr auto far = std::chrono::hours(24);

double to_s(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double task_world::worked_s(const running_task& task, time_point now)
{
    const double passed_s = std::chrono::duration<double>(now - task.paced_at).count();
    return task.worked_s + passed_s * (task.pace / full_pace);
}

std::int64_t task_world::progress_percent(const running_task& task, time_point now)
{
    const double whole_s = task.serving ? start_up_s : to_s(task.length);
    const bool complete = task.lasting && !task.serving;
    const auto percent = complete ? 100 : static_cast<std::int64_t>(100 * worked_s(task, now) / whole_s);
    return std::min<std::int64_t>(percent, 100);
}

void task_world::schedule_end(const worker& on, const jobs::run_name& name, const running_task& task)
{
    at(task.ends_at,
       [this, id = on.info.life.id, life = on.lives, name, fails = task.fails]
       {
           worker& of = workers_.at(id);
           if (of.lives != life)
           {
               return;
           }
           lapse(of);
           const auto found = of.running.find(name);
           if (found != of.running.end() && found->second.ends_at > now_)
           {
               return; // slowed meanwhile
           }
           end_run(of, name, fails ? jobs::run_end::failed : jobs::run_end::done);
       });
}

void task_world::set_pace(worker& on, const jobs::run_name& name, std::uint32_t percent)
{
    const auto found = on.running.find(name);
    if (found == on.running.end() || found->second.lasting || found->second.pace == percent)
    {
        return;
    }
    running_task& task = found->second;
    task.worked_s = worked_s(task, now_);
    task.paced_at = now_;
    task.pace = percent;
    const double left_s = std::max(to_s(task.length) - task.worked_s, 0.0);
    task.ends_at = percent == 0 ? now_ + far
                                : now_ + std::chrono::duration_cast<duration>(
                                             std::chrono::duration<double>(left_s * full_pace / percent));
    if (percent > 0)
    {
        schedule_end(on, name, task);
    }
}

double task_world::own_tail_ms(const jobs::job_id& job, double target_ms) const
{
    const auto found = own_loads_.find(job);
    if (found == own_loads_.end())
    {
        return 0;
    }
    const own_load& load = found->second;
    const double passed_s = std::chrono::duration<double>(now_ - start_).count();
    const double swing = load.swing * std::sin(2 * std::numbers::pi * passed_s / load.period_s + load.phase);
    return target_ms * std::max(load.mean + swing, least_own_share);
}

double task_world::filler_effect_ms(const worker& on, const running_task& serving) const
{
    double effect = 0;
    for (const auto& [name, task] : on.running)
    {
        const auto found = effects_.find({serving.image, task.image});
        effect += task.lasting || found == effects_.end() ? 0 : found->second * task.pace / full_pace;
    }
    return effect * serving.target_ms;
}

void task_world::measure_tails()
{
    for (auto& [id, of] : workers_)
    {
        for (auto& [name, task] : of.running)
        {
            if (!of.alive || !task.serving || progress_percent(task, now_) < 100)
            {
                continue;
            }
            const double own = own_tail_ms(name.task.job, task.target_ms);
            const double effect = filler_effect_ms(of, task);
            check_harm(of, name, task, own, effect);
            task.tail_sum += own + effect;
            if (++task.tail_count == samples_per_report)
            {
                const double noise = extra_real(1 - report_noise, 1 + report_noise);
                task.reported_tail_ms = std::max(noise * task.tail_sum / task.tail_count, 1.0);
                task.tail_sum = 0;
                task.tail_count = 0;
            }
        }
    }
}

void task_world::check_harm(
    worker& on, const jobs::run_name& name, running_task& serving, double own, double effect)
{
    outcome_.harm_armed += effect > 0 ? 1 : 0;
    const bool harmed = effect > 0 && own <= serving.target_ms && own + effect > serving.target_ms;
    if (!harmed || now_ < disturbed_until_ + calm_before || now_ < calm_since_ + calm_before)
    {
        serving.harmed_since = {};
        return;
    }
    if (serving.harmed_since == time_point{})
    {
        serving.harmed_since = now_;
    }
    if (now_ > serving.harmed_since + harm_limit)
    {
        serving.harmed_since = now_;
        report_violation("a serving task is over its target because of fillers: " + name.task.job.text() +
                         " index " + std::to_string(name.task.index) + " on " + on.info.life.id + ", " +
                         std::to_string(own / serving.target_ms) + " of its target alone, " +
                         std::to_string(effect / serving.target_ms) + " by fillers");
    }
}

} // namespace plumspoke::test
