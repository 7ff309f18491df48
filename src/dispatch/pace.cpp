/// @file
/// @brief Throttles fillers that interfere with serving tasks, and learns from the reports how much they do.

#include "pace_limits.hpp"
#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

// Slack is target / tail latency: 1 is a tail at its target. Reports of undisturbed tasks differ by 0.2.
constexpr double disturbance_threshold = 0.25;
// Below this a task's own load alone brings its tail to the target, within the variation of reports.
// Throttling fillers doesn't help then.
constexpr double own_load_slack_limit = 0.8;
// Smoothing factors of the lower envelope of undisturbed slack: it follows a smaller value within about ten
// reports and rises within a thousand, since peaks of a task's own load recur every 15 seconds.
constexpr double undisturbed_slack_fall = 0.1;
constexpr double undisturbed_slack_rise = 0.001;
constexpr double throttle_slack = 1.2; // below it fillers are throttled
// How long a serving task may be over its target before all fillers beside it are paused, and then stopped.
// Users count it as harm after 4 s (impact_ms) or more, and a report may be a second old.
constexpr auto over_target_pause = milliseconds(1900);
constexpr auto over_target_stop = milliseconds(2900);
constexpr double full_throttle_slack =
    0.7;                                // below it the pressure exceeds the known effects: fillers are paused
constexpr double report_window_s = 0.6; // a report's half second and the time until a pace is in force
constexpr double saturated_slack = 0.2; // a tail of five times its target hardly depends on the pressure
constexpr std::uint32_t min_pace = 5;   // percent; a slower task does little more than hold its memory
constexpr double min_evidence = 3;      // reports

} // namespace

void dispatcher::adjust_pace(time_point now, worker_view& worker)
{
    if (worker.serving_runs == 0)
    {
        return;
    }
    record_own_load(now, worker);
    learn_interference(worker);
    const bool settled = now >= worker.pace_changed_at + pace_settle_time;
    if (worker.filler_cpu_milli == 0 || !settled || !is_on(mechanism::pace))
    {
        return;
    }
    const run_view* tightest = nullptr;
    for (const run_view& run : worker.runs)
    {
        const bool disturbed = run.serving && is_disturbed(now, run);
        if (disturbed && (tightest == nullptr || slack_of(run) < slack_of(*tightest)))
        {
            tightest = &run;
        }
    }
    if (tightest != nullptr && slack_of(*tightest) < throttle_slack)
    {
        throttle_fillers(now, worker, *tightest);
    }
    else
    {
        relax_throttling(now, worker, spare_slack_beside(now, worker));
    }
}

double dispatcher::spare_slack_beside(time_point now, const worker_view& worker) const
{
    double smallest = max_slack - target_slack;
    for (const run_view& run : worker.runs)
    {
        const bool is_near_target =
            run.serving && !is_over_by_own_load(now, run) &&
            (is_disturbed(now, run) || slack_without_fillers(now, run) < target_slack);
        if (is_near_target)
        {
            smallest = std::min(smallest, slack_of(run) - slack_to_leave(now, run));
        }
    }
    return smallest;
}

double dispatcher::slack_of(const run_view& serving)
{
    if (serving.percent < full_percent || serving.measured <= 0)
    {
        return max_slack;
    }
    return static_cast<double>(serving.tail_target_ms) / static_cast<double>(serving.measured);
}

void dispatcher::enforce_target(time_point now, worker_view& worker)
{
    const run_view* over = nullptr; // for the longest time
    for (const run_view& run : worker.runs)
    {
        if (run.over_target_since.has_value() &&
            (over == nullptr || *run.over_target_since < *over->over_target_since))
        {
            over = &run;
        }
    }
    if (over == nullptr || now < *over->over_target_since + over_target_pause)
    {
        return;
    }
    const bool is_stop_due = now > *over->over_target_since + over_target_stop;
    const bool pause_had_no_effect = over->measured_alone;
    for (run_view& run : worker.runs)
    {
        if (!run.filler || run.stage == run_stage::proposed || run.stage == run_stage::ending)
        {
            continue;
        }
        if (run.wanted_pace > 0)
        {
            run.wanted_pace = 0; // regardless of the learned effects of its image
            track_if_actionable(run);
            worker.pace_changed_at = now;
        }
        if (is_stop_due && !run.stop_wanted && (pause_had_no_effect || may_be_at_work(run)))
        {
            ++counts_.moved_pace;
            run.stop_wanted = true;
            run.end_if_absent = jobs::run_end::stopped;
            run.next_stop_at = now;
            track_if_actionable(run);
        }
    }
}

// Without references the own load of busy serving tasks would be attributed to the fillers beside them, and
// no more fillers would be placed there.
void dispatcher::update_reference_slacks()
{
    for (auto& [name, run] : runs_)
    {
        if (run.serving && run.percent >= full_percent && run.measured > 0)
        {
            collect_reference_slack(run);
        }
    }
    for (auto& [key, stats] : steps_)
    {
        compute_reference_slacks(*stats);
    }
}

void dispatcher::collect_reference_slack(const run_view& serving)
{
    const double slack = slack_of(serving);
    double known_effects = 0; // includes fillers that are harmless on their own
    // Counting known effects among undisturbed tasks would confirm wrong estimates.
    const bool undisturbed = serving.measured_alone;
    for (const run_view& run : serving.on->runs)
    {
        if (run.filler && run.pace_percent > 0)
        {
            known_effects +=
                interference_.effect(serving.image_id, run.image_id) * run.pace_percent / full_percent;
        }
    }
    step_stats& siblings = *serving.siblings;
    siblings.slacks.push_back(slack);
    siblings.filler_free_slacks.push_back(std::min(slack + known_effects, max_slack));
    if (undisturbed)
    {
        siblings.undisturbed_slacks.push_back(slack);
        undisturbed_slack_ += (slack < undisturbed_slack_ ? undisturbed_slack_fall : undisturbed_slack_rise) *
                              (slack - undisturbed_slack_);
    }
}

void dispatcher::compute_reference_slacks(step_stats& siblings)
{
    // The value that one in `one_in` values exceeds; 0 if there are none.
    const auto upper_quantile = [](std::vector<double>& values, std::size_t one_in)
    {
        if (values.empty())
        {
            return 0.0;
        }
        const auto at = values.begin() + static_cast<std::ptrdiff_t>(values.size() / one_in);
        std::nth_element(values.begin(), at, values.end(), std::greater<>());
        return *at;
    };
    const auto upper_median = [](std::vector<double>& values)
    {
        if (values.empty())
        {
            return 0.0;
        }
        const auto at = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
        std::nth_element(values.begin(), at, values.end(), std::greater<>());
        return *at;
    };
    siblings.has_undisturbed_siblings = !siblings.undisturbed_slacks.empty();
    const double undisturbed = upper_quantile(siblings.undisturbed_slacks, 2);
    siblings.typical_undisturbed_slack = upper_median(siblings.undisturbed_slacks);
    // Without undisturbed siblings the upper quartile: up to three quarters may be disturbed.
    siblings.reference_slack =
        siblings.has_undisturbed_siblings ? undisturbed : upper_quantile(siblings.slacks, 4);
    siblings.filler_free_slack =
        siblings.has_undisturbed_siblings ? undisturbed : upper_quantile(siblings.filler_free_slacks, 4);
    siblings.slacks.clear();
    siblings.filler_free_slacks.clear();
    siblings.undisturbed_slacks.clear();
}

double dispatcher::slack_loss_of(const run_view& serving) const
{
    const step_stats& siblings = *serving.siblings;
    if (!is_on(mechanism::undisturbed_reference))
    {
        return std::max(siblings.reference_slack, default_undisturbed_slack) - slack_of(serving);
    }
    // Own load leaves at least this much at its peak: siblings with less slack are disturbed themselves.
    const double reference = siblings.has_undisturbed_siblings
                                 ? siblings.reference_slack
                                 : std::max(siblings.reference_slack, undisturbed_slack_);
    return reference - slack_of(serving);
}

bool dispatcher::is_disturbed(time_point now, const run_view& serving) const
{
    if (is_over_by_own_load(now, serving))
    {
        return false;
    }
    const double slack = slack_of(serving);
    if (!is_on(mechanism::undisturbed_reference))
    {
        return slack_loss_of(serving) > disturbance_threshold;
    }
    const step_stats& siblings = *serving.siblings;
    // Only undisturbed siblings show for certain that own load alone brings the tail to its target.
    if (siblings.has_undisturbed_siblings && siblings.filler_free_slack < own_load_slack_limit)
    {
        return false;
    }
    // A task over its target counts as disturbed whatever slack its siblings have.
    return siblings.filler_free_slack - slack > disturbance_threshold || slack <= 1;
}

void dispatcher::learn_interference(const worker_view& worker)
{
    std::vector<colocated_filler> colocated;
    for (const run_view& run : worker.runs)
    {
        if (!run.filler || run.stage != run_stage::running)
        {
            continue;
        }
        if (run.pace_unknown)
        {
            return; // the load of this filler is not known yet
        }
        // A report covers half a second: a filler that has just started affects only part of it.
        const double age = std::chrono::duration<double>(run.confirmed_at - run.started_at).count();
        const double present = std::clamp(age / report_window_s, 0.0, 1.0);
        colocated.push_back({run.image_id, present * static_cast<double>(run.pace_percent) / full_percent});
    }
    std::vector<image_number> seen;
    for (const run_view& run : worker.runs)
    {
        // Tasks of one image on one worker are affected alike: one report per image is enough.
        const bool measured = run.serving && run.percent >= full_percent && run.measured > 0;
        if (measured && std::find(seen.begin(), seen.end(), run.image_id) == seen.end())
        {
            seen.push_back(run.image_id);
            interference_.observe(
                run.image_id, slack_loss_of(run), slack_of(run) < saturated_slack, colocated);
        }
    }
}

void dispatcher::throttle_fillers(time_point now, worker_view& worker, const run_view& serving)
{
    double total_effect = 0; // at the current paces
    for (const run_view& run : worker.runs)
    {
        total_effect += run.filler ? interference_.effect(serving.image_id, run.image_id) * run.pace_percent /
                                         full_percent
                                   : 0;
    }
    const double missing_slack = slack_to_leave(now, serving) - slack_of(serving);
    const bool is_effect_known = total_effect > 0 && slack_of(serving) > full_throttle_slack;
    const double scale = is_effect_known ? std::clamp(1 - missing_slack / total_effect, 0.0, 1.0) : 0;
    for (run_view& run : worker.runs)
    {
        const bool is_harmless =
            interference_.effect(serving.image_id, run.image_id) < options_.negligible_effect &&
            interference_.evidence(serving.image_id, run.image_id) > min_evidence;
        if (!run.filler || run.stage != run_stage::running || is_harmless)
        {
            continue;
        }
        const auto pace = static_cast<std::uint32_t>(scale * static_cast<double>(run.pace_percent));
        if (run.wanted_pace >= relocation_pace)
        {
            run.slowed_since = now;
        }
        run.wanted_pace = pace < min_pace ? 0 : pace;
        track_if_actionable(run);
        worker.pace_changed_at = now;
    }
}

// All throttled fillers get an equal share, or as many as can do some work with it, least paced ones first.
void dispatcher::relax_throttling(time_point now, worker_view& worker, double spare_slack)
{
    refresh_colocation(worker);
    std::vector<run_view*> throttled;
    for (run_view& run : worker.runs)
    {
        if (run.filler && run.stage == run_stage::running && run.wanted_pace < full_percent)
        {
            throttled.push_back(&run);
        }
    }
    std::stable_sort(throttled.begin(),
                     throttled.end(),
                     [](const run_view* left, const run_view* right)
                     {
                         return left->wanted_pace < right->wanted_pace;
                     });
    std::size_t sharing = throttled.size();
    for (run_view* run : throttled)
    {
        const double largest_effect = max_effect_of(worker.colocation, run->image_id);
        const auto max_step = static_cast<double>(full_percent - run->wanted_pace) / full_percent;
        const double min_cost = largest_effect * min_pace / full_percent;
        while (sharing > 1 && spare_slack < min_cost * static_cast<double>(sharing))
        {
            --sharing;
        }
        const double share = spare_slack / static_cast<double>(sharing);
        const double step =
            largest_effect <= 0 ? max_step : std::clamp(share / largest_effect, 0.0, max_step);
        const auto percent = static_cast<std::uint32_t>(step * full_percent);
        sharing -= sharing > 1 ? 1 : 0;
        if (percent >= min_pace)
        {
            spare_slack -= step * largest_effect;
            run->wanted_pace += percent;
            track_if_actionable(*run);
            worker.pace_changed_at = now;
        }
    }
}

void dispatcher::order_pace(time_point now, run_view& run, dispatch_output& out)
{
    // Retries to a worker that refuses are delayed: other orders to it would queue behind them.
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
        if (const worker_view* view = find_worker(worker); view != nullptr)
        {
            ++counts_.stops_ordered;
            out.orders.emplace_back(stop_order{recipient_of(*view), term_, name});
        }
    }
}

} // namespace plumspoke::dispatch
