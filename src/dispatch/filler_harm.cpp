/// @file
/// @brief What a filler would take from the serving tasks beside it.

#include "pace_limits.hpp"
#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

constexpr double enough_evidence = 1.5; // reports

} // namespace

bool dispatcher::has_harmful_filler(const worker_view& of) const
{
    return std::any_of(of.runs.begin(),
                       of.runs.end(),
                       [&](const run_view& run)
                       {
                           const bool slowed = run.wanted_pace < whole_percent;
                           return run.filler && (slowed || worst_effect(of, run.image_id) > 0);
                       });
}

bool dispatcher::is_over_target(const worker_view& of)
{
    return std::any_of(of.runs.begin(),
                       of.runs.end(),
                       [](const run_view& run)
                       {
                           return run.over_target_since.has_value();
                       });
}

std::int64_t dispatcher::spare_for_fillers(const worker_view& of) const
{
    const auto unused =
        static_cast<std::int64_t>((1 - options_.serving_use) * static_cast<double>(of.serving_cpu_milli));
    return of.info.room.cpu_milli - of.used.cpu_milli + unused - of.filler_cpu_milli;
}

double dispatcher::least_slack_beside(const worker_view& of, image_number filler_image) const
{
    double least = most_slack;
    for (const run_view& run : of.runs)
    {
        const double effect = run.serving ? interference_.effect(run.image_id, filler_image) : 0;
        if (effect >= options_.harmless_effect) // else its own load may take its slack, not the filler
        {
            least = std::min(least, slack_of(run) - effect);
        }
    }
    return least;
}

double dispatcher::worst_effect(const worker_view& of, image_number filler_image) const
{
    double worst = 0;
    for (const run_view& run : of.runs)
    {
        worst = std::max(worst, run.serving ? interference_.effect(run.image_id, filler_image) : 0);
    }
    return worst < options_.harmless_effect ? 0 : worst;
}

bool dispatcher::may_explore(const worker_view& of, image_number filler_image) const
{
    const auto is_unknown_here = [&](image_number filler)
    {
        return std::any_of(of.runs.begin(),
                           of.runs.end(),
                           [&](const run_view& run)
                           {
                               return run.serving &&
                                      interference_.evidence(run.image_id, filler) < enough_evidence;
                           });
    };
    if (!is_unknown_here(filler_image))
    {
        return true;
    }
    // One unknown at a time on a worker: its effect can then be told apart.
    return std::none_of(of.runs.begin(),
                        of.runs.end(),
                        [&](const run_view& run)
                        {
                            return run.filler && is_unknown_here(run.image_id);
                        });
}

} // namespace plumspoke::dispatch
