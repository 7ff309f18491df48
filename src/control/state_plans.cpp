// Handlers for plans and their confirmation, which produces the next configuration.

#include "state_internal.hpp"

#include <algorithm>

namespace plumspoke::control
{

namespace
{

plan_step make_step(const char* action, std::string subject, std::string reason)
{
    return {action, std::move(subject), std::move(reason)};
}

void plan_services(const control_state& state, const intent_document& document, plan& result)
{
    for (const service_config& service : document.services)
    {
        const auto present = state.config.services.find(service.name);
        if (present == state.config.services.end())
        {
            result.steps.push_back(make_step("add",
                                             "service " + service.name,
                                             std::to_string(service.endpoints.size()) +
                                                 " endpoints, answers within " +
                                                 std::to_string(service.answer_within_ms) + " ms"));
        }
        else if (!(present->second == service))
        {
            result.steps.push_back(
                make_step("change", "service " + service.name, "differs from what is in force"));
        }
    }
    for (const std::string& name : document.remove_services)
    {
        const bool known = state.config.services.contains(name);
        result.refused = result.refused || !known;
        result.steps.push_back(make_step(
            known ? "remove" : "refuse", "service " + name, known ? "as asked" : "is not configured"));
    }
}

void plan_reserve(const control_state& state, const configuration& changed, plan& result)
{
    for (const auto& [worker, reserve] : reserve_by_worker(changed))
    {
        const auto known = state.workers.find(worker);
        if (known == state.workers.end())
        {
            continue;
        }
        const resources needed = reserve + known->second.used;
        if (!needed.fits(known->second.capacity))
        {
            result.refused = true;
            result.steps.push_back(make_step("refuse",
                                             "worker " + worker,
                                             "services and running tasks would need " +
                                                 std::to_string(needed.millicores) + " millicores and " +
                                                 std::to_string(needed.memory_mb) + " MB, it has " +
                                                 std::to_string(known->second.capacity.millicores) + " and " +
                                                 std::to_string(known->second.capacity.memory_mb)));
        }
    }
}

void plan_jobs(const control_state& after, const intent_document& document, plan& result)
{
    for (const job_spec& spec : document.jobs)
    {
        const auto present = after.jobs.find(spec.id);
        if (present != after.jobs.end())
        {
            const bool same = present->second.spec == spec;
            result.refused = result.refused || !same;
            result.steps.push_back(make_step(same ? "keep" : "refuse",
                                             "job " + spec.id,
                                             same ? "is there already" : "a different job has this id"));
            continue;
        }
        const std::string infeasible = infeasibility_reason(after, spec);
        result.refused = result.refused || !infeasible.empty();
        result.steps.push_back(infeasible.empty()
                                   ? make_step("start", "job " + spec.id, "when a worker has room")
                                   : make_step("cannot_run", "job " + spec.id, infeasible));
    }
}

std::set<std::string> known_zones(const control_state& state)
{
    std::set<std::string> zones;
    for (const auto& [name, worker] : state.workers)
    {
        zones.insert(worker.availability_zone);
    }
    for (const auto& [name, service] : state.config.services)
    {
        for (const endpoint_config& endpoint : service.endpoints)
        {
            zones.insert(endpoint.availability_zone);
        }
    }
    zones.erase(""); // of workers and endpoints that name none
    return zones;
}

std::string describe_running_tasks(const control_state& state, const std::string& zone)
{
    std::size_t workers = 0;
    std::size_t tasks = 0;
    for (const auto& [name, worker] : state.workers)
    {
        const bool affected = worker.availability_zone == zone && !worker.removed;
        workers += affected ? 1 : 0;
        tasks += affected ? worker.jobs.size() : 0;
    }
    return std::to_string(workers) + " workers get no new work, " + std::to_string(tasks) + " tasks go on";
}

void plan_evacuations(const control_state& state,
                      const configuration& changed,
                      const intent_document& document,
                      plan& result)
{
    const std::set<std::string> zones = known_zones(state);
    const std::set<std::string>& evacuated = state.config.evacuated_zones;
    for (const std::string& zone : document.evacuate_zones)
    {
        const bool restored = std::find(document.restore_zones.begin(), document.restore_zones.end(), zone) !=
                              document.restore_zones.end();
        const bool known = zones.contains(zone);
        result.refused = result.refused || !known || restored;
        if (!known || restored)
        {
            result.steps.push_back(make_step("refuse",
                                             "zone " + zone,
                                             known ? "is to be evacuated and restored at once"
                                                   : "no worker or endpoint is in this availability zone"));
            continue;
        }
        result.steps.push_back(
            evacuated.contains(zone)
                ? make_step("keep", "zone " + zone, "is evacuated already")
                : make_step("evacuate", "zone " + zone, describe_running_tasks(state, zone)));
    }
    for (const std::string& zone : document.restore_zones)
    {
        result.steps.push_back(evacuated.contains(zone)
                                   ? make_step("restore", "zone " + zone, "gets work again")
                                   : make_step("keep", "zone " + zone, "is not evacuated"));
    }
    const bool none_left = !zones.empty() && std::includes(changed.evacuated_zones.begin(),
                                                           changed.evacuated_zones.end(),
                                                           zones.begin(),
                                                           zones.end());
    if (none_left && !document.evacuate_zones.empty())
    {
        result.steps.push_back(make_step("warn", "all zones", "nothing new starts until one is restored"));
    }
}

bool matches_recorded_request(const control_state& state,
                              const std::string& request,
                              const std::string& digest)
{
    const auto found = state.requests.find(request);
    return found != state.requests.end() && found->second.digest == digest;
}

command_answer record_answer(control_state& state,
                             const std::string& request,
                             const std::string& digest,
                             const command_answer& answer)
{
    if (request.empty())
    {
        return answer;
    }
    state.requests[request] = {digest, answer};
    state.request_order.push_back(request);
    while (state.request_order.size() > max_remembered_requests)
    {
        state.requests.erase(state.request_order.front());
        state.request_order.pop_front();
    }
    return answer;
}

/// The recorded answer to an earlier copy of this request, or a refusal if the identity belongs to a
/// different request.
std::optional<command_answer>
find_recorded_answer(control_state& state, const std::string& request, const std::string& digest)
{
    const auto found = state.requests.find(request);
    if (request.empty() || found == state.requests.end())
    {
        return std::nullopt;
    }
    if (!matches_recorded_request(state, request, digest))
    {
        return detail::refuse(errc::request_mismatch, "request " + request);
    }
    return found->second.answer;
}

command_answer version_conflict_answer(control_state& state, std::uint64_t based_on)
{
    ++state.counters.plan_conflicts;
    command_answer answer =
        detail::refuse(errc::version_conflict,
                       "based on version " + std::to_string(based_on) + ", now " +
                           std::to_string(state.config.version) + " by " + state.config.changed_by);
    answer.detail = {{"version", state.config.version}, {"changed_by", state.config.changed_by}};
    return answer;
}

void trim_plans(control_state& state)
{
    while (state.plans.size() > max_plans)
    {
        state.plans.erase(state.plans.begin());
    }
}

command_answer apply_plan(control_state& state, std::uint64_t index, plan& confirmed)
{
    if (confirmed.phase != plan_phase::open)
    {
        return detail::refuse(errc::plan_not_open, "plan " + std::to_string(confirmed.id));
    }
    if (confirmed.based_on != state.config.version)
    {
        return version_conflict_answer(state, confirmed.based_on);
    }
    // Workers and tasks may have changed since the plan was made.
    const plan now = build_plan(state, confirmed.document);
    if (now.refused)
    {
        command_answer answer = detail::refuse(errc::plan_refused, "plan " + std::to_string(confirmed.id));
        answer.detail = now.steps;
        return answer;
    }
    state.config = apply_intent(state.config, confirmed.document);
    state.config.version += 1;
    state.config.changed_by = confirmed.made_by;
    state.service_reserve = reserve_by_worker(state.config);
    for (const job_spec& spec : confirmed.document.jobs)
    {
        if (!state.jobs.contains(spec.id))
        {
            detail::add_job(state, index, spec);
        }
    }
    confirmed.phase = plan_phase::confirmed;
    ++state.counters.plans_confirmed;
    command_answer answer;
    answer.id = confirmed.id;
    answer.version = state.config.version;
    return answer;
}

} // namespace

configuration apply_intent(const configuration& present, const intent_document& document)
{
    configuration result = present;
    for (const team& changed : document.teams)
    {
        result.teams[changed.name] = changed;
    }
    for (const service_config& service : document.services)
    {
        result.services[service.name] = service;
    }
    for (const std::string& name : document.remove_services)
    {
        result.services.erase(name);
    }
    result.evacuated_zones.insert(document.evacuate_zones.begin(), document.evacuate_zones.end());
    for (const std::string& zone : document.restore_zones)
    {
        result.evacuated_zones.erase(zone);
    }
    return result;
}

plan build_plan(const control_state& state, const intent_document& document)
{
    plan result;
    result.document = document;
    for (const team& changed : document.teams)
    {
        const bool known = state.config.teams.contains(changed.name);
        result.steps.push_back(make_step(known ? "change" : "add", "team " + changed.name, "quota as given"));
    }
    plan_services(state, document, result);
    control_state after;
    after.config = apply_intent(state.config, document);
    after.workers = state.workers;
    after.service_reserve = reserve_by_worker(after.config);
    for (const job_spec& spec : document.jobs)
    {
        if (const auto present = state.jobs.find(spec.id); present != state.jobs.end())
        {
            after.jobs.insert(*present);
        }
    }
    for (const service_config& service : document.services)
    {
        if (!after.config.teams.contains(service.team))
        {
            result.refused = true;
            result.steps.push_back(make_step(
                "refuse", "service " + service.name, "team " + service.team + " is not configured"));
        }
    }
    plan_reserve(state, after.config, result);
    plan_evacuations(state, after.config, document, result);
    plan_jobs(after, document, result);
    return result;
}

namespace detail
{

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const make_plan& value)
{
    const std::string digest = nlohmann::json(value).dump();
    if (std::optional<command_answer> earlier = find_recorded_answer(state, value.request, digest))
    {
        return *earlier;
    }
    if (value.based_on != state.config.version)
    {
        return record_answer(state, value.request, digest, version_conflict_answer(state, value.based_on));
    }
    plan created = build_plan(state, value.document);
    created.id = state.next_plan++;
    created.based_on = value.based_on;
    created.made_by = value.made_by;
    command_answer answer;
    answer.id = created.id;
    answer.detail = {{"id", created.id},
                     {"based_on", created.based_on},
                     {"refused", created.refused},
                     {"steps", created.steps}};
    state.plans[created.id] = std::move(created);
    trim_plans(state);
    return record_answer(state, value.request, digest, answer);
}

command_answer apply_command(control_state& state, std::uint64_t index, const confirm_plan& value)
{
    const std::string digest = nlohmann::json(value).dump();
    if (std::optional<command_answer> earlier = find_recorded_answer(state, value.request, digest))
    {
        return *earlier;
    }
    const auto found = state.plans.find(value.plan);
    if (found == state.plans.end())
    {
        return refuse(errc::unknown_plan, "plan " + std::to_string(value.plan));
    }
    return record_answer(state, value.request, digest, apply_plan(state, index, found->second));
}

command_answer apply_command(control_state& state, std::uint64_t /*index*/, const discard_plan& value)
{
    const std::string digest = nlohmann::json(value).dump();
    if (std::optional<command_answer> earlier = find_recorded_answer(state, value.request, digest))
    {
        return *earlier;
    }
    const auto found = state.plans.find(value.plan);
    if (found == state.plans.end())
    {
        return refuse(errc::unknown_plan, "plan " + std::to_string(value.plan));
    }
    if (found->second.phase != plan_phase::open)
    {
        return refuse(errc::plan_not_open, "plan " + std::to_string(value.plan));
    }
    found->second.phase = plan_phase::discarded;
    command_answer answer;
    answer.id = value.plan;
    return record_answer(state, value.request, digest, answer);
}

} // namespace detail

} // namespace plumspoke::control
