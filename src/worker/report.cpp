#include "plumspoke/worker/report.hpp"

namespace plumspoke::worker
{

namespace
{

constexpr std::int64_t max_millicores = 10'000'000;
constexpr std::int64_t max_memory_mb = 100'000'000;
constexpr std::int64_t max_accelerators = 1024;

control::resources
parse_resources(const nlohmann::json& value, const std::string& path, std::vector<settings::fault>& faults)
{
    control::resources result;
    if (value.is_null())
    {
        return result;
    }
    settings::object_reader reader(value, path, faults);
    result.millicores = reader.optional_integer("millicores", 0, {0, max_millicores});
    result.memory_mb = reader.optional_integer("memory_mb", 0, {0, max_memory_mb});
    result.accelerators = reader.optional_integer("accelerators", 0, {0, max_accelerators});
    reader.finish();
    return result;
}

task_report
parse_task(const nlohmann::json& value, const std::string& path, std::vector<settings::fault>& faults)
{
    settings::object_reader reader(value, path, faults);
    task_report task;
    task.job = reader.required_string("job");
    task.token = static_cast<std::uint64_t>(reader.required_integer("token", {1}));
    task.state = static_cast<task_state>(
        reader.optional_choice("state", {"running", "throttled", "finished", "failed", "stopped"}, 0));
    task.checkpoint = reader.optional_string("checkpoint", "");
    task.result = reader.optional_string("result", "");
    task.reason = reader.optional_string("reason", "");
    task.used = parse_resources(reader.optional_value("used"), reader.path_of("used"), faults);
    reader.finish();
    return task;
}

service_report
parse_service(const nlohmann::json& value, const std::string& path, std::vector<settings::fault>& faults)
{
    settings::object_reader reader(value, path, faults);
    service_report service;
    service.service = reader.required_string("service");
    service.measured_ago_ms = reader.optional_integer("measured_ago_ms", 0, {0, 3'600'000});
    service.load = reader.optional_number("load", 0, 0, 1000);
    service.p99_ms = reader.optional_number("p99_ms", 0, 0, 3'600'000);
    reader.finish();
    return service;
}

} // namespace

report parse_report(const nlohmann::json& document, std::vector<settings::fault>& faults)
{
    settings::object_reader reader(document, "", faults);
    report result;
    result.worker = reader.required_string("worker");
    result.incarnation = reader.required_string("incarnation");
    result.sequence = static_cast<std::uint64_t>(reader.required_integer("sequence", {1}));
    result.availability_zone = reader.optional_string("availability_zone", "");
    result.rack = reader.optional_string("rack", "");
    result.capacity = parse_resources(reader.optional_value("capacity"), "/capacity", faults);
    const nlohmann::json& tasks = reader.optional_array("tasks");
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        result.tasks.push_back(parse_task(tasks[i], "/tasks/" + std::to_string(i), faults));
    }
    const nlohmann::json& services = reader.optional_array("services");
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        result.services.push_back(parse_service(services[i], "/services/" + std::to_string(i), faults));
    }
    reader.finish();
    return result;
}

} // namespace plumspoke::worker
