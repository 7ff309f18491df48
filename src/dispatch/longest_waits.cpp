#include "plumspoke/dispatch/longest_waits.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::size_t max_reported = 4; // lines per report

} // namespace

std::string_view to_string(wait_cause value) noexcept
{
    switch (value)
    {
    case wait_cause::start_not_committed:
        return "record_under_way";
    case wait_cause::start_unconfirmed:
        return "start_unheard";
    case wait_cause::not_listed:
        return "not_listed";
    case wait_cause::worker_unresponsive:
        return "worker_silent";
    case wait_cause::stop_pending:
        return "stop_under_way";
    case wait_cause::end_not_committed:
        return "end_under_way";
    case wait_cause::untracked:
        return "no_view";
    case wait_cause::retry_backoff:
        return "retry_pause";
    case wait_cause::isolation:
        return "isolation";
    case wait_cause::no_worker:
        return "no_worker";
    case wait_cause::gang_incomplete:
        return "gang_incomplete";
    case wait_cause::unplaced:
        return "not_placed";
    }
    return "";
}

void longest_waits::note(long_wait wait)
{
    if (!is_long(wait.since))
    {
        return;
    }
    const auto same_task = std::find_if(longest_.begin(),
                                        longest_.end(),
                                        [&wait](const long_wait& entry)
                                        {
                                            return entry.name.task == wait.name.task;
                                        });
    if (same_task != longest_.end())
    {
        longest_.erase(same_task);
    }
    const auto position = std::find_if(longest_.begin(),
                                       longest_.end(),
                                       [&wait](const long_wait& entry)
                                       {
                                           return entry.since < wait.since;
                                       });
    if (position == longest_.end() && longest_.size() == max_reported)
    {
        return;
    }
    longest_.insert(position, std::move(wait));
    longest_.resize(std::min(longest_.size(), max_reported));
}

std::vector<logging::event> longest_waits::take_report()
{
    std::vector<logging::event> lines;
    for (const long_wait& wait : std::exchange(longest_, {}))
    {
        const auto since_ms = std::chrono::duration_cast<milliseconds>(wait.since).count();
        const auto on_leader_clock_ms =
            std::chrono::duration_cast<milliseconds>(wait.on_leader_clock).count();
        lines.push_back(logging::event("dispatch", "task_held", "A task that could run is not running.")
                            .with("job", wait.name.task.job)
                            .with("occurrence", wait.name.task.occurrence)
                            .with("step", wait.name.task.step)
                            .with("index", wait.name.task.index)
                            .with("attempt", wait.name.attempt)
                            .with("cause", to_string(wait.cause))
                            .with("since_ms", since_ms)
                            .with("on_leader_clock_ms", on_leader_clock_ms)
                            .with("worker", wait.worker.id)
                            .with("born_ms", wait.worker.born_ms));
    }
    return lines;
}

} // namespace plumspoke::dispatch
