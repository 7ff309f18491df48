#pragma once

/// @file
/// @brief Exponential back-off of tasks whose starts fail without counting against their failure limit.

#include "plumspoke/jobs/model.hpp"
#include "plumspoke/time/time.hpp"

#include <functional>
#include <map>

namespace plumspoke::dispatch
{

/// @brief Exponential back-off by task; soft state of one term.
///
/// Without it, a start that every worker rejects, or a lasting task that fails at once, would be recorded and
/// sent again in every decision.
class retry_backoff
{
  public:
    /// @brief Records a failure: the first causes no pause, the following ones pauses of 50 to 800 ms.
    void record_failure(time_point now, const jobs::task_name& task);

    /// @brief Resets the back-off of a task whose run was stable or succeeded.
    void reset(const jobs::task_name& task);

    /// @brief Removes the tasks of ended jobs.
    void erase_jobs(const std::function<bool(const jobs::job_id&)>& is_over);

    [[nodiscard]] bool is_backing_off(time_point now, const jobs::task_name& task) const;

  private:
    struct backoff
    {
        int count = 0;
        time_point until{};
    };
    std::map<jobs::task_name, backoff> tasks_;
};

} // namespace plumspoke::dispatch
