// Reactions to slow services: throttle before checkpoint, and wait for a measurement after each action.

#include "plumspoke/control/policy.hpp"

#include <algorithm>

namespace plumspoke::control
{

namespace
{

constexpr auto one_hour = seconds(3600);
constexpr double grow_threshold = 1.05;
constexpr double processor_headroom = 1.1;
constexpr double shrink_threshold = 1.6;
constexpr double memory_headroom = 1.3;
constexpr std::size_t min_size_samples = 8;
constexpr double model_weight = 0.85;
constexpr double throttle_relief = 0.8; // part of a task's slowdown that throttling removes

bool permits(const job& candidate, interruption wanted)
{
    return candidate.spec.interruptible >= wanted;
}

} // namespace

void policy::react_to_slowdowns(time_point now, const control_state& state, std::vector<command>& commands)
{
    if (std::holds_alternative<no_reaction>(options_.reaction))
    {
        return;
    }
    for (auto& [worker, measurement] : measurements_)
    {
        react_on_worker(now, state, worker, measurement, commands);
    }
}

void policy::react_on_worker(time_point now,
                             const control_state& state,
                             const std::string& name,
                             worker_measurement& measurement,
                             std::vector<command>& commands)
{
    const auto worker = state.workers.find(name);
    if (worker == state.workers.end() || worker->second.jobs.empty() || measurement.services.empty())
    {
        return;
    }
    const bool immediate = std::holds_alternative<evict_immediately>(options_.reaction);
    double measured = -options_.max_slack;
    for (const auto& [service, factor] : measurement.smoothed_factor)
    {
        const double scale = immediate ? 1 : slack_scale(service, measurement.services.at(service).load);
        measured = std::max(measured, factor * scale - 1);
    }
    // A single measurement is noisy and late. The model combines many and takes in the tasks that run now.
    const double expected = expected_slowdown(now, state, worker->second, measurement);
    const double slowdown = immediate ? measured : model_weight * expected + (1 - model_weight) * measured;
    if (!immediate && measurement.acted && measurement.measured_at <= measurement.acted_at)
    {
        counters_.held_for_report += slowdown > options_.breach_threshold ? 1U : 0U;
        return;
    }
    if (slowdown > options_.breach_threshold)
    {
        reduce_interference(now, state, worker->second, measurement, slowdown, commands);
    }
    else if (slowdown < options_.recovery_threshold)
    {
        lift_throttles(now, state, worker->second, measurement, slowdown, commands);
    }
}

const job* policy::most_disruptive_job(time_point now,
                                       const control_state& state,
                                       const worker_record& worker,
                                       const worker_measurement& measurement,
                                       task_order current_order) const
{
    const job* worst = nullptr;
    double worst_contribution = 0;
    for (const std::string& id : worker.jobs)
    {
        const job& candidate = state.jobs.at(id);
        const interruption wanted =
            current_order == task_order::run ? interruption::throttle : interruption::checkpoint;
        if (candidate.live->order != current_order || !candidate.live->started ||
            !permits(candidate, wanted) || jobs_with_command_.contains(id))
        {
            continue;
        }
        double contribution = slowdown_contribution(now, worker, measurement, candidate);
        contribution *= candidate.spec.urgency == priority::urgent ? 0.5 : 1; // urgent jobs last
        if (worst == nullptr || contribution > worst_contribution)
        {
            worst = &candidate;
            worst_contribution = contribution;
        }
    }
    return worst;
}

bool policy::consume_eviction_budget(time_point now)
{
    std::erase_if(recent_evictions_,
                  [now](time_point at)
                  {
                      return at + one_hour < now;
                  });
    const bool limited = !std::holds_alternative<evict_immediately>(options_.reaction);
    if (limited && static_cast<std::int64_t>(recent_evictions_.size()) >= options_.evictions_per_hour)
    {
        ++counters_.eviction_bound_reached;
        return false;
    }
    recent_evictions_.push_back(now);
    ++counters_.evicted;
    return true;
}

void policy::reduce_interference(time_point now,
                                 const control_state& state,
                                 const worker_record& worker,
                                 worker_measurement& measurement,
                                 double slowdown,
                                 std::vector<command>& commands)
{
    const std::string reason = "services on " + worker.name + " are " +
                               std::to_string(static_cast<std::int64_t>(slowdown * 100)) +
                               " percent slower than undisturbed";
    if (std::holds_alternative<evict_immediately>(options_.reaction))
    {
        const job* worst = most_disruptive_job(now, state, worker, measurement, task_order::run);
        if (worst != nullptr && permits(*worst, interruption::checkpoint) && consume_eviction_budget(now))
        {
            issue_order(now, *worst, task_order::checkpoint, reason, measurement, commands);
        }
        return;
    }
    // Throttles as many tasks at once as are expected to bring the services back within the budget, because
    // the next measurement arrives late. Checkpoints one task only if nothing is left to throttle.
    double remaining = slowdown;
    bool throttled = false;
    while (remaining > options_.slowdown_budget)
    {
        const job* worst = most_disruptive_job(now, state, worker, measurement, task_order::run);
        if (worst == nullptr)
        {
            break;
        }
        remaining -= slowdown_contribution(now, worker, measurement, *worst) * throttle_relief;
        throttled = true;
        ++counters_.throttled;
        issue_order(now, *worst, task_order::throttle, reason, measurement, commands);
    }
    if (throttled || remaining <= options_.breach_threshold)
    {
        return;
    }
    const job* worst = most_disruptive_job(now, state, worker, measurement, task_order::throttle);
    if (worst != nullptr && consume_eviction_budget(now))
    {
        issue_order(now, *worst, task_order::checkpoint, reason, measurement, commands);
    }
}

void policy::issue_order(time_point now,
                         const job& ordered,
                         task_order new_order,
                         const std::string& reason,
                         worker_measurement& measurement,
                         std::vector<command>& commands)
{
    jobs_with_command_.insert(ordered.spec.id);
    measurement.acted = true;
    measurement.acted_at = now;
    commands.emplace_back(order_task{ordered.spec.id, ordered.live->token, new_order, reason});
}

double policy::slowdown_contribution(time_point now,
                                     const worker_record& worker,
                                     const worker_measurement& measurement,
                                     const job& candidate) const
{
    double contribution = 0;
    for (const auto& [name, report] : measurement.services)
    {
        contribution = std::max(contribution,
                                predicted_slowdown(now, name, candidate.spec.work_class, report.load) *
                                    slack_scale(name, report.load));
    }
    return contribution * static_cast<double>(candidate.live->reserved.millicores) /
           static_cast<double>(std::max<std::int64_t>(1, worker.capacity.millicores));
}

void policy::lift_throttles(time_point now,
                            const control_state& state,
                            const worker_record& worker,
                            worker_measurement& measurement,
                            double slowdown,
                            std::vector<command>& commands)
{
    // Resumes the tasks with the smallest contribution first, as long as the services are expected to stay
    // within the budget.
    double remaining = slowdown;
    while (true)
    {
        const job* least = nullptr;
        double smallest_contribution = 0;
        for (const std::string& id : worker.jobs)
        {
            const job& candidate = state.jobs.at(id);
            if (candidate.live->order != task_order::throttle || jobs_with_command_.contains(id))
            {
                continue;
            }
            const double contribution =
                slowdown_contribution(now, worker, measurement, candidate) * throttle_relief;
            if (least == nullptr || contribution < smallest_contribution)
            {
                least = &candidate;
                smallest_contribution = contribution;
            }
        }
        if (least == nullptr || remaining + smallest_contribution > options_.slowdown_budget)
        {
            return;
        }
        remaining += smallest_contribution;
        ++counters_.unthrottled;
        issue_order(now, *least, task_order::run, "services have recovered", measurement, commands);
    }
}

void policy::resize_reservations(const control_state& state, std::vector<command>& commands)
{
    for (auto& [name, measurement] : measurements_)
    {
        const auto worker = state.workers.find(name);
        if (worker == state.workers.end())
        {
            continue;
        }
        std::map<std::uint64_t, resources> still_live;
        for (const std::string& id : worker->second.jobs)
        {
            const job& candidate = state.jobs.at(id);
            const auto seen = measurement.peak_use.find(candidate.live->token);
            if (seen == measurement.peak_use.end())
            {
                continue;
            }
            still_live.insert(*seen);
            const auto reserved = static_cast<double>(candidate.live->reserved.millicores);
            const auto used = static_cast<double>(seen->second.millicores);
            const auto used_memory = static_cast<double>(seen->second.memory_mb);
            resources wanted = candidate.live->reserved;
            if (used > reserved * grow_threshold)
            {
                wanted.millicores = static_cast<std::int64_t>(used * processor_headroom);
            }
            else if (used * shrink_threshold < reserved &&
                     sizes_.samples(candidate.spec.work_class) >= min_size_samples)
            {
                wanted.millicores = std::max<std::int64_t>(1, sizes_.estimate(candidate.spec).millicores);
                wanted.millicores =
                    std::max(wanted.millicores, static_cast<std::int64_t>(used * processor_headroom));
            }
            if (used_memory > static_cast<double>(candidate.live->reserved.memory_mb))
            {
                wanted.memory_mb = static_cast<std::int64_t>(used_memory * memory_headroom);
            }
            const resources grown = wanted - candidate.live->reserved;
            if (wanted == candidate.live->reserved || !grown.fits(free_capacity_of(state, worker->second)) ||
                jobs_with_command_.contains(id))
            {
                continue;
            }
            jobs_with_command_.insert(id);
            ++counters_.resized;
            commands.emplace_back(resize_task{id, candidate.live->token, wanted});
        }
        measurement.peak_use = std::move(still_live);
    }
}

} // namespace plumspoke::control
