#include "plumspoke/dispatch/job_idle_times.hpp"

namespace plumspoke::dispatch
{

namespace
{

constexpr auto max_record_gap = seconds(1); // several placements

} // namespace

duration job_idle_times::record(time_point now, const jobs::job_id& job, bool at_work)
{
    if (at_work)
    {
        idle_.erase(job);
        return {};
    }
    idle_period& period = idle_.try_emplace(job, idle_period{now, now}).first->second;
    if (now > period.recorded_at + max_record_gap)
    {
        period.since = now;
    }
    period.recorded_at = now;
    return std::chrono::duration_cast<duration>(now - period.since);
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
