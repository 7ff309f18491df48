#include "plumspoke/dispatch/early_ends.hpp"

namespace plumspoke::dispatch
{

void early_ends::record(const jobs::task_name& task, const fleet::worker_life& worker)
{
    ++tasks_[task][worker];
}

void early_ends::reset(const jobs::task_name& task)
{
    tasks_.erase(task);
}

void early_ends::erase_jobs(const std::function<bool(const jobs::job_id&)>& is_over)
{
    std::erase_if(tasks_,
                  [&is_over](const auto& entry)
                  {
                      return is_over(entry.first.job);
                  });
}

const early_ends::counts* early_ends::find(const jobs::task_name& task) const
{
    const auto found = tasks_.find(task);
    return found == tasks_.end() ? nullptr : &found->second;
}

int count_on(const early_ends::counts* of, const fleet::worker_life& worker)
{
    if (of == nullptr)
    {
        return 0;
    }
    const auto found = of->find(worker);
    return found == of->end() ? 0 : found->second;
}

} // namespace plumspoke::dispatch
