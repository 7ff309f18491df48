/// @file
/// @brief Workers that crash and come back at their address as another life: by themselves, or since a task
/// crashes whatever starts it.

#include "task_world.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::test
{

namespace
{

constexpr std::uint32_t crashes_that_tell = 3;       // the platform's bound counts from the third
constexpr std::uint32_t most_starts_after_third = 2; // a third one breaks its rule
constexpr std::int64_t least_flap_ms = 500;          // from a worker's start to its crash by itself
constexpr std::int64_t most_flap_ms = 6000;
constexpr std::int64_t most_clock_step_ms = 2000; // of the time of day, back or ahead
constexpr double kind_changes = 0.3;              // of the lives that start again
constexpr double address_changes = 0.2;

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

void task_world::note_crashing_start(const worker& on, const jobs::run_name& name)
{
    const auto found = crashing_.find(name.task);
    if (found == crashing_.end())
    {
        return;
    }
    crashing_task& task = found->second;
    task.starts_after_third += task.crashed >= crashes_that_tell ? 1 : 0;
    if (task.starts_after_third == most_starts_after_third + 1)
    {
        broken("a start too many of a task that crashes its workers: " + name.task.job.text() + " attempt " +
               std::to_string(name.attempt) + " on " + on.info.life.id);
    }
    after(milliseconds(between(faults_.crash_least.count(), faults_.crash_most.count())),
          [this, id = on.info.life.id, life = on.lives, task = name.task]
          {
              if (workers_.at(id).alive && workers_.at(id).lives == life)
              {
                  const std::uint32_t crashed = ++crashing_.at(task).crashed;
                  outcome_.most_under_a_task = std::max(outcome_.most_under_a_task, crashed);
                  crash(id);
              }
          });
}

void task_world::crash(const std::string& id)
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
    after(milliseconds(between(faults_.down_least.count(), faults_.down_most.count())),
          [this, id]
          {
              come_back(id);
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

std::int64_t task_world::new_born(const worker& of)
{
    std::int64_t born_ms = day_ms() + between(-most_clock_step_ms, most_clock_step_ms);
    while (of.borns.contains(born_ms))
    {
        ++born_ms;
    }
    return born_ms;
}

void task_world::start_again(const std::string& id)
{
    worker& of = workers_.at(id);
    worker next;
    next.lives = of.lives + 1;
    next.borns = of.borns;
    next.info = of.info;
    next.info.life.born_ms = new_born(of);
    next.info.sequence = 0;
    next.borns.insert(next.info.life.born_ms);
    if (chance(kind_changes))
    {
        next.info.room.cpu_milli = chance(0.5) ? 8000 : 24'000;
    }
    if (chance(address_changes))
    {
        next.info.address = "addr-" + id + "-" + std::to_string(next.lives);
    }
    next.rate = chance(0.5) ? 0.98 : 1.0;
    next.offset_ms -= clock_of(next); // its clock starts anew
    of = std::move(next);
    announce(id, of.lives);
}

void task_world::come_back(const std::string& id)
{
    if (faults_.same_id > 0 && chance(faults_.same_id))
    {
        start_again(id);
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
    after(milliseconds(between(least_flap_ms, most_flap_ms)),
          [this, id, life = workers_.at(id).lives]
          {
              if (faulty() && workers_.at(id).alive && workers_.at(id).lives == life)
              {
                  crash(id);
              }
          });
}

} // namespace plumspoke::test
