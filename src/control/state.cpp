#include "plumspoke/control/state.hpp"

#include "plumspoke/error/invariant.hpp"
#include "state_internal.hpp"

namespace plumspoke::control
{

command_answer apply(control_state& state, std::uint64_t index, const command& value)
{
    const std::uint64_t version_before = state.config.version;
    command_answer answer = std::visit(
        [&state, index](const auto& body)
        {
            return detail::apply_command(state, index, body);
        },
        value);
    error::check_invariant(error::invariant::configuration_never_reverts,
                           state.config.version >= version_before,
                           "control::apply");
    answer.version = state.config.version;
    return answer;
}

void rebuild_derived(control_state& state)
{
    state.pending.clear();
    state.open_claims.clear();
    for (const auto& [name, record] : state.claims)
    {
        if (record.state == claim_state::in_progress)
        {
            state.open_claims.insert(name);
        }
    }
    state.team_usage.clear();
    state.service_reserve = reserve_by_worker(state.config);
    for (const auto& [id, record] : state.jobs)
    {
        if (record.phase == job_phase::pending || record.phase == job_phase::cannot_run)
        {
            state.pending.insert(id);
        }
        if (record.live.has_value())
        {
            state.team_usage[record.spec.team] += record.live->reserved;
        }
    }
}

std::map<std::string, resources> reserve_by_worker(const configuration& config)
{
    std::map<std::string, resources> reserve;
    for (const auto& [name, service] : config.services)
    {
        for (const endpoint_config& endpoint : service.endpoints)
        {
            reserve[endpoint.worker] += service.reserve;
        }
    }
    return reserve;
}

resources task_capacity_of(const control_state& state, const worker_record& worker)
{
    const auto reserve = state.service_reserve.find(worker.name);
    return reserve == state.service_reserve.end() ? worker.capacity : worker.capacity - reserve->second;
}

resources free_capacity_of(const control_state& state, const worker_record& worker)
{
    return task_capacity_of(state, worker) - worker.used;
}

std::string infeasibility_reason(const control_state& state, const job_spec& spec)
{
    const auto team = state.config.teams.find(spec.team);
    if (team == state.config.teams.end())
    {
        return "team " + spec.team + " is not configured";
    }
    if (!spec.declared.fits(team->second.quota))
    {
        return "it needs more than the quota of team " + spec.team;
    }
    if (state.workers.empty())
    {
        return {}; // whether it fits is unknown until a worker has registered
    }
    for (const auto& [name, worker] : state.workers)
    {
        if (!worker.removed && spec.declared.fits(task_capacity_of(state, worker)))
        {
            return {};
        }
    }
    return "no worker has " + std::to_string(spec.declared.millicores) + " millicores, " +
           std::to_string(spec.declared.memory_mb) + " MB and " + std::to_string(spec.declared.accelerators) +
           " accelerators for tasks";
}

command_answer refuse(int error, const std::string& where)
{
    command_answer answer;
    answer.error = error;
    answer.message = where + ": " + category().message(error);
    return answer;
}

namespace detail
{

command_answer refuse(errc error, const std::string& where)
{
    return control::refuse(static_cast<int>(error), where);
}

} // namespace detail

} // namespace plumspoke::control
