/// @file
/// @brief Estimates how much slack a filler would take from the serving tasks on the same worker.

#include "pace_limits.hpp"
#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

constexpr double min_evidence = 1.5; // reports
// The slack that throttling aims at (1.4) plus what a serving task's own load may take (0.3) in the second
// until the next report.
constexpr double safe_slack = 1.7;

serving_image& find_or_add(std::vector<serving_image>& all, image_number image)
{
    const auto found = std::find_if(all.begin(),
                                    all.end(),
                                    [image](const serving_image& entry)
                                    {
                                        return entry.image == image;
                                    });
    return found == all.end() ? all.emplace_back(serving_image{image, 0, max_slack}) : *found;
}

} // namespace

// Placements read the summary for each waiting image instead of iterating over the worker's runs.
void dispatcher::refresh_colocation(worker_view& worker)
{
    colocation_summary& summary = worker.colocation;
    if (summary.changed == worker.changed)
    {
        return;
    }
    summary.changed = worker.changed;
    summary.over_target = false;
    summary.has_throttled_filler = false;
    summary.serving.clear();
    summary.fillers.clear();
    for (const run_view& run : worker.runs)
    {
        summary.over_target = summary.over_target || run.over_target_since.has_value();
        if (run.serving)
        {
            serving_image& image = find_or_add(summary.serving, run.image_id);
            ++image.runs;
            image.min_slack = std::min(image.min_slack, slack_of(run));
        }
        if (run.filler)
        {
            summary.has_throttled_filler = summary.has_throttled_filler || run.wanted_pace < full_percent;
            if (std::find(summary.fillers.begin(), summary.fillers.end(), run.image_id) ==
                summary.fillers.end())
            {
                summary.fillers.push_back(run.image_id);
            }
        }
    }
}

bool dispatcher::has_interfering_filler(const colocation_summary& colocation) const
{
    return colocation.has_throttled_filler || std::any_of(colocation.fillers.begin(),
                                                          colocation.fillers.end(),
                                                          [&](image_number filler)
                                                          {
                                                              return max_effect_of(colocation, filler) > 0;
                                                          });
}

std::int64_t dispatcher::filler_headroom_milli(const worker_view& worker) const
{
    const auto unused = static_cast<std::int64_t>((1 - options_.serving_utilization) *
                                                  static_cast<double>(worker.serving_cpu_milli));
    return worker.info.room.cpu_milli - worker.used.cpu_milli + unused - worker.filler_cpu_milli;
}

double dispatcher::min_slack_beside(const colocation_summary& colocation, image_number filler_image) const
{
    double smallest = max_slack;
    for (const serving_image& serving : colocation.serving)
    {
        const double effect = interference_.effect(serving.image, filler_image);
        if (effect >= options_.negligible_effect) // a smaller effect can't be told from the task's own load
        {
            smallest = std::min(smallest, serving.min_slack - effect);
        }
    }
    return smallest;
}

double dispatcher::max_effect_of(const colocation_summary& colocation, image_number filler_image) const
{
    double largest = 0;
    for (const serving_image& serving : colocation.serving)
    {
        largest = std::max(largest, interference_.effect(serving.image, filler_image));
    }
    return largest < options_.negligible_effect ? 0 : largest;
}

// Polls cost the leader processor time: where all serving tasks have ample slack, one a second is enough.
bool dispatcher::needs_frequent_reports(worker_view& worker) const
{
    if (worker.serving_runs == 0 || worker.filler_cpu_milli == 0)
    {
        return false;
    }
    refresh_colocation(worker);
    const colocation_summary& colocation = worker.colocation;
    return colocation.over_target || colocation.has_throttled_filler ||
           std::any_of(colocation.serving.begin(),
                       colocation.serving.end(),
                       [&](const serving_image& serving)
                       {
                           return serving.min_slack < safe_slack ||
                                  has_unmeasured_filler(serving, colocation.fillers);
                       });
}

bool dispatcher::has_unmeasured_filler(const serving_image& serving,
                                       std::span<const image_number> fillers) const
{
    return std::any_of(fillers.begin(),
                       fillers.end(),
                       [&](image_number filler)
                       {
                           return interference_.evidence(serving.image, filler) < min_evidence;
                       });
}

bool dispatcher::may_try_unmeasured(const colocation_summary& colocation, image_number filler_image) const
{
    const auto is_unmeasured = [&](image_number filler)
    {
        return std::any_of(colocation.serving.begin(),
                           colocation.serving.end(),
                           [&](const serving_image& serving)
                           {
                               return interference_.evidence(serving.image, filler) < min_evidence;
                           });
    };
    // At most one unmeasured image per worker, so that its effect can be attributed to it.
    return !is_unmeasured(filler_image) ||
           std::none_of(colocation.fillers.begin(), colocation.fillers.end(), is_unmeasured);
}

bool dispatcher::would_interfere(const colocation_summary& colocation, image_number filler_image) const
{
    return min_slack_beside(colocation, filler_image) < options_.min_slack_at_start ||
           !may_try_unmeasured(colocation, filler_image);
}

} // namespace plumspoke::dispatch
