#pragma once

/// @file
/// @brief What holds tasks back, for log lines: the tasks that wait longest, whatever the cause.

#include "plumspoke/fleet/worker_life.hpp"
#include "plumspoke/jobs/model.hpp"
#include "plumspoke/logging/event.hpp"
#include "plumspoke/time/time.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace plumspoke::dispatch
{

/// @brief Why a task that could run doesn't.
enum class hold_cause : std::uint8_t
{
    record_under_way, // its start is not committed yet
    start_unheard,    // ordered, or inherited, and not heard of
    not_listed,       // its worker answers and doesn't list it as running
    worker_silent,    // its worker doesn't answer
    stop_under_way,   // a stop is ordered
    end_under_way,    // its end is not committed yet
    no_view,          // on record as running, and this leader follows no such run
    retry_pause,      // after setbacks
    not_placed,       // it waits for its turn or for a worker
};

/// @brief The name of a cause, for log lines.
[[nodiscard]] std::string_view to_string(hold_cause value) noexcept;

/// @brief A task that waits.
struct held_task
{
    jobs::run_name name; // attempt 0: it has no run
    hold_cause why = hold_cause::not_placed;
    duration since{}; // of a task without a run: since its job was accepted
    fleet::worker_life on;
};

/// @brief Keeps the tasks that wait longest until the next report.
class held_tasks
{
  public:
    /// @brief Whether a wait is worth a line: looked at for every run, so nothing is copied for most of them.
    [[nodiscard]] static constexpr bool is_long(duration since) noexcept
    {
        return since >= least_wait;
    }

    /// @brief Takes note of a task; short waits are passed over.
    void note(held_task held);

    /// @brief One line for each task that is kept, the longest wait first, and forgets them.
    [[nodiscard]] std::vector<logging::event> take_report();

  private:
    static constexpr duration least_wait =
        seconds(3); // a job with nothing running for so long counts as stuck

    std::vector<held_task> longest_; // by falling wait
};

} // namespace plumspoke::dispatch
