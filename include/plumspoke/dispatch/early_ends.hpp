#pragma once

/// @file
/// @brief Workers on which runs of a task have ended before they were stable.

#include "plumspoke/fleet/announcement.hpp"
#include "plumspoke/jobs/model.hpp"

#include <functional>
#include <map>

namespace plumspoke::dispatch
{

/// @brief Counts of runs without effect by task and worker; soft state of one term.
///
/// A task whose start had no effect on the best worker would otherwise choose the same worker in each retry.
class early_ends
{
  public:
    using counts = std::map<fleet::worker_life, int>;

    void record(const jobs::task_name& task, const fleet::worker_life& worker);

    /// @brief Forgets the counts of a task with a stable run.
    void reset(const jobs::task_name& task);

    /// @brief Removes the tasks of ended jobs.
    void erase_jobs(const std::function<bool(const jobs::job_id&)>& is_over);

    /// @return the counts of a task; nullptr if it has none
    [[nodiscard]] const counts* find(const jobs::task_name& task) const;

  private:
    std::map<jobs::task_name, counts> tasks_;
};

/// @return the count of one worker; 0 for no counts
[[nodiscard]] int count_on(const early_ends::counts* of, const fleet::worker_life& worker);

} // namespace plumspoke::dispatch
