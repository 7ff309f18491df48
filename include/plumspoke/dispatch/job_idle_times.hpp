#pragma once

/// @file
/// @brief Since when jobs with a waiting task have had no task at work.

#include "plumspoke/jobs/job_id.hpp"
#include "plumspoke/time/time.hpp"

#include <cstdint>
#include <functional>
#include <map>

namespace plumspoke::dispatch
{

/// @brief What is known of a job's runs.
enum class job_activity : std::uint8_t
{
    idle,     // no worker carries one out
    starting, // one was ordered recently, and may have begun
    at_work,  // a worker has confirmed one
};

/// @brief Tracks for how long jobs have had no task at work, by the leader's own clock.
///
/// The time of day can't be used: it may step, and a job's acceptance was stamped by another leader.
class job_idle_times
{
  public:
    /// @param complete whether all jobs with a waiting task will be recorded
    void begin_placement(bool complete) noexcept
    {
        placements_ += complete ? 1 : 0;
    }

    /// @brief Records the activity of a job that has a waiting task.
    /// @return for how long none of its tasks has been at work; zero if one may be
    duration record(time_point now, const jobs::job_id& job, job_activity activity);

    /// @brief Records that a job has one run less.
    /// @param last_at_work when the run was last known to be at work; the epoch if it never was
    /// @param added_at since when this leader has known the run
    void remove_run(const jobs::job_id& job, time_point last_at_work, time_point added_at);

    void erase_jobs(const std::function<bool(const jobs::job_id&)>& is_over);

  private:
    struct idle_period
    {
        time_point since;
        std::uint64_t placement; // the last one in which the job waited or had a run
    };
    std::map<jobs::job_id, idle_period> idle_;
    std::uint64_t placements_ = 0; // that recorded all jobs
};

} // namespace plumspoke::dispatch
