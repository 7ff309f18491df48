#pragma once

/// @file
/// @brief Collects the tasks that have waited longest, with the cause of each wait, for the log.

#include "plumspoke/fleet/worker_life.hpp"
#include "plumspoke/jobs/model.hpp"
#include "plumspoke/logging/event.hpp"
#include "plumspoke/time/time.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace plumspoke::dispatch
{

/// @brief Why a task whose preconditions are met is not running.
enum class wait_cause : std::uint8_t
{
    start_not_committed,
    start_unconfirmed,   // ordered, or taken over from an earlier leader, and not confirmed by its worker
    not_listed,          // its worker answers and doesn't list it as running
    worker_unresponsive, // its worker doesn't answer
    stop_pending,        // a stop has been ordered
    end_not_committed,
    untracked, // recorded as running, but this leader tracks no such run
    retry_backoff,
    isolation,       // its worker has crashed under it, and the best worker runs another such task
    no_worker,       // no worker could take it at the last placement
    gang_incomplete, // the members of a gang start only together
    unplaced,        // beyond the limits on starts, or not tried yet
};

/// @return the name of a cause in log lines
[[nodiscard]] std::string_view to_string(wait_cause value) noexcept;

/// @brief A waiting task.
struct long_wait
{
    jobs::run_name name; // attempt 0: the task has no run
    wait_cause cause = wait_cause::unplaced;
    duration since{}; // length of the wait; for a task without a run, since its job was accepted
    fleet::worker_life worker;
    duration on_leader_clock{}; // length of the wait in this leader's term
};

/// @brief Keeps the tasks that wait longest until the next report.
class longest_waits
{
  public:
    /// @brief Whether a wait is long enough to be reported. Checked first, since most runs need no entry.
    [[nodiscard]] static constexpr bool is_long(duration since) noexcept
    {
        return since >= min_wait;
    }

    /// @brief Adds a waiting task; short waits are ignored.
    void note(long_wait wait);

    /// @brief Returns a log line for each of the longest waits, longest first, and removes them.
    [[nodiscard]] std::vector<logging::event> take_report();

  private:
    static constexpr duration min_wait =
        seconds(3); // a job without a running task for this long counts as stuck

    std::vector<long_wait> longest_; // in descending order of the wait
};

} // namespace plumspoke::dispatch
