#include "plumspoke/control/policy.hpp"

#include <algorithm>

namespace plumspoke::control
{

namespace
{

constexpr double throttled_share = 0.2; // remaining part of a task's slowdown while it is throttled
constexpr double smoothing = 0.4;       // weight of a new measurement; a p99 over a short time is noisy

std::uint64_t to_unsigned(double value)
{
    return static_cast<std::uint64_t>(std::max(0.0, value));
}

} // namespace

policy::policy(policy_options options, std::uint64_t seed) : options_(options), random_state_(seed)
{
}

void policy::reset()
{
    sizes_ = {};
    interference_ = interference_model();
    measurements_.clear();
    waiting_since_.clear();
    set_aside_since_.clear();
    trial_counts_.clear();
    recent_evictions_.clear();
}

std::vector<class_share> policy::class_shares_on(const control_state& state,
                                                 const worker_record& worker) const
{
    std::vector<class_share> shares;
    const auto capacity = static_cast<double>(std::max<std::int64_t>(1, worker.capacity.millicores));
    for (const std::string& id : worker.jobs)
    {
        const job& owner = state.jobs.at(id);
        if (!owner.live->started)
        {
            continue;
        }
        const double part = owner.live->order == task_order::throttle ? throttled_share : 1;
        const double share = part * static_cast<double>(owner.live->reserved.millicores) / capacity;
        const auto known = std::find_if(shares.begin(),
                                        shares.end(),
                                        [&owner](const class_share& other)
                                        {
                                            return other.work_class == owner.spec.work_class;
                                        });
        if (known != shares.end())
        {
            known->share += share;
        }
        else
        {
            shares.push_back({owner.spec.work_class, share});
        }
    }
    return shares;
}

void policy::observe(time_point now, const control_state& state, const worker::report& received)
{
    const auto worker = state.workers.find(received.worker);
    if (worker == state.workers.end())
    {
        return;
    }
    worker_measurement& measurement = measurements_[received.worker];
    for (const worker::task_report& task : received.tasks)
    {
        const auto owner = state.jobs.find(task.job);
        if (owner == state.jobs.end() || task.ended() || task.used == resources{})
        {
            continue;
        }
        if (task.state == worker::task_state::running)
        {
            sizes_.observe(owner->second.spec.work_class, task.used);
        }
        resources& peak = measurement.peak_use[task.token];
        peak.millicores = std::max(peak.millicores, task.used.millicores);
        peak.memory_mb = std::max(peak.memory_mb, task.used.memory_mb);
    }
    const std::vector<class_share> colocated = class_shares_on(state, worker->second);
    for (const worker::service_report& service : received.services)
    {
        const time_point measured_at = now - milliseconds(service.measured_ago_ms);
        if (service.p99_ms <= 0 || measured_at <= measurement.measured_at)
        {
            continue; // already taken in
        }
        // A measurement from before the latest action doesn't reflect the tasks that run there now.
        const bool after_action = !measurement.acted || measured_at > measurement.acted_at;
        if (after_action)
        {
            interference_.observe(now, {service.service, service.load, service.p99_ms, colocated});
        }
        const double baseline = interference_.baseline_p99_ms(service.service, service.load);
        double& smoothed = measurement.smoothed_factor[service.service];
        const double factor = baseline > 0 ? service.p99_ms / baseline : 1;
        smoothed = smoothed == 0 ? factor : smoothed + smoothing * (factor - smoothed);
        measurement.services[service.service] = service;
        measurement.measured_at = measured_at;
    }
}

std::vector<command> policy::decide(time_point now,
                                    const control_state& state,
                                    const std::function<bool(const std::string&)>& usable)
{
    std::vector<command> commands;
    jobs_with_command_.clear();
    planned_slowdown_.clear();
    if (options_.learn_sizes)
    {
        resize_reservations(state, commands);
    }
    react_to_slowdowns(now, state, commands);
    start_trials(now, state, commands);
    if (!state.pending.empty())
    {
        index_.rebuild(state, usable);
        place_pending(now, state, commands);
    }
    return commands;
}

void policy::start_trials(time_point now, const control_state& state, std::vector<command>& commands)
{
    std::size_t on_trial = 0;
    for (const auto& [name, worker] : state.workers)
    {
        if (!worker.set_aside)
        {
            on_trial += worker.on_trial ? 1 : 0;
            if (worker.failed_jobs.empty())
            {
                set_aside_since_.erase(name);
                trial_counts_.erase(name); // a task has succeeded there since
            }
            continue;
        }
        set_aside_since_.emplace(name, now);
    }
    for (auto& [name, since] : set_aside_since_)
    {
        const auto worker = state.workers.find(name);
        if (worker == state.workers.end() || !worker->second.set_aside ||
            on_trial >= options_.max_concurrent_trials)
        {
            continue;
        }
        constexpr int max_doublings = 6;
        const int doublings = std::min(trial_counts_[name], max_doublings);
        if (now < since + options_.trial_delay * (1 << doublings))
        {
            continue;
        }
        ++trial_counts_[name];
        ++on_trial;
        ++counters_.trials;
        since = now;
        commands.emplace_back(set_worker_aside{name, false});
    }
}

std::vector<std::string>
policy::explain(time_point now, const control_state& state, const std::string& id) const
{
    std::vector<std::string> lines;
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end())
    {
        return lines;
    }
    const job& asked = found->second;
    lines.push_back("It is " + nlohmann::json(asked.phase).get<std::string>() + ": " + asked.reason + ".");
    const resources needed = options_.learn_sizes ? sizes_.estimate(asked.spec) : asked.spec.declared;
    lines.push_back("It declared " + std::to_string(asked.spec.declared.millicores) + " millicores and " +
                    std::to_string(asked.spec.declared.memory_mb) + " MB; by " +
                    std::to_string(sizes_.samples(asked.spec.work_class)) + " reports of its class " +
                    asked.spec.work_class + ", " + std::to_string(needed.millicores) + " and " +
                    std::to_string(needed.memory_mb) + " are reserved.");
    if (const auto since = waiting_since_.find(id); since != waiting_since_.end() && !asked.live.has_value())
    {
        const auto waited_s = std::chrono::duration_cast<seconds>(now - since->second).count();
        lines.push_back("It has waited for " + std::to_string(waited_s) + " s.");
    }
    for (const auto& [name, worker] : state.workers)
    {
        constexpr std::size_t max_lines = 12;
        if (lines.size() >= max_lines)
        {
            break;
        }
        std::string why;
        if (worker.set_aside)
        {
            why = "is set aside, because what starts there fails";
        }
        else if (!needed.fits(free_capacity_of(state, worker)))
        {
            why = "has " + std::to_string(free_capacity_of(state, worker).millicores) + " millicores and " +
                  std::to_string(free_capacity_of(state, worker).memory_mb) + " MB left";
        }
        else if (std::find(asked.failed_on.begin(), asked.failed_on.end(), name) != asked.failed_on.end())
        {
            why = "has room, but it failed there before";
        }
        else if (const auto measurement = measurements_.find(name); measurement != measurements_.end())
        {
            const double slowdown = expected_slowdown(now, state, worker, measurement->second);
            why = "has room; its services are expected to be " + std::to_string(to_unsigned(slowdown * 100)) +
                  " percent slower than undisturbed";
        }
        else
        {
            why = "has room";
        }
        const bool here = asked.live.has_value() && asked.live->worker == name;
        lines.push_back("Worker " + name + (here ? ", where it is, " : " ") + why + ".");
    }
    return lines;
}

} // namespace plumspoke::control
