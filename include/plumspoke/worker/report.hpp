#pragma once

/// @file
/// @brief Messages between workers and control; docs/WORKERS.md specifies the protocol.

#include "plumspoke/control/model.hpp"
#include "plumspoke/settings/checker.hpp"

namespace plumspoke::worker
{

/// @brief State of a task as reported by its worker.
enum class task_state : std::uint8_t
{
    running,
    throttled,
    finished,
    failed,
    stopped,
};
NLOHMANN_JSON_SERIALIZE_ENUM(task_state,
                             {{task_state::running, "running"},
                              {task_state::throttled, "throttled"},
                              {task_state::finished, "finished"},
                              {task_state::failed, "failed"},
                              {task_state::stopped, "stopped"}})

/// @brief State of one task in a report.
struct task_report
{
    std::string job;
    std::uint64_t token = 0;
    task_state state = task_state::running;
    std::string checkpoint;
    std::string result;
    std::string reason;
    control::resources used; // measured with a delay; 0: not measured

    [[nodiscard]] bool ended() const noexcept
    {
        return state == task_state::finished || state == task_state::failed || state == task_state::stopped;
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    task_report, job, token, state, checkpoint, result, reason, used)

/// @brief Recent load and latency of one service on the worker.
struct service_report
{
    std::string service;
    std::int64_t measured_ago_ms = 0; // age of the measurement
    double load = 0;                  // busy slots as a share of all, 0 to 1
    double p99_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_report, service, measured_ago_ms, load, p99_ms)

/// @brief A worker's report; always lists every task and service that runs there.
struct report
{
    std::string worker;
    std::string incarnation;
    std::uint64_t sequence = 0;
    std::string availability_zone;
    std::string rack;
    control::resources capacity;
    std::vector<task_report> tasks;
    std::vector<service_report> services;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    report, worker, incarnation, sequence, availability_zone, rack, capacity, tasks, services)

/// @brief An instruction to the worker for one grant.
struct order
{
    std::string job;
    std::uint64_t token = 0;
    control::task_order order = control::task_order::run;
    std::string work_class;
    std::string payload;    // set with `run` until the task's start is recorded
    std::string checkpoint; // where to resume from
    control::resources reserved;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    order, job, token, order, work_class, payload, checkpoint, reserved)

/// @brief A grant whose end is recorded; the worker may discard it.
struct settled_task
{
    std::string job;
    std::uint64_t token = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(settled_task, job, token)

/// @brief The answer to a report: renews the lease of all listed grants from the time the report was sent.
struct orders
{
    std::uint64_t sequence = 0;
    std::int64_t lease_ms = 0;
    std::int64_t report_after_ms = 0;
    std::vector<order> tasks;
    std::vector<settled_task> settled;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(orders, sequence, lease_ms, report_after_ms, tasks, settled)

/// @brief Parses a report strictly.
/// @param faults receives one entry for each fault
[[nodiscard]] report parse_report(const nlohmann::json& document, std::vector<settings::fault>& faults);

} // namespace plumspoke::worker
