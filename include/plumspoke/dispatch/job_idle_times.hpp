#pragma once

/// @file
/// @brief Since when jobs with a waiting task have had no task at work.

#include "plumspoke/jobs/job_id.hpp"
#include "plumspoke/time/time.hpp"

#include <functional>
#include <map>

namespace plumspoke::dispatch
{

/// @brief Tracks for how long jobs have had no task at work, by the leader's own clock.
///
/// The time of day can't be used: it may step, and a job's acceptance was stamped by another leader.
class job_idle_times
{
  public:
    /// @brief Records whether a job with a waiting task has another one at work.
    /// @return for how long none has been at work
    duration record(time_point now, const jobs::job_id& job, bool at_work);

    void erase_jobs(const std::function<bool(const jobs::job_id&)>& is_over);

  private:
    struct idle_period
    {
        time_point since;
        time_point recorded_at; // a job whose tasks all run has no waiting one, and isn't recorded
    };
    std::map<jobs::job_id, idle_period> idle_;
};

} // namespace plumspoke::dispatch
