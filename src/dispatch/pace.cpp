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
constexpr double slack_at_peak = 1.5; // the least that own load leaves, on both sites
constexpr double least_slack = 1.2;   // below it fillers are slowed
// A serving task over its target for so long: all fillers beside it stand still; then they are stopped.
// The users call it harm after 4 s (impact_ms, or more); a report may be a second old.
constexpr auto over_target_pause = milliseconds(1900);
constexpr auto over_target_stop = milliseconds(2900);
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
    if (of.filler_cpu_milli == 0 || now < of.pace_changed_at + pace_settle)
    {
        return;
    }
    const run_view* tightest = nullptr;
    for (const run_view& run : of.runs)
    {
        const bool disturbed = run.serving && lost_slack_of(run) > disturbed_slack;
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
        if (!run.serving || slack_of(run) >= 1 || lost_slack_of(run) < disturbed_slack)
        {
            run.over_target_since.reset();
        }
        else if (!run.over_target_since.has_value())
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
        attend(run);
        of.pace_changed_at = now;
        if (now > *since + over_target_stop && !run.stop_wanted)
        {
            ++counts_.moved_pace;
            run.stop_wanted = true;
            run.end_if_absent = jobs::run_end::stopped;
            run.next_stop_at = now;
            attend(run);
        }
    }
}

void dispatcher::note_references()
{
    for (auto& [name, run] : runs_)
    {
        if (run.serving && run.percent >= whole_percent && run.measured > 0)
        {
            run.siblings->slacks.push_back(slack_of(run));
        }
    }
    for (auto& [key, siblings] : steps_)
    {
        std::vector<double>& all = siblings->slacks;
        siblings->sibling_slack = 0;
        if (all.empty())
        {
            continue;
        }
        // The upper quarter: up to three of four may be disturbed.
        const auto quarter = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 4);
        std::nth_element(all.begin(), quarter, all.end(), std::greater<>());
        siblings->sibling_slack = *quarter;
        all.clear();
    }
}

double dispatcher::lost_slack_of(const run_view& serving) const
{
    const double siblings = serving.siblings->sibling_slack;
    // Own load alone leaves so much at its peak: siblings with less are disturbed themselves.
    return std::max(siblings, slack_at_peak) - slack_of(serving);
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
        beside.push_back({run.image, present * static_cast<double>(run.pace_percent) / whole_percent});
    }
    std::set<std::string> seen;
    for (const run_view& run : of.runs)
    {
        // Tasks of one image suffer alike here: one report for each is enough.
        if (run.serving && run.percent >= whole_percent && run.measured > 0 && seen.insert(run.image).second)
        {
            interference_.observe(run.image, lost_slack_of(run), slack_of(run) < saturated_slack, beside);
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
            interference_.effect(serving.image_id, run.image_id) < options_.harmless_effect &&
            interference_.evidence(serving.image_id, run.image_id) > enough_evidence;
        if (!run.filler || run.stage != run_stage::running || known_harmless)
        {
            continue;
        }
        const auto pace = static_cast<std::uint32_t>(scale * static_cast<double>(run.pace_percent));
        if (run.wanted_pace >= moved_pace)
        {
            run.paced_since = now;
        }
        run.wanted_pace = pace < least_pace ? 0 : pace;
        attend(run);
        of.pace_changed_at = now;
    }
}

void dispatcher::release_paces(time_point now, worker_view& of, double slack)
{
    double free = slack - wanted_slack;
    for (run_view& run : of.runs)
    {
        if (!run.filler || run.stage != run_stage::running || run.wanted_pace >= whole_percent)
        {
            continue;
        }
        const double worst = worst_effect(of, run.image_id);
        const auto left = static_cast<double>(whole_percent - run.wanted_pace) / whole_percent;
        const double step = worst <= 0 ? left : std::clamp(free / worst, 0.0, left);
        free -= step * worst;
        const auto percent = static_cast<std::uint32_t>(step * whole_percent);
        if (percent >= least_pace)
        {
            run.wanted_pace += percent;
            attend(run);
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
    if (run.on->silent_calls > 0)
    {
        return;
    }
    run.pace_in_flight = true;
    ++counts_.paces_ordered;
    out.orders.emplace_back(pace_order{recipient_of(*run.on), term_, run.name, run.wanted_pace});
}

void dispatcher::order_stray_stops(dispatch_output& out)
{
    for (const auto& [worker, name] : std::exchange(strays_, {}))
    {
        if (const worker_view* on = find_worker(worker); on != nullptr)
        {
            ++counts_.stops_ordered;
            out.orders.emplace_back(stop_order{recipient_of(*on), term_, name});
        }
    }
}

} // namespace plumspoke::dispatch
