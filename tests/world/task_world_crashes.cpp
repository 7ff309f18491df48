/// @file
/// @brief Workers that crash and restart as another life: independently, or because of a task that crashes
///        each worker that starts it.

#include "task_world.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::test
{

namespace
{

constexpr std::uint32_t crashes_before_limit = 3;   // the platform limits starts from the third crash on
constexpr std::uint32_t max_starts_after_third = 2; // a third start violates the limit
constexpr std::int64_t min_flap_ms = 500;           // from a worker's start to its next independent crash
constexpr std::int64_t max_flap_ms = 6000;
constexpr std::int64_t max_clock_step_ms = 2000; // step of the wall clock at a restart, in either direction
constexpr double size_change_probability = 0.3;  // share of restarts under the same id that change the size
constexpr double address_change_probability =
    0.2; // share of restarts under the same id that change the address

} // namespace

void task_world::make_crashing(const jobs::task_name& task)
{
    crashing_[task] = {};
}

bool task_world::has_crashing_task(const jobs::job_id& job) const
{
    return std::any_of(crashing_.begin(),
                       crashing_.end(),
                       [&job](const auto& entry)
                       {
                           return entry.first.job == job;
                       });
}

void task_world::record_crashing_start(const worker& on, const jobs::run_name& name)
{
    const auto found = crashing_.find(name.task);
    if (found == crashing_.end())
    {
        return;
    }
    crashing_task& task = found->second;
    task.starts_after_third += task.crashed >= crashes_before_limit ? 1 : 0;
    if (task.starts_after_third == max_starts_after_third + 1)
    {
        report_violation("too many starts of a task that crashes its workers: " + name.task.job.text() +
                         " attempt " + std::to_string(name.attempt) + " on " + on.info.life.id);
    }
    after(milliseconds(between(faults_.crash_least.count(), faults_.crash_most.count())),
          [this, id = on.info.life.id, life = on.lives, task = name.task]
          {
              if (workers_.at(id).alive && workers_.at(id).lives == life)
              {
                  const std::uint32_t crashed = ++crashing_.at(task).crashed;
                  outcome_.most_under_a_task = std::max(outcome_.most_under_a_task, crashed);
                  crash(id, crashing_tasks_disturb_);
              }
          });
}

void task_world::crash(const std::string& id, bool disturbs)
{
    worker& of = workers_.at(id);
    of.alive = false;
    const auto running = std::exchange(of.running, {});
    for (const auto& [name, task] : running)
    {
        break_gang(name);
    }
    of.answer_poll = nullptr;
    ++outcome_.workers_crashed;
    const duration down = milliseconds(between(faults_.down_least.count(), faults_.down_most.count()));
    if (disturbs)
    {
        disturb_until(now_ + down);
    }
    after(down,
          [this, id]
          {
              restart_worker(id);
          });
}

void task_world::crash_share(duration when, double share)
{
    at(start_ + when,
       [this, share]
       {
           std::vector<std::string> alive;
           for (const auto& [id, of] : workers_)
           {
               if (of.alive)
               {
                   alive.push_back(id);
               }
           }
           std::shuffle(alive.begin(), alive.end(), random_);
           alive.resize(static_cast<std::size_t>(share * static_cast<double>(alive.size())));
           for (const std::string& id : alive)
           {
               crash(id);
           }
       });
}

void task_world::break_gang(const jobs::run_name& lost)
{
    const jobs::job* job = store_.find(lost.task.job);
    if (job == nullptr || job->spec.steps.empty() || !job->spec.steps[lost.task.step].gang)
    {
        return;
    }
    for (std::uint32_t index = 0; index < job->spec.steps[lost.task.step].task_count; ++index)
    {
        const jobs::run_name member{{lost.task.job, lost.task.occurrence, lost.task.step, index},
                                    lost.attempt};
        for (auto& [id, other] : workers_)
        {
            end_run(other, member, jobs::run_end::broken);
        }
    }
}

std::int64_t task_world::draw_start_time_ms(const worker& of)
{
    std::int64_t born_ms = day_ms() + between(-max_clock_step_ms, max_clock_step_ms);
    while (of.start_times_ms.contains(born_ms))
    {
        ++born_ms;
    }
    return born_ms;
}

void task_world::restart_with_same_id(const std::string& id)
{
    worker& of = workers_.at(id);
    worker next;
    next.lives = of.lives + 1;
    next.start_times_ms = of.start_times_ms;
    next.info = of.info;
    next.info.life.born_ms = draw_start_time_ms(of);
    next.info.sequence = 0;
    next.start_times_ms.insert(next.info.life.born_ms);
    if (chance(size_change_probability))
    {
        next.info.room.cpu_milli = chance(0.5) ? 8000 : 24'000;
    }
    if (chance(address_change_probability))
    {
        next.info.address = "addr-" + id + "-" + std::to_string(next.lives);
    }
    next.rate = chance(0.5) ? 0.98 : 1.0;
    next.offset_ms -= worker_clock_ms(next); // its clock starts at 0
    of = std::move(next);
    announce(id, of.lives);
}

void task_world::restart_worker(const std::string& id)
{
    if (faults_.same_id > 0 && chance(faults_.same_id))
    {
        restart_with_same_id(id);
        if (flapping_.contains(id))
        {
            flap(id);
        }
        return;
    }
    const std::string address = workers_.at(id).info.address;
    const std::string added = add_worker(address);
    workers_.at(id).replaced = true;
    if (flapping_.contains(id))
    {
        flap(added);
    }
}

void task_world::flap(const std::string& id)
{
    flapping_.insert(id);
    after(milliseconds(between(min_flap_ms, max_flap_ms)),
          [this, id, life = workers_.at(id).lives]
          {
              if (faults_active() && workers_.at(id).alive && workers_.at(id).lives == life)
              {
                  crash(id);
              }
          });
}

} // namespace plumspoke::test
