#pragma once

/// @file
/// @brief How long a task waits before it is tried again after a setback that no budget counts.

#include "plumspoke/jobs/model.hpp"
#include "plumspoke/time/time.hpp"

#include <functional>
#include <map>

namespace plumspoke::dispatch
{

/// @brief Growing pauses by task: soft state of one term.
///
/// For a start that every worker rejects, or a lasting task that fails at once: each would be recorded and
/// sent again in the next decision.
class retry_backoff
{
  public:
    /// @brief Takes note of a setback: the first has no pause, the next ones 50 to 800 ms.
    void record_failure(time_point now, const jobs::task_name& task);

    /// @brief A run of the task has gone on for a while: the next setback is the first again.
    void reset(const jobs::task_name& task);

    /// @brief Forgets the tasks of jobs that are over.
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
