#pragma once

/// @file
/// @brief A step whose tasks may start, as passed between the parts of placement.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

/// @brief Score penalty of a worker that is set aside: it is used only if no better one is left.
inline constexpr double set_aside_cost = 60'000;

/// @brief A job without a task at work for this long takes any worker, even one that is set aside.
inline constexpr auto urgent_after = milliseconds(2000);

/// @brief How late a job is predicted to end, in order of preference.
enum class lateness_class : std::uint8_t
{
    in_time,
    late,
    hopeless,
};

/// @brief A step whose tasks may start.
struct dispatcher::ready_step
{
    const jobs::job* job = nullptr;
    const jobs::occurrence* at = nullptr;
    std::uint32_t step = 0;
    const jobs::step_spec* spec = nullptr;
    image_number image_id = 0;
    lateness_class lateness = lateness_class::in_time;
    std::int64_t deadline_ms = 0;
    bool urgent = false; // its job has had no running tasks for long: any worker is better than none
    bool takes_precedence = false;      // before all others of its priority
    duration idle{};                    // for how long its job has had no task at work, by the leader's clock
    bool owed = false;                  // idle for so long that it must start, since most of its pool is free
    bool starving = false;              // urgent for so long that harm to other tasks is accepted
    bool restarts_lasting_task = false; // a lasting task has lost its run and is unavailable until restarted

    [[nodiscard]] jobs::task_name task(std::uint32_t index) const
    {
        return {job->id, at->number, step, index};
    }
    [[nodiscard]] const jobs::step& state() const
    {
        return at->steps[step];
    }
    /// @brief Number of tasks without a recorded run.
    [[nodiscard]] std::size_t count_waiting() const
    {
        const std::vector<jobs::task>& tasks = state().tasks;
        return static_cast<std::size_t>(std::count_if(tasks.begin(),
                                                      tasks.end(),
                                                      [](const jobs::task& one)
                                                      {
                                                          return one.phase == jobs::task_phase::waiting;
                                                      }));
    }
    [[nodiscard]] work_kind kind() const
    {
        return kind_of(spec->lasting, spec->filler);
    }
};

} // namespace plumspoke::dispatch
