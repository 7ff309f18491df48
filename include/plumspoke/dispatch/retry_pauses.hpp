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
class retry_pauses
{
  public:
    /// @brief Takes note of a setback: the first has no pause, the next ones 50 to 800 ms.
    void note_setback(time_point now, const jobs::task_name& task);

    /// @brief A run of the task has gone on for a while: the next setback is the first again.
    void forget(const jobs::task_name& task);

    /// @brief Forgets the tasks of jobs that are over.
    void forget_jobs(const std::function<bool(const jobs::job_id&)>& is_over);

    [[nodiscard]] bool holds_back(time_point now, const jobs::task_name& task) const;

  private:
    struct setbacks
    {
        int count = 0;
        time_point until{};
    };
    std::map<jobs::task_name, setbacks> tasks_;
};

} // namespace plumspoke::dispatch
