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
// What a slowing aims at (1.4), and what own load may take in the second until the next report.
constexpr double safe_slack = 1.7;

serving_image& find_or_add(std::vector<serving_image>& all, image_number image)
{
    const auto found = std::find_if(all.begin(),
                                    all.end(),
                                    [image](const serving_image& one)
                                    {
                                        return one.image == image;
                                    });
    return found == all.end() ? all.emplace_back(serving_image{image, 0, most_slack}) : *found;
}

} // namespace

// So that a placement doesn't walk over each worker's runs for each image that waits.
void dispatcher::refresh_digest(worker_view& of)
{
    runs_digest& on = of.digest;
    if (on.changed == of.changed)
    {
        return;
    }
    on.changed = of.changed;
    on.over_target = false;
    on.has_slowed_filler = false;
    on.serving.clear();
    on.fillers.clear();
    for (const run_view& run : of.runs)
    {
        on.over_target = on.over_target || run.over_target_since.has_value();
        if (run.serving)
        {
            serving_image& image = find_or_add(on.serving, run.image_id);
            ++image.runs;
            image.least_slack = std::min(image.least_slack, slack_of(run));
        }
        if (run.filler)
        {
            on.has_slowed_filler = on.has_slowed_filler || run.wanted_pace < whole_percent;
            if (std::find(on.fillers.begin(), on.fillers.end(), run.image_id) == on.fillers.end())
            {
                on.fillers.push_back(run.image_id);
            }
        }
    }
}

bool dispatcher::has_harmful_filler(const runs_digest& on) const
{
    return on.has_slowed_filler || std::any_of(on.fillers.begin(),
                                               on.fillers.end(),
                                               [&](image_number filler)
                                               {
                                                   return worst_effect(on, filler) > 0;
                                               });
}

std::int64_t dispatcher::spare_for_fillers(const worker_view& of) const
{
    const auto unused = static_cast<std::int64_t>((1 - options_.serving_utilization) *
                                                  static_cast<double>(of.serving_cpu_milli));
    return of.info.room.cpu_milli - of.used.cpu_milli + unused - of.filler_cpu_milli;
}

double dispatcher::least_slack_beside(const runs_digest& on, image_number filler_image) const
{
    double least = most_slack;
    for (const serving_image& one : on.serving)
    {
        const double effect = interference_.effect(one.image, filler_image);
        if (effect >= options_.negligible_effect) // else its own load may take its slack, not the filler
        {
            least = std::min(least, one.least_slack - effect);
        }
    }
    return least;
}

double dispatcher::worst_effect(const runs_digest& on, image_number filler_image) const
{
    double worst = 0;
    for (const serving_image& one : on.serving)
    {
        worst = std::max(worst, interference_.effect(one.image, filler_image));
    }
    return worst < options_.negligible_effect ? 0 : worst;
}

// Where all serving tasks have slack to spare, a report a second is enough; each poll has its price.
bool dispatcher::wants_new_reports(worker_view& of) const
{
    if (of.serving_runs == 0 || of.filler_cpu_milli == 0)
    {
        return false;
    }
    refresh_digest(of);
    const runs_digest& on = of.digest;
    return on.over_target || on.has_slowed_filler ||
           std::any_of(on.serving.begin(),
                       on.serving.end(),
                       [&](const serving_image& one)
                       {
                           return one.least_slack < safe_slack || has_unknown_filler(one, on.fillers);
                       });
}

bool dispatcher::has_unknown_filler(const serving_image& serving, std::span<const image_number> fillers) const
{
    return std::any_of(fillers.begin(),
                       fillers.end(),
                       [&](image_number filler)
                       {
                           return interference_.evidence(serving.image, filler) < enough_evidence;
                       });
}

bool dispatcher::may_explore(const runs_digest& on, image_number filler_image) const
{
    const auto is_unknown_here = [&](image_number filler)
    {
        return std::any_of(on.serving.begin(),
                           on.serving.end(),
                           [&](const serving_image& one)
                           {
                               return interference_.evidence(one.image, filler) < enough_evidence;
                           });
    };
    // One unknown at a time on a worker: its effect can then be told apart.
    return !is_unknown_here(filler_image) ||
           std::none_of(on.fillers.begin(), on.fillers.end(), is_unknown_here);
}

bool dispatcher::harms(const runs_digest& on, image_number filler_image) const
{
    return least_slack_beside(on, filler_image) < options_.min_slack_at_start ||
           !may_explore(on, filler_image);
}

} // namespace plumspoke::dispatch
