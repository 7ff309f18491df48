#pragma once

/// @file
/// @brief A step whose tasks may start, as the parts of placement hand it on.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

/// @brief Points that a worker loses while it is set aside: it is taken where nothing better is left.
inline constexpr double set_aside_cost = 60'000;

/// @brief How much a job's remaining time is worth, best first.
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
    bool urgent = false;           // its job has had nothing running for long: any worker is better than none
    bool takes_precedence = false; // before all others of its priority
    bool starving = false;         // the same for so long that harm elsewhere is the lesser evil
    bool restarts_lasting_task =
        false; // a lasting task of it has lost its run: its users are away until it is back

    [[nodiscard]] jobs::task_name task(std::uint32_t index) const
    {
        return {job->id, at->number, step, index};
    }
    [[nodiscard]] const jobs::step& state() const
    {
        return at->steps[step];
    }
    /// @brief Tasks without a run on record.
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
