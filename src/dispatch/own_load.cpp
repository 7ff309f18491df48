/// @file
/// @brief Tells apart whether a serving task is over its target by its own load or because of fillers.

#include "pace_limits.hpp"
#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

// For how long a report without fillers at work shows what the task's own load is. Users count fillers as
// harmful after 4 s (impact_ms), of which detecting and pausing them takes up to 2.5 s.
constexpr auto own_load_validity = milliseconds(1000);
constexpr auto max_report_interval = milliseconds(1000);

} // namespace

// An order or a stop that is not confirmed may have no effect yet.
bool dispatcher::may_be_at_work(const run_view& filler) noexcept
{
    const bool is_paused = filler.stage == run_stage::running && filler.pace_percent == 0 &&
                           !filler.pace_in_flight && !filler.pace_unknown;
    return filler.stage != run_stage::proposed && filler.stage != run_stage::ending && !is_paused;
}

void dispatcher::record_own_load(time_point now, worker_view& worker)
{
    const bool fillers_at_work = std::any_of(worker.runs.begin(),
                                             worker.runs.end(),
                                             [](const run_view& run)
                                             {
                                                 return run.filler && may_be_at_work(run);
                                             });
    if (fillers_at_work)
    {
        worker.fillers_at_work_at = now;
    }
    const bool alone = !fillers_at_work && (worker.fillers_at_work_at == time_point{} ||
                                            now >= worker.fillers_at_work_at + pace_settle_time);
    for (run_view& run : worker.runs)
    {
        if (!run.serving)
        {
            continue;
        }
        run.measured_alone = alone;
        if (alone)
        {
            run.alone_slack = slack_of(run);
            run.alone_at = now;
        }
        update_over_target(now, run);
    }
}

bool dispatcher::is_over_by_own_load(time_point now, const run_view& serving)
{
    // Where siblings without fillers are under the target, fillers are better off beside them.
    return serving.alone_at != time_point{} && now < serving.alone_at + own_load_validity &&
           serving.alone_slack < 1 && serving.siblings->typical_undisturbed_slack < recovered_slack;
}

void dispatcher::update_over_target(time_point now, run_view& serving)
{
    const double slack = slack_of(serving); // of a tail in whole ms, rounded down: 1 may be over the target
    const bool recovered = slack >= recovered_slack || (serving.measured_alone && slack >= 1);
    if (recovered || is_over_by_own_load(now, serving))
    {
        serving.over_target_since.reset();
    }
    else if (slack <= 1 && !serving.over_target_since.has_value())
    {
        // Fillers may have become the cause as soon as the last report without them.
        const time_point valid_until = serving.alone_at + own_load_validity;
        const bool just_expired = serving.alone_at != time_point{} && serving.alone_slack < 1 &&
                                  now < valid_until + max_report_interval;
        serving.over_target_since = just_expired ? std::min(now, valid_until) : now;
    }
}

double dispatcher::slack_without_fillers(time_point now, const run_view& serving)
{
    if (serving.alone_at != time_point{} && now < serving.alone_at + own_load_validity)
    {
        return serving.alone_slack;
    }
    const double estimated = serving.siblings->filler_free_slack;
    return estimated > 0 ? estimated : max_slack;
}

// Where own load leaves less slack than throttling aims at, fillers share half of what it leaves.
double dispatcher::slack_to_leave(time_point now, const run_view& serving)
{
    const double own = slack_without_fillers(now, serving);
    return own <= 1 || own >= target_slack ? target_slack : 1 + (own - 1) / 2;
}

} // namespace plumspoke::dispatch
