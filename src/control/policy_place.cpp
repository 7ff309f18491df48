// Placement: the order of waiting jobs and the choice of a worker.

#include "plumspoke/control/policy.hpp"

#include <algorithm>

namespace plumspoke::control
{

namespace
{

// Slowdowns are relative to a p99; the weights are so small that fit and spread only break ties.
constexpr double fit_weight = 0.02;
constexpr double spread_weight = 0.01;
constexpr double avoidance_penalty = 1000; // above any slowdown, so avoided workers are chosen last
constexpr double deferral_factor = 1.0;    // of the slowdown budget; deferrable jobs wait above it

std::uint64_t next_random(std::uint64_t& state) noexcept
{
    state ^= state << 13U; // xorshift64: Marsaglia, 2003
    state ^= state >> 7U;
    state ^= state << 17U;
    return state;
}

bool has_failed_on(const job& waiting, const worker_record& worker)
{
    return std::find(waiting.failed_on.begin(), waiting.failed_on.end(), worker.name) !=
           waiting.failed_on.end();
}

/// @brief Whether this job and a job on the worker both have a worker's crash in their evidence.
bool shares_worker_with_suspect(const control_state& state, const job& waiting, const worker_record& worker)
{
    return waiting.evidence.crashes > 0 && std::any_of(worker.jobs.begin(),
                                                       worker.jobs.end(),
                                                       [&state](const std::string& id)
                                                       {
                                                           return state.jobs.at(id).evidence.crashes > 0;
                                                       });
}

double share_of(const resources& needed, const worker_record& worker)
{
    return static_cast<double>(needed.millicores) /
           static_cast<double>(std::max<std::int64_t>(1, worker.capacity.millicores));
}

} // namespace

std::vector<policy::ranked_job> policy::rank_pending(time_point now, const control_state& state)
{
    std::vector<ranked_job> result;
    result.reserve(std::min(state.pending.size(), options_.max_scanned_jobs));
    for (const std::string& id : state.pending)
    {
        const job& waiting = state.jobs.at(id);
        const time_point since = waiting_since_.try_emplace(id, now).first->second;
        result.push_back({&waiting, now > since + options_.aging_after, now > since + options_.max_deferral});
    }
    if (waiting_since_.size() > 2 * state.pending.size() + options_.max_scanned_jobs)
    {
        std::erase_if(waiting_since_,
                      [&state](const auto& waited)
                      {
                          return !state.pending.contains(waited.first);
                      });
    }
    const auto precedes = [](const ranked_job& left, const ranked_job& right)
    {
        const bool left_urgent = left.waiting->spec.urgency == priority::urgent;
        const bool right_urgent = right.waiting->spec.urgency == priority::urgent;
        if (left_urgent != right_urgent)
        {
            return left_urgent;
        }
        if (left.aged != right.aged)
        {
            return left.aged; // prevents starvation behind later jobs of a higher priority
        }
        if (!left.aged && left.waiting->spec.urgency != right.waiting->spec.urgency)
        {
            return left.waiting->spec.urgency < right.waiting->spec.urgency;
        }
        if (left.waiting->submitted_at != right.waiting->submitted_at)
        {
            return left.waiting->submitted_at < right.waiting->submitted_at;
        }
        return left.waiting->spec.id < right.waiting->spec.id;
    };
    const std::size_t count = std::min(result.size(), options_.max_scanned_jobs);
    std::partial_sort(
        result.begin(), result.begin() + static_cast<std::ptrdiff_t>(count), result.end(), precedes);
    result.resize(count);
    return result;
}

void policy::place_pending(time_point now, const control_state& state, std::vector<command>& commands)
{
    std::map<std::string, resources> team_usage = state.team_usage;
    std::vector<resources> unplaceable; // sizes for which no worker had room in this round
    std::size_t placed = 0;
    for (const ranked_job& next : rank_pending(now, state))
    {
        if (placed >= options_.max_placements)
        {
            break;
        }
        const job& waiting = *next.waiting;
        const std::string infeasible = infeasibility_reason(state, waiting.spec);
        if (infeasible.empty() != (waiting.phase == job_phase::pending))
        {
            commands.emplace_back(judge_job{
                waiting.spec.id, infeasible.empty(), infeasible.empty() ? "waits for a worker" : infeasible});
            continue;
        }
        if (!infeasible.empty())
        {
            continue;
        }
        const resources needed = options_.learn_sizes ? sizes_.estimate(waiting.spec) : waiting.spec.declared;
        resources& held = team_usage[waiting.spec.team];
        if (!(held + needed).fits(state.config.teams.at(waiting.spec.team).quota))
        {
            ++counters_.waits_quota;
            continue;
        }
        const bool no_fit = std::any_of(unplaceable.begin(),
                                        unplaceable.end(),
                                        [&needed](const resources& size)
                                        {
                                            return size.fits(needed);
                                        });
        if (no_fit)
        {
            ++counters_.waits_no_room;
            continue;
        }
        const placement_choice chosen = choose_worker(now, state, waiting, needed);
        if (chosen.candidate == nullptr)
        {
            unplaceable.push_back(needed);
            ++counters_.waits_no_room;
            continue;
        }
        const bool deferrable = waiting.spec.urgency != priority::urgent && !next.deferral_expired &&
                                std::holds_alternative<throttle_first>(options_.reaction);
        if (deferrable && chosen.slowdown > deferral_factor * options_.slowdown_budget)
        {
            ++counters_.waits_harm;
            continue;
        }
        held += needed;
        index_.reserve(*chosen.candidate, needed);
        waiting_since_.erase(waiting.spec.id);
        ++placed;
        ++counters_.placed;
        commands.emplace_back(place_task{waiting.spec.id,
                                         chosen.candidate->worker->name,
                                         chosen.candidate->worker->incarnation,
                                         needed,
                                         chosen.reason});
    }
}

policy::placement_choice
policy::choose_worker(time_point now, const control_state& state, const job& waiting, const resources& needed)
{
    return std::visit(
        [&](const auto& rule)
        {
            return choose_worker_by(rule, now, state, waiting, needed);
        },
        options_.placement);
}

policy::placement_choice policy::choose_worker_by(const first_fit& /*rule*/,
                                                  time_point /*now*/,
                                                  const control_state& /*state*/,
                                                  const job& /*waiting*/,
                                                  const resources& needed)
{
    return {index_.first_with_room(needed), 0, "first that fits"};
}

policy::placement_choice policy::choose_worker_by(const least_loaded& /*rule*/,
                                                  time_point /*now*/,
                                                  const control_state& /*state*/,
                                                  const job& /*waiting*/,
                                                  const resources& needed)
{
    return {index_.most_free(needed), 0, "most processors free"};
}

policy::placement_choice policy::choose_worker_by(const random_of_two& /*rule*/,
                                                  time_point /*now*/,
                                                  const control_state& /*state*/,
                                                  const job& /*waiting*/,
                                                  const resources& needed)
{
    constexpr std::size_t max_tries = 64;
    placement_candidate* best = nullptr;
    std::size_t found_count = 0;
    std::vector<placement_candidate>& all = index_.candidates();
    for (std::size_t i = 0; i < max_tries && found_count < 2 && !all.empty(); ++i)
    {
        placement_candidate& candidate = all[next_random(random_state_) % all.size()];
        if (needed.fits(candidate.free))
        {
            ++found_count;
            best = best == nullptr || candidate.free.millicores > best->free.millicores ? &candidate : best;
        }
    }
    return {best, 0, "emptier of two at random"};
}

double policy::predicted_slowdown(time_point now,
                                  const std::string& service,
                                  const std::string& work_class,
                                  double load) const
{
    const auto* rule = std::get_if<least_interference>(&options_.placement);
    const bool learned = rule == nullptr || rule->per_class;
    return interference_.slowdown(now, service, learned ? work_class : std::string(), load);
}

/// The ratio of a service's baseline p99 at this load to the one at its peak load, bounded by the maximum
/// slack; below 1 the service has slack.
double policy::slack_scale(const std::string& service, double load) const
{
    const double busiest = interference_.peak_load_baseline_ms(service);
    if (busiest <= 0)
    {
        return 1;
    }
    return std::clamp(
        interference_.baseline_p99_ms(service, load) / busiest, 1 / (1 + options_.max_slack), 1.0);
}

double policy::expected_slowdown(time_point now,
                                 const control_state& state,
                                 const worker_record& worker,
                                 const worker_measurement& measurement) const
{
    double worst = -options_.max_slack;
    const std::vector<class_share> colocated = class_shares_on(state, worker);
    for (const auto& [name, report] : measurement.services)
    {
        const auto service = state.config.services.find(name);
        if (service == state.config.services.end() || !service->second.latency_critical)
        {
            continue;
        }
        double sum = 0;
        for (const class_share& share : colocated)
        {
            sum += share.share * predicted_slowdown(now, name, share.work_class, report.load);
        }
        worst = std::max(worst, (1 + sum) * slack_scale(name, report.load) - 1);
    }
    return worst;
}

policy::placement_choice policy::choose_worker_by(const least_interference& /*rule*/,
                                                  time_point now,
                                                  const control_state& state,
                                                  const job& waiting,
                                                  const resources& needed)
{
    placement_choice best;
    double best_score = 0;
    for (placement_candidate* candidate :
         index_.sample(needed, next_random(random_state_), options_.candidates_per_job))
    {
        const worker_record& worker = *candidate->worker;
        const auto measurement = measurements_.find(worker.name);
        double slowdown = 0;
        if (measurement != measurements_.end())
        {
            slowdown = expected_slowdown(now, state, worker, measurement->second);
            if (const auto added = planned_slowdown_.find(worker.name); added != planned_slowdown_.end())
            {
                slowdown += added->second;
            }
            double job_slowdown = 0;
            for (const auto& [name, report] : measurement->second.services)
            {
                job_slowdown =
                    std::max(job_slowdown,
                             share_of(needed, worker) * slack_scale(name, report.load) *
                                 predicted_slowdown(now, name, waiting.spec.work_class, report.load));
            }
            slowdown += job_slowdown;
        }
        const double fit = static_cast<double>(candidate->free.millicores - needed.millicores) /
                           static_cast<double>(std::max<std::int64_t>(1, worker.capacity.millicores));
        const double spread = static_cast<double>(worker.jobs.size());
        const bool avoided =
            has_failed_on(waiting, worker) || shares_worker_with_suspect(state, waiting, worker);
        const double score =
            slowdown + fit_weight * fit + spread_weight * spread + (avoided ? avoidance_penalty : 0);
        if (best.candidate == nullptr || score < best_score)
        {
            best = {candidate, slowdown, ""};
            best_score = score;
        }
    }
    if (best.candidate != nullptr)
    {
        const auto percent = static_cast<std::int64_t>(best.slowdown * 100);
        best.reason = "least harm: services there expected " + std::to_string(percent) + " percent slower";
        planned_slowdown_[best.candidate->worker->name] +=
            share_of(needed, *best.candidate->worker) * options_.slowdown_budget;
    }
    return best;
}

} // namespace plumspoke::control
