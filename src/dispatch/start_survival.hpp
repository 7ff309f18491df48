#pragma once

/// @file
/// @brief Whether a run can still be the one that crashes its worker by its start.

#include "plumspoke/dispatch/worker_view.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

/// @brief Tasks that crash their worker do so within 60 ms of their start; this is five times as long, on the
///        worker's clock.
inline constexpr std::int64_t start_crash_window_ms = 300;

/// @brief Whether the worker was alive later than a crash by the run's start. Told by its own clock, since
///        the answer to a poll may have waited there.
[[nodiscard]] inline bool has_survived_start(const run_view& run) noexcept
{
    return run.begun_clock_ms.has_value() &&
           run.on->latest_clock_ms >= *run.begun_clock_ms + start_crash_window_ms;
}

/// @brief Whether a start order of the run may have reached its worker.
[[nodiscard]] inline bool may_have_begun(const run_view& run) noexcept
{
    return run.stage != run_stage::ordered || run.starts_sent > 0;
}

/// @brief Whether the worker may have crashed by the run's start.
[[nodiscard]] inline bool may_have_crashed_worker(const run_view& run) noexcept
{
    return run.stage != run_stage::proposed && run.stage != run_stage::ending && may_have_begun(run) &&
           !has_survived_start(run);
}

/// @brief Whether a crash of the worker may have followed a start.
/// @complexity linear in the runs of the worker
[[nodiscard]] inline bool may_have_crashed_by_start(const worker_view& worker) noexcept
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), may_have_crashed_worker);
}

/// @brief Runs of suspects on the worker that haven't survived their start.
/// @complexity linear in the runs of a worker with suspects
[[nodiscard]] inline std::ptrdiff_t count_unproven_suspects(const worker_view& worker) noexcept
{
    return worker.suspects == 0
               ? 0
               : std::count_if(worker.runs.begin(),
                               worker.runs.end(),
                               [](const run_view& run)
                               {
                                   return is_suspect(run.evidence) && !has_survived_start(run);
                               });
}

} // namespace plumspoke::dispatch
