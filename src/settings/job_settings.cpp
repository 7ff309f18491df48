#include "plumspoke/settings/job_settings.hpp"

#include <algorithm>
#include <array>
#include <optional>

namespace plumspoke::settings
{

namespace
{

constexpr std::int64_t mebibyte = 1024 * 1024;
constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t max_port = 65'535;

/// @brief An integer setting of job_settings.
struct integer_setting
{
    const char* section;
    const char* key;
    std::int64_t job_settings::*member;
    std::int64_t default_value;
    range allowed;
    std::optional<std::int64_t> control_default_value = std::nullopt;
};

constexpr std::array numbers = {
    // If omitted: derived from the VM's resources (thread_budget.hpp).
    integer_setting{"limits", "http_threads", &job_settings::http_threads, 0, {4, 4096}},
    integer_setting{
        "limits", "max_header_bytes", &job_settings::max_header_bytes, 16 * 1024, {1024, mebibyte}},
    // Control, if omitted: derived from the VM's memory and the number of threads (thread_budget.hpp).
    integer_setting{
        "limits", "max_body_bytes", &job_settings::max_body_bytes, 4 * mebibyte, {1024, 64 * mebibyte}, 0},
    integer_setting{"limits", "request_read_ms", &job_settings::request_read_ms, 5000, {100, minute_ms}},
    // Control: a worker that keeps using this control VM calls about every 1.1 s; one that
    // switched to another leaves an idle connection behind.
    integer_setting{
        "limits", "keep_alive_ms", &job_settings::keep_alive_ms, 60'000, {0, 10 * minute_ms}, 3000},
    // Election times; see process_settings.
    integer_setting{
        "timing", "election_timeout_ms", &job_settings::election_timeout_ms, 700, {50, minute_ms}},
    integer_setting{"timing", "heartbeat_ms", &job_settings::heartbeat_ms, 150, {5, minute_ms}},
    integer_setting{"timing", "drift_margin_ms", &job_settings::drift_margin_ms, 100, {1, minute_ms}},
    integer_setting{"timing", "snapshot_interval", &job_settings::snapshot_interval, 3000, {10, 1'000'000}},
    integer_setting{"timing", "worker_lease_ms", &job_settings::worker_lease_ms, 4000, {500, minute_ms}},
    integer_setting{
        "timing", "keep_ended_ms", &job_settings::keep_ended_ms, 150'000, {1000, 100 * minute_ms}},
    integer_setting{"timing", "stop_ms", &job_settings::stop_ms, 4500, {0, 10 * minute_ms}},
};

void read_numbers(object_reader& root, job_settings& result, std::vector<fault>& faults)
{
    static const nlohmann::json empty = nlohmann::json::object();
    for (const char* section : {"limits", "timing"})
    {
        const nlohmann::json& value = root.optional_value(section);
        object_reader reader(value.is_null() ? empty : value, root.path_of(section), faults);
        for (const integer_setting& key : numbers)
        {
            if (std::string_view(key.section) == section)
            {
                const bool control = result.role == process_role::control;
                const std::int64_t default_value =
                    control ? key.control_default_value.value_or(key.default_value) : key.default_value;
                result.*key.member = reader.optional_integer(key.key, default_value, key.allowed);
            }
        }
        reader.finish();
    }
}

/// @brief Replaces the port of an `IP:PORT` address.
std::string with_port(const std::string& address, std::int64_t port)
{
    return address.substr(0, address.rfind(':')) + ":" + std::to_string(port);
}

void check_address(object_reader& reader, const char* key, const std::string& address)
{
    if (!address.empty() && !is_address(address))
    {
        reader.add_fault(key, "must be IP:PORT");
    }
}

void read_seeds(object_reader& reader, std::int64_t internal_port, job_settings& result)
{
    const nlohmann::json& seeds = reader.optional_array("control_seeds");
    for (const nlohmann::json& one : seeds)
    {
        if (!one.is_string() || !is_address(one.get<std::string>()))
        {
            reader.add_fault("control_seeds", "must hold texts such as 10.0.0.1:7000");
            return;
        }
        // All processes use the same internal port, so a seed's internal address follows from its public one.
        result.control.push_back(with_port(one.get<std::string>(), internal_port));
    }
    std::sort(result.control.begin(), result.control.end());
}

void read_availability_zones(object_reader& reader, job_settings& result)
{
    for (const nlohmann::json& one : reader.optional_array("availability_zones"))
    {
        if (!one.is_string() || one.get<std::string>().empty())
        {
            reader.add_fault("availability_zones", "must hold names of availability zones");
            return;
        }
        result.availability_zones.insert(one.get<std::string>());
    }
}

void read_vm(object_reader& root, job_settings& result, std::vector<fault>& faults)
{
    constexpr double max_processors = 1024;
    constexpr std::int64_t max_memory_mb = 16 * mebibyte;
    constexpr std::int64_t max_files = 16 * mebibyte;
    constexpr std::int64_t max_disk_mb = 16 * mebibyte;
    const nlohmann::json& value = root.optional_value("vm");
    if (value.is_null())
    {
        return;
    }
    object_reader reader(value, root.path_of("vm"), faults);
    result.vm.processors = reader.optional_number("processors", 0, 0, max_processors);
    result.vm.memory_mb = reader.optional_integer("memory_mb", 0, {0, max_memory_mb});
    result.vm.open_files = reader.optional_integer("open_files", 0, {0, max_files});
    result.vm.disk_mb = reader.optional_integer("disk_mb", 0, {0, max_disk_mb});
    reader.finish();
}

/// @brief Derives the number of threads from the VM's resources if it isn't configured, and rejects a
///        configured number that exceeds them.
void resolve_http_threads(object_reader& root, job_settings& result)
{
    constexpr std::int64_t min_threads = 4; // one can answer while others wait for silent connections
    const std::int64_t max_threads = max_http_threads(result.vm);
    if (max_threads < min_threads)
    {
        root.add_fault("vm",
                       "leaves room for " + std::to_string(max_threads) + " threads; at least " +
                           std::to_string(min_threads) + " are needed");
        return;
    }
    if (result.http_threads == 0)
    {
        result.http_threads = recommended_http_threads(result.role, result.vm);
        return;
    }
    if (result.http_threads > max_threads)
    {
        root.add_fault("limits/http_threads",
                       "must be " + std::to_string(max_threads) +
                           " at the most with the memory and the descriptors under vm");
    }
}

void read_policy(object_reader& root, job_settings& result)
{
    for (const nlohmann::json& one : root.optional_array("policy_off"))
    {
        const std::optional<mechanism> which =
            one.is_string() ? find_mechanism(one.get<std::string>()) : std::nullopt;
        if (!which.has_value())
        {
            root.add_fault("policy_off", "must hold names of mechanisms, as docs/POLICY.md lists them");
            return;
        }
        result.policy.disable(*which);
    }
}

void check_role(object_reader& reader, const job_settings& result)
{
    if (result.role == process_role::control && result.data_folder.empty())
    {
        reader.add_fault("data_folder", "is missing; the role control needs one");
    }
    if (result.role == process_role::entry && result.readiness.empty())
    {
        reader.add_fault("readiness", "is missing; the role entry needs one");
    }
    if (result.heartbeat_ms * 3 > result.election_timeout_ms)
    {
        reader.add_fault("timing", "heartbeat_ms must be a third of election_timeout_ms at the most");
    }
    if (result.drift_margin_ms * 2 > result.election_timeout_ms)
    {
        reader.add_fault("timing", "drift_margin_ms must be half of election_timeout_ms at the most");
    }
}

} // namespace

interface_kind read_interface(const nlohmann::json& document)
{
    const bool platform = document.is_object() && document.contains("interface") &&
                          document["interface"].is_string() && document["interface"] == "platform";
    return platform ? interface_kind::platform : interface_kind::own;
}

job_settings parse_job_settings(const nlohmann::json& document, std::vector<fault>& faults)
{
    job_settings result;
    object_reader reader(document, "", faults);
    (void)reader.required_string("interface");
    result.role = reader.optional_choice("role", {"entry", "control"}, 0) == 1 ? process_role::control
                                                                               : process_role::entry;
    result.name = reader.required_string("name");
    result.availability_zone = reader.required_string("availability_zone");
    read_availability_zones(reader, result);
    result.listen = reader.required_string("listen");
    result.readiness = reader.optional_string("readiness", "");
    const std::string ip = reader.required_string("ip");
    const std::int64_t internal_port = reader.required_integer("internal_port", {1, max_port});
    result.internal = ip + ":" + std::to_string(internal_port);
    const std::int64_t metrics_port = reader.optional_integer("metrics_port", 0, {0, max_port});
    result.metrics = metrics_port == 0 ? std::string() : ip + ":" + std::to_string(metrics_port);
    result.data_folder = reader.optional_string("data_folder", "");
    result.found_group = reader.optional_bool("found_group", false);
    result.disks_lost_at_once = reader.optional_integer("disks_lost_at_once", 1, {0, 10});
    check_address(reader, "listen", result.listen);
    check_address(reader, "readiness", result.readiness);
    check_address(reader, "ip", result.internal);
    read_seeds(reader, internal_port, result);
    read_numbers(reader, result, faults);
    read_vm(reader, result, faults);
    resolve_http_threads(reader, result);
    if (result.max_body_bytes == 0)
    {
        result.max_body_bytes = recommended_max_body_bytes(result.vm, result.http_threads);
    }
    read_policy(reader, result);
    check_role(reader, result);
    reader.finish();
    return result;
}

} // namespace plumspoke::settings
