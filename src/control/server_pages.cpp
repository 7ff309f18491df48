/// @file
/// @brief The control role's status document and metrics page.

#include "api.hpp"
#include "plumspoke/control/server.hpp"

namespace plumspoke::control
{

nlohmann::json server::replica_status_json() const
{
    const replica::replica_status status = driver_->status();
    nlohmann::json replicas = nlohmann::json::array();
    for (std::size_t i = 0; i < status.members.members.size(); ++i)
    {
        const replica::member& replica_member = status.members.members[i];
        nlohmann::json row = {{"name", replica_member.name},
                              {"id", replica_member.id},
                              {"voter", replica_member.voter},
                              {"leader", replica_member.id == status.leader}};
        if (status.is_leader())
        {
            row["lag"] = status.last_index - std::min(status.last_index, status.match.at(i));
        }
        replicas.push_back(row);
    }
    return {{"name", settings_.name},
            {"leader", status.leader_name},
            {"term", status.term},
            {"commit_index", status.commit_index},
            {"syncs", status.sync_count},
            {"commit_rounds", status.commit_rounds},
            {"members", replicas}};
}

nlohmann::json server::status() const
{
    const time_point now = boot_clock::now();
    nlohmann::json result;
    result["replicas"] = replica_status_json();
    const std::lock_guard lock(mutex_);
    nlohmann::json entries = nlohmann::json::array();
    for (const auto& [key, entry] : slot_allocator_.entries())
    {
        std::int64_t slots = 0;
        for (const auto& [worker, held] : entry.outstanding)
        {
            slots += held;
        }
        entries.push_back({{"entry", entry.entry},
                           {"version", entry.version_in_force},
                           {"serving", slot_allocator_.may_serve(now, entry)},
                           {"slots", slots}});
    }
    result["entries"] = entries;
    state_machine_.read(
        [&](const control_state& state)
        {
            result["version"] = state.config.version;
            result["changed_by"] = state.config.changed_by;
            result["evacuated_zones"] = state.config.evacuated_zones;
            result["in_force"] = slot_allocator_.in_force(now, state.config.version);
            nlohmann::json workers = nlohmann::json::array();
            for (const auto& [name, worker] : state.workers)
            {
                workers.push_back({{"worker", name},
                                   {"availability_zone", worker.availability_zone},
                                   {"capacity", worker.capacity},
                                   {"used", worker.used},
                                   {"tasks", worker.jobs.size()},
                                   {"live", lease_manager_.is_live(now, name)},
                                   {"leaving", leaving_workers_.contains(name)},
                                   {"set_aside", worker.set_aside}});
            }
            result["workers"] = workers;
            std::map<std::string, std::uint64_t> phases;
            nlohmann::json cannot_run = nlohmann::json::array();
            for (const auto& [id, record] : state.jobs)
            {
                ++phases[nlohmann::json(record.phase).get<std::string>()];
                if (record.phase == job_phase::cannot_run)
                {
                    cannot_run.push_back({{"job", id}, {"reason", record.reason}});
                }
            }
            result["jobs"] = phases;
            result["cannot_run"] = cannot_run;
        });
    return result;
}

std::string server::metrics_text() const
{
    std::vector<metrics::counter_line> lines;
    state_machine_.read(
        [&lines](const control_state& state)
        {
            const nlohmann::json counters = state.counters;
            for (const auto& [name, value] : counters.items())
            {
                lines.push_back({"plumspoke_control_" + name + "_total", "", value.get<std::uint64_t>()});
            }
        });
    const auto add =
        [&lines](const char* name, const std::string& labels, const std::atomic<std::uint64_t>& value)
    {
        lines.push_back({name, labels, value.load()});
    };
    {
        const std::lock_guard lock(mutex_);
        const policy_counters& decided = policy_.counters();
        const auto decision = [&lines](const char* reason, std::uint64_t count)
        {
            lines.push_back({"plumspoke_policy_decisions_total", metrics::label("reason", reason), count});
        };
        decision("placed", decided.placed);
        decision("waits_no_room", decided.waits_no_room);
        decision("waits_quota", decided.waits_quota);
        decision("waits_harm", decided.waits_harm);
        decision("throttled", decided.throttled);
        decision("unthrottled", decided.unthrottled);
        decision("evicted", decided.evicted);
        decision("eviction_bound_reached", decided.eviction_bound_reached);
        decision("held_for_report", decided.held_for_report);
        decision("resized", decided.resized);
        decision("trials", decided.trials);
    }
    add("plumspoke_worker_reports_total", "result=\"answered\"", counters_.worker_reports);
    add("plumspoke_worker_reports_total", "result=\"not_leader\"", counters_.worker_reports_refused);
    add("plumspoke_worker_reports_total", "result=\"old\"", counters_.worker_reports_old);
    add("plumspoke_entry_reports_total", "result=\"answered\"", counters_.entry_reports);
    add("plumspoke_entry_reports_total", "result=\"not_leader\"", counters_.entry_reports_refused);
    add("plumspoke_operator_requests_total", "result=\"taken\"", counters_.operator_requests);
    add("plumspoke_operator_requests_total", "result=\"not_leader\"", counters_.operator_not_leader);
    add("plumspoke_operator_requests_total", "result=\"bad_document\"", counters_.operator_bad_document);
    add("plumspoke_operator_requests_total", "result=\"no_answer\"", counters_.operator_no_answer);
    add("plumspoke_operator_requests_total", "result=\"refused\"", counters_.operator_refused);
    add_invariant_lines(lines);
    return metrics::write_counters(lines);
}

} // namespace plumspoke::control
