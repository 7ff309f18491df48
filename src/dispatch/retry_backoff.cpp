#include "plumspoke/dispatch/retry_backoff.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

constexpr duration initial_pause = milliseconds(50); // about two decisions
constexpr int max_doublings = 4; // 800 ms: a job without running tasks for 3 s counts as stuck

} // namespace

void retry_backoff::record_failure(time_point now, const jobs::task_name& task)
{
    backoff& state = tasks_[task];
    const int doublings = std::min(state.count - 1, max_doublings);
    state.until = state.count == 0 ? now : now + initial_pause * (1 << doublings);
    ++state.count;
}

void retry_backoff::reset(const jobs::task_name& task)
{
    tasks_.erase(task);
}

void retry_backoff::erase_jobs(const std::function<bool(const jobs::job_id&)>& is_over)
{
    std::erase_if(tasks_,
                  [&is_over](const auto& entry)
                  {
                      return is_over(entry.first.job);
                  });
}

bool retry_backoff::is_backing_off(time_point now, const jobs::task_name& task) const
{
    const auto found = tasks_.find(task);
    return found != tasks_.end() && now < found->second.until;
}

} // namespace plumspoke::dispatch
