#include "plumspoke/dispatch/job_idle_times.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

duration job_idle_times::record(time_point now, const jobs::job_id& job, job_activity activity)
{
    idle_period& period = idle_.try_emplace(job, idle_period{now, placements_}).first->second;
    // A job that neither waited nor had a run waits for its next occurrence.
    const bool is_new_wait = placements_ > period.placement + 1;
    if (is_new_wait || activity == job_activity::at_work)
    {
        period.since = now;
    }
    period.placement = placements_;
    return activity == job_activity::idle ? std::chrono::duration_cast<duration>(now - period.since)
                                          : duration{};
}

void job_idle_times::remove_run(const jobs::job_id& job, time_point last_at_work, time_point added_at)
{
    const time_point since = std::max(last_at_work, added_at);
    idle_period& period = idle_.try_emplace(job, idle_period{since, placements_}).first->second;
    period.since = std::max(period.since, last_at_work);
    period.placement = placements_;
}

void job_idle_times::erase_jobs(const std::function<bool(const jobs::job_id&)>& is_over)
{
    std::erase_if(idle_,
                  [&is_over](const auto& entry)
                  {
                      return is_over(entry.first);
                  });
}

} // namespace plumspoke::dispatch
