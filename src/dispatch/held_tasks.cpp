#include "plumspoke/dispatch/held_tasks.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::size_t most_kept = 4; // lines a report

} // namespace

std::string_view to_string(hold_cause value) noexcept
{
    switch (value)
    {
    case hold_cause::record_under_way:
        return "record_under_way";
    case hold_cause::start_unheard:
        return "start_unheard";
    case hold_cause::not_listed:
        return "not_listed";
    case hold_cause::worker_silent:
        return "worker_silent";
    case hold_cause::stop_under_way:
        return "stop_under_way";
    case hold_cause::end_under_way:
        return "end_under_way";
    case hold_cause::no_view:
        return "no_view";
    case hold_cause::retry_pause:
        return "retry_pause";
    case hold_cause::not_placed:
        return "not_placed";
    }
    return "";
}

void held_tasks::note(held_task held)
{
    if (!is_long(held.since))
    {
        return;
    }
    const auto known = std::find_if(longest_.begin(),
                                    longest_.end(),
                                    [&held](const held_task& one)
                                    {
                                        return one.name.task == held.name.task;
                                    });
    if (known != longest_.end())
    {
        longest_.erase(known);
    }
    const auto place = std::find_if(longest_.begin(),
                                    longest_.end(),
                                    [&held](const held_task& one)
                                    {
                                        return one.since < held.since;
                                    });
    if (place == longest_.end() && longest_.size() == most_kept)
    {
        return;
    }
    longest_.insert(place, std::move(held));
    longest_.resize(std::min(longest_.size(), most_kept));
}

std::vector<logging::event> held_tasks::take_report()
{
    std::vector<logging::event> lines;
    for (const held_task& one : std::exchange(longest_, {}))
    {
        const auto since_ms = std::chrono::duration_cast<milliseconds>(one.since).count();
        lines.push_back(logging::event("dispatch", "task_held", "A task could run and doesn't.")
                            .with("job", one.name.task.job)
                            .with("occurrence", one.name.task.occurrence)
                            .with("step", one.name.task.step)
                            .with("index", one.name.task.index)
                            .with("attempt", one.name.attempt)
                            .with("cause", to_string(one.why))
                            .with("since_ms", since_ms)
                            .with("worker", one.on.id)
                            .with("born_ms", one.on.born_ms));
    }
    return lines;
}

} // namespace plumspoke::dispatch
