#include "plumspoke/dispatch/listed_runs.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

void listed_runs::record(const jobs::job_id& job, time_point listed_at)
{
    time_point& latest = listed_at_.try_emplace(job, listed_at).first->second;
    latest = std::max(latest, listed_at);
}

time_point listed_runs::last_listed(const jobs::job_id& job, time_point now)
{
    return listed_at_.try_emplace(job, now).first->second;
}

void listed_runs::erase_jobs(const std::function<bool(const jobs::job_id&)>& is_over)
{
    std::erase_if(listed_at_,
                  [&is_over](const auto& entry)
                  {
                      return is_over(entry.first);
                  });
}

} // namespace plumspoke::dispatch
