// Placement: who goes first, and where to.

#include "plumspoke/control/policy.hpp"

#include <algorithm>

namespace plumspoke::control
{

namespace
{

constexpr double fit_weight = 0.02; // harm is measured in factors on a p99; fit and spread only break ties
constexpr double spread_weight = 0.01;
constexpr double avoided_cost = 1000;   // more than any harm: the last choice
constexpr double deferral_factor = 1.0; // times the budget beyond which work waits that may wait

std::uint64_t next_random(std::uint64_t& state) noexcept
{
    state ^= state << 13U; // xorshift64: Marsaglia, 2003
    state ^= state >> 7U;
    state ^= state << 17U;
    return state;
}

bool failed_there(const job& waiting, const worker_record& worker)
{
    return std::find(waiting.failed_on.begin(), waiting.failed_on.end(), worker.name) !=
           waiting.failed_on.end();
}

/// @brief Whether both this job and one on the worker have had workers crash under them.
bool joins_suspect(const control_state& state, const job& waiting, const worker_record& worker)
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

std::vector<policy::rank> policy::ranked(time_point now, const control_state& state)
{
    std::vector<rank> result;
    result.reserve(std::min(state.pending.size(), options_.max_scanned));
    for (const std::string& id : state.pending)
    {
        const job& waiting = state.jobs.at(id);
        const time_point since = waiting_since_.try_emplace(id, now).first->second;
        result.push_back({&waiting, now > since + options_.long_wait, now > since + options_.longest_wait});
    }
    if (waiting_since_.size() > 2 * state.pending.size() + options_.max_scanned)
    {
        std::erase_if(waiting_since_,
                      [&state](const auto& one)
                      {
                          return !state.pending.contains(one.first);
                      });
    }
    const auto before = [](const rank& left, const rank& right)
    {
        const bool left_urgent = left.waiting->spec.urgency == priority::urgent;
        const bool right_urgent = right.waiting->spec.urgency == priority::urgent;
        if (left_urgent != right_urgent)
        {
            return left_urgent;
        }
        if (left.long_wait != right.long_wait)
        {
            return left.long_wait; // so that nothing starves behind younger work of a higher priority
        }
        if (!left.long_wait && left.waiting->spec.urgency != right.waiting->spec.urgency)
        {
            return left.waiting->spec.urgency < right.waiting->spec.urgency;
        }
        if (left.waiting->submitted_at != right.waiting->submitted_at)
        {
            return left.waiting->submitted_at < right.waiting->submitted_at;
        }
        return left.waiting->spec.id < right.waiting->spec.id;
    };
    const std::size_t wanted = std::min(result.size(), options_.max_scanned);
    std::partial_sort(
        result.begin(), result.begin() + static_cast<std::ptrdiff_t>(wanted), result.end(), before);
    result.resize(wanted);
    return result;
}

void policy::place(time_point now, const control_state& state, std::vector<command>& commands)
{
    std::map<std::string, resources> team_use = state.team_use;
    std::vector<resources> no_room; // sizes for which no worker had room in this round
    std::size_t placed = 0;
    for (const rank& next : ranked(now, state))
    {
        if (placed >= options_.max_placements)
        {
            break;
        }
        const job& waiting = *next.waiting;
        const std::string never = why_never(state, waiting.spec);
        if (never.empty() != (waiting.phase == job_phase::pending))
        {
            commands.emplace_back(
                judge_job{waiting.spec.id, never.empty(), never.empty() ? "waits for a worker" : never});
            continue;
        }
        if (!never.empty())
        {
            continue;
        }
        const resources needed = options_.learn_sizes ? sizes_.estimate(waiting.spec) : waiting.spec.declared;
        resources& held = team_use[waiting.spec.team];
        if (!(held + needed).fits(state.config.teams.at(waiting.spec.team).quota))
        {
            ++counters_.waits_quota;
            continue;
        }
        const bool hopeless = std::any_of(no_room.begin(),
                                          no_room.end(),
                                          [&needed](const resources& size)
                                          {
                                              return size.fits(needed);
                                          });
        if (hopeless)
        {
            ++counters_.waits_no_room;
            continue;
        }
        const choice chosen = choose(now, state, waiting, needed);
        if (chosen.where == nullptr)
        {
            no_room.push_back(needed);
            ++counters_.waits_no_room;
            continue;
        }
        const bool may_wait = waiting.spec.urgency != priority::urgent && !next.longest_wait &&
                              std::holds_alternative<throttle_first>(options_.reaction);
        if (may_wait && chosen.harm > deferral_factor * options_.slowdown_budget)
        {
            ++counters_.waits_harm;
            continue;
        }
        held += needed;
        index_.take(*chosen.where, needed);
        waiting_since_.erase(waiting.spec.id);
        ++placed;
        ++counters_.placed;
        commands.emplace_back(place_task{waiting.spec.id,
                                         chosen.where->worker->name,
                                         chosen.where->worker->incarnation,
                                         needed,
                                         chosen.reason});
    }
}

policy::choice
policy::choose(time_point now, const control_state& state, const job& waiting, const resources& needed)
{
    return std::visit(
        [&](const auto& rule)
        {
            return choose_by(rule, now, state, waiting, needed);
        },
        options_.placement);
}

policy::choice policy::choose_by(const first_fit& /*rule*/,
                                 time_point /*now*/,
                                 const control_state& /*state*/,
                                 const job& /*waiting*/,
                                 const resources& needed)
{
    return {index_.first(needed), 0, "first that fits"};
}

policy::choice policy::choose_by(const least_loaded& /*rule*/,
                                 time_point /*now*/,
                                 const control_state& /*state*/,
                                 const job& /*waiting*/,
                                 const resources& needed)
{
    return {index_.emptiest(needed), 0, "most processors free"};
}

policy::choice policy::choose_by(const random_of_two& /*rule*/,
                                 time_point /*now*/,
                                 const control_state& /*state*/,
                                 const job& /*waiting*/,
                                 const resources& needed)
{
    constexpr std::size_t tries = 64;
    placement_candidate* best = nullptr;
    std::size_t seen = 0;
    std::vector<placement_candidate>& all = index_.all();
    for (std::size_t i = 0; i < tries && seen < 2 && !all.empty(); ++i)
    {
        placement_candidate& one = all[next_random(random_state_) % all.size()];
        if (needed.fits(one.free))
        {
            ++seen;
            best = best == nullptr || one.free.millicores > best->free.millicores ? &one : best;
        }
    }
    return {best, 0, "emptier of two at random"};
}

double policy::slowdown_of(time_point now,
                           const std::string& service,
                           const std::string& work_class,
                           double load) const
{
    const auto* rule = std::get_if<least_harm>(&options_.placement);
    const bool learned = rule == nullptr || rule->learned_pairs;
    return interference_.slowdown(now, service, learned ? work_class : std::string(), load);
}

/// How far a service's quiet p99 at this load lies below the one at its busiest: the slack that it has.
double policy::scale_of(const std::string& service, double load) const
{
    const double busiest = interference_.busiest_quiet_ms(service);
    if (busiest <= 0)
    {
        return 1;
    }
    return std::clamp(interference_.quiet_ms(service, load) / busiest, 1 / (1 + options_.most_slack), 1.0);
}

double policy::expected_slowdown(time_point now,
                                 const control_state& state,
                                 const worker_record& worker,
                                 const worker_measure& measure) const
{
    double worst = -options_.most_slack;
    const std::vector<class_share> beside = shares_on(state, worker);
    for (const auto& [name, report] : measure.services)
    {
        const auto service = state.config.services.find(name);
        if (service == state.config.services.end() || !service->second.latency_critical)
        {
            continue;
        }
        double sum = 0;
        for (const class_share& one : beside)
        {
            sum += one.share * slowdown_of(now, name, one.work_class, report.load);
        }
        worst = std::max(worst, (1 + sum) * scale_of(name, report.load) - 1);
    }
    return worst;
}

policy::choice policy::choose_by(const least_harm& /*rule*/,
                                 time_point now,
                                 const control_state& state,
                                 const job& waiting,
                                 const resources& needed)
{
    choice best;
    double best_score = 0;
    for (placement_candidate* candidate :
         index_.sample(needed, next_random(random_state_), options_.candidates))
    {
        const worker_record& worker = *candidate->worker;
        const auto measure = measures_.find(worker.name);
        double harm = 0;
        if (measure != measures_.end())
        {
            harm = expected_slowdown(now, state, worker, measure->second);
            if (const auto added = added_harm_.find(worker.name); added != added_harm_.end())
            {
                harm += added->second;
            }
            double own = 0;
            for (const auto& [name, report] : measure->second.services)
            {
                own = std::max(own,
                               share_of(needed, worker) * scale_of(name, report.load) *
                                   slowdown_of(now, name, waiting.spec.work_class, report.load));
            }
            harm += own;
        }
        const double fit = static_cast<double>(candidate->free.millicores - needed.millicores) /
                           static_cast<double>(std::max<std::int64_t>(1, worker.capacity.millicores));
        const double spread = static_cast<double>(worker.jobs.size());
        const bool avoided = failed_there(waiting, worker) || joins_suspect(state, waiting, worker);
        const double score = harm + fit_weight * fit + spread_weight * spread + (avoided ? avoided_cost : 0);
        if (best.where == nullptr || score < best_score)
        {
            best = {candidate, harm, ""};
            best_score = score;
        }
    }
    if (best.where != nullptr)
    {
        const auto percent = static_cast<std::int64_t>(best.harm * 100);
        best.reason = "least harm: services there expected " + std::to_string(percent) + " percent slower";
        added_harm_[best.where->worker->name] +=
            share_of(needed, *best.where->worker) * options_.slowdown_budget;
    }
    return best;
}

} // namespace plumspoke::control
