/// @file
/// @brief Fillers that disturb what serves: how far they are slowed, and what is learned from it.

#include "pace_limits.hpp"
#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

// Slack is target / tail: 1 is a tail at its target. Reports of undisturbed tasks differ by 0.2.
constexpr double disturbed_slack = 0.25;
// Below this own load alone holds a tail at its target, within what reports differ by: slowing fillers helps
// nobody then.
constexpr double own_slack_at_target = 0.8;
// The least calm slack follows a smaller one within some ten reports and rises within a thousand: peaks of
// own load come each quarter of a minute.
constexpr double calm_slack_fall = 0.1;
constexpr double calm_slack_rise = 0.001;
constexpr double least_slack = 1.2; // below it fillers are slowed
// A serving task over its target for so long: all fillers beside it stand still; then they are stopped.
// The users call it harm after 4 s (impact_ms, or more); a report may be a second old.
constexpr auto over_target_pause = milliseconds(1900);
constexpr auto over_target_stop = milliseconds(2900);
// A figure is rough: one that is a little under the target doesn't end a time over it.
constexpr double recovered_slack = 1.15;
constexpr double stop_slack = 0.7;      // below it the pressure is more than is known: fillers stand still
constexpr double report_span_s = 0.6;   // a report's half second and the time until a pace is in force
constexpr double wanted_slack = 1.4;    // what a slowing aims at; load may take 0.3 a second
constexpr double saturated_slack = 0.2; // a tail five times its target tells little of the pressure
constexpr std::uint32_t least_pace = 5; // percent; below this a task only holds its memory
constexpr double enough_evidence = 3;   // reports
// A report covers the last half second: a pace is judged by reports from after it took effect.
constexpr auto pace_settle = milliseconds(700);

} // namespace

void dispatcher::watch_pace(time_point now, worker_view& of)
{
    if (of.serving_runs == 0)
    {
        return;
    }
    learn_interference(of);
    note_over_target(now, of);
    const bool settled = now >= of.pace_changed_at + pace_settle;
    if (of.filler_cpu_milli == 0 || !settled || !is_on(mechanism::pace))
    {
        return;
    }
    const run_view* tightest = nullptr;
    for (const run_view& run : of.runs)
    {
        const bool disturbed = run.serving && is_disturbed(run);
        if (disturbed && (tightest == nullptr || slack_of(run) < slack_of(*tightest)))
        {
            tightest = &run;
        }
    }
    if (tightest == nullptr)
    {
        release_paces(now, of, most_slack);
    }
    else if (slack_of(*tightest) < least_slack)
    {
        set_paces(now, of, *tightest);
    }
    else
    {
        release_paces(now, of, slack_of(*tightest));
    }
}

double dispatcher::slack_of(const run_view& serving)
{
    if (serving.percent < whole_percent || serving.measured <= 0)
    {
        return most_slack;
    }
    return static_cast<double>(serving.tail_target_ms) / static_cast<double>(serving.measured);
}

void dispatcher::note_over_target(time_point now, worker_view& of)
{
    for (run_view& run : of.runs)
    {
        const double slack = slack_of(run);
        if (!run.serving || slack >= recovered_slack)
        {
            run.over_target_since.reset();
        }
        else if (slack < 1 && !run.over_target_since.has_value())
        {
            run.over_target_since = now;
        }
    }
}

void dispatcher::guard_target(time_point now, worker_view& of)
{
    std::optional<time_point> since;
    for (const run_view& run : of.runs)
    {
        if (run.over_target_since.has_value())
        {
            since = std::min(since.value_or(now), *run.over_target_since);
        }
    }
    if (!since.has_value() || now < *since + over_target_pause)
    {
        return;
    }
    for (run_view& run : of.runs)
    {
        if (!run.filler || run.stage == run_stage::proposed || run.stage == run_stage::ending)
        {
            continue;
        }
        run.wanted_pace = 0; // whatever is known of its image
        track_if_actionable(run);
        of.pace_changed_at = now;
        if (now > *since + over_target_stop && !run.stop_wanted)
        {
            ++counts_.moved_pace;
            run.stop_wanted = true;
            run.end_if_absent = jobs::run_end::stopped;
            run.next_stop_at = now;
            track_if_actionable(run);
        }
    }
}

// Else the own load of busy serving tasks is taken for the effect of the fillers beside them, and nothing is
// placed there any more.
void dispatcher::note_references()
{
    for (auto& [name, run] : runs_)
    {
        if (run.serving && run.percent >= whole_percent && run.measured > 0)
        {
            note_reference_of(run);
        }
    }
    for (auto& [key, siblings] : steps_)
    {
        find_references(*siblings);
    }
}

void dispatcher::note_reference_of(const run_view& serving)
{
    const double slack = slack_of(serving);
    double taken = 0; // also by several fillers of which each is harmless
    bool calm = true; // with none at all: an effect that is not known well enough would confirm itself
    for (const run_view& run : serving.on->runs)
    {
        if (run.filler && run.pace_percent > 0)
        {
            calm = false;
            taken += interference_.effect(serving.image_id, run.image_id) * run.pace_percent / whole_percent;
        }
    }
    step_stats& siblings = *serving.siblings;
    siblings.slacks.push_back(slack);
    siblings.own_slacks.push_back(std::min(slack + taken, most_slack));
    if (calm)
    {
        siblings.calm_slacks.push_back(slack);
        calm_slack_ += (slack < calm_slack_ ? calm_slack_fall : calm_slack_rise) * (slack - calm_slack_);
    }
}

void dispatcher::find_references(step_stats& of)
{
    // The value that this share of them is above; 0 where there are none.
    const auto upper = [](std::vector<double>& all, std::size_t one_in)
    {
        if (all.empty())
        {
            return 0.0;
        }
        const auto at = all.begin() + static_cast<std::ptrdiff_t>(all.size() / one_in);
        std::nth_element(all.begin(), at, all.end(), std::greater<>());
        return *at;
    };
    of.has_calm_siblings = !of.calm_slacks.empty();
    const double calm = upper(of.calm_slacks, 2);
    // Else the upper quarter: up to three of four may be disturbed.
    of.sibling_slack = of.has_calm_siblings ? calm : upper(of.slacks, 4);
    of.own_slack = of.has_calm_siblings ? calm : upper(of.own_slacks, 4);
    of.slacks.clear();
    of.own_slacks.clear();
    of.calm_slacks.clear();
}

double dispatcher::lost_slack_of(const run_view& serving) const
{
    const step_stats& siblings = *serving.siblings;
    if (!is_on(mechanism::undisturbed_reference))
    {
        return std::max(siblings.sibling_slack, unseen_calm_slack) - slack_of(serving);
    }
    // Own load alone leaves so much at its peak: siblings with less are disturbed themselves.
    const double reference =
        siblings.has_calm_siblings ? siblings.sibling_slack : std::max(siblings.sibling_slack, calm_slack_);
    return reference - slack_of(serving);
}

bool dispatcher::is_disturbed(const run_view& serving) const
{
    const double slack = slack_of(serving);
    if (!is_on(mechanism::undisturbed_reference))
    {
        return lost_slack_of(serving) > disturbed_slack;
    }
    const step_stats& siblings = *serving.siblings;
    // Only siblings that nothing disturbs tell for sure that own load alone holds it at its target.
    if (siblings.has_calm_siblings && siblings.own_slack < own_slack_at_target)
    {
        return false;
    }
    // Near the target even a little is too much.
    return siblings.own_slack - slack > disturbed_slack || slack < 1;
}

void dispatcher::learn_interference(const worker_view& of)
{
    std::vector<filler_beside> beside;
    for (const run_view& run : of.runs)
    {
        if (!run.filler || run.stage != run_stage::running)
        {
            continue;
        }
        if (run.pace_unknown)
        {
            return; // what presses here can't be told yet
        }
        // A report covers half a second: a filler that has just come accounts for a part of it.
        const double age = std::chrono::duration<double>(run.confirmed_at - run.started_at).count();
        const double present = std::clamp(age / report_span_s, 0.0, 1.0);
        beside.push_back({run.image_id, present * static_cast<double>(run.pace_percent) / whole_percent});
    }
    std::vector<image_number> seen;
    for (const run_view& run : of.runs)
    {
        // Tasks of one image suffer alike here: one report for each is enough.
        const bool measured = run.serving && run.percent >= whole_percent && run.measured > 0;
        if (measured && std::find(seen.begin(), seen.end(), run.image_id) == seen.end())
        {
            seen.push_back(run.image_id);
            interference_.observe(run.image_id, lost_slack_of(run), slack_of(run) < saturated_slack, beside);
        }
    }
}

void dispatcher::set_paces(time_point now, worker_view& of, const run_view& serving)
{
    double sum = 0; // of effects at the present pace
    for (const run_view& run : of.runs)
    {
        sum += run.filler
                   ? interference_.effect(serving.image_id, run.image_id) * run.pace_percent / whole_percent
                   : 0;
    }
    const double missing = wanted_slack - slack_of(serving);
    const bool known = sum > 0 && slack_of(serving) > stop_slack;
    const double scale = known ? std::clamp(1 - missing / sum, 0.0, 1.0) : 0;
    for (run_view& run : of.runs)
    {
        const bool known_harmless =
            interference_.effect(serving.image_id, run.image_id) < options_.negligible_effect &&
            interference_.evidence(serving.image_id, run.image_id) > enough_evidence;
        if (!run.filler || run.stage != run_stage::running || known_harmless)
        {
            continue;
        }
        const auto pace = static_cast<std::uint32_t>(scale * static_cast<double>(run.pace_percent));
        if (run.wanted_pace >= moved_pace)
        {
            run.slowed_since = now;
        }
        run.wanted_pace = pace < least_pace ? 0 : pace;
        track_if_actionable(run);
        of.pace_changed_at = now;
    }
}

void dispatcher::release_paces(time_point now, worker_view& of, double slack)
{
    double free = slack - wanted_slack;
    refresh_digest(of);
    for (run_view& run : of.runs)
    {
        if (!run.filler || run.stage != run_stage::running || run.wanted_pace >= whole_percent)
        {
            continue;
        }
        const double worst = worst_effect(of.digest, run.image_id);
        const auto left = static_cast<double>(whole_percent - run.wanted_pace) / whole_percent;
        const double step = worst <= 0 ? left : std::clamp(free / worst, 0.0, left);
        free -= step * worst;
        const auto percent = static_cast<std::uint32_t>(step * whole_percent);
        if (percent >= least_pace)
        {
            run.wanted_pace += percent;
            track_if_actionable(run);
            of.pace_changed_at = now;
        }
    }
}

void dispatcher::order_pace(time_point now, run_view& run, dispatch_output& out)
{
    // A worker that refuses gets a pause: other orders to it would wait behind the repetitions.
    const bool differs = run.pace_unknown || run.wanted_pace != run.pace_percent;
    const bool due =
        run.stage == run_stage::running && differs && !run.stop_wanted && now >= run.next_pace_at;
    if (!due || run.pace_in_flight)
    {
        return;
    }
    if (run.on->unanswered_calls > 0)
    {
        return;
    }
    run.pace_in_flight = true;
    ++counts_.paces_ordered;
    out.orders.emplace_back(pace_order{recipient_of(*run.on), term_, run.name, run.wanted_pace});
}

void dispatcher::stop_unknown_runs(dispatch_output& out)
{
    for (const auto& [worker, name] : std::exchange(unknown_runs_, {}))
    {
        if (const worker_view* on = find_worker(worker); on != nullptr)
        {
            ++counts_.stops_ordered;
            out.orders.emplace_back(stop_order{recipient_of(*on), term_, name});
        }
    }
}

} // namespace plumspoke::dispatch
