#pragma once

/// @file
/// @brief When a worker last listed a run of a job.

#include "plumspoke/jobs/job_id.hpp"
#include "plumspoke/time/time.hpp"

#include <functional>
#include <map>

namespace plumspoke::dispatch
{

/// @brief Tracks when jobs were first seen and when a worker last listed one of their runs, by the leader's
///        own clock.
class listed_runs
{
  public:
    /// @brief Records that a worker has listed a run of the job.
    void record(const jobs::job_id& job, time_point listed_at);

    /// @brief When a run of the job was last listed; before that, when the job was first asked for.
    [[nodiscard]] time_point last_listed(const jobs::job_id& job, time_point now);

    void erase_jobs(const std::function<bool(const jobs::job_id&)>& is_over);

  private:
    std::map<jobs::job_id, time_point> listed_at_;
};

} // namespace plumspoke::dispatch
