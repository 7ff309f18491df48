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
// A verdict is kept until its worker changes, which a poll does twice a second; what is learned elsewhere may
// change it too, and counts after this.
constexpr auto verdict_validity = milliseconds(200);

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

bool dispatcher::harms(const worker_view& of, image_number filler_image) const
{
    return least_slack_beside(of, filler_image) < options_.least_slack_at_start ||
           !may_explore(of, filler_image);
}

const harm_verdict& dispatcher::judge_harm(time_point now, worker_view& of, image_number filler_image) const
{
    if (of.harm.size() <= filler_image)
    {
        of.harm.resize(filler_image + 1);
    }
    harm_verdict& known = of.harm[filler_image];
    if (known.changed != of.changed || now >= known.valid_until)
    {
        known.changed = of.changed;
        known.valid_until = now + verdict_validity;
        known.over_target = is_over_target(of);
        known.harms = !known.over_target && harms(of, filler_image);
        known.has_harmful_filler = known.harms && has_harmful_filler(of);
    }
    return known;
}

} // namespace plumspoke::dispatch
