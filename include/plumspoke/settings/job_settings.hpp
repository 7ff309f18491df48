#pragma once

/// @file
/// @brief Settings of a daemon that serves jobs made of steps: parsed from JSON and validated.

#include "plumspoke/settings/policy_switches.hpp"
#include "plumspoke/settings/process_settings.hpp"
#include "plumspoke/settings/thread_budget.hpp"

#include <set>
#include <string>
#include <vector>

namespace plumspoke::settings
{

/// @brief Protocols used with callers, operators and workers.
enum class interface_kind : std::uint8_t
{
    own,      // plumspoke's own protocols; see process_settings
    platform, // the users' platform; see the platform folder
};

/// @brief All settings of a daemon with the platform interface.
struct job_settings
{
    process_role role = process_role::entry;
    std::string name;
    std::string availability_zone;
    std::set<std::string> availability_zones; // of the whole system; empty: not known
    std::string listen;    // for callers (entry) or operators and workers (control): IP:PORT
    std::string readiness; // entry only: address of the load balancer's readiness check
    std::string internal;  // for plumspoke's own processes: IP:PORT
    std::string metrics;   // IP:PORT; empty: disabled
    std::string data_folder;
    std::vector<std::string> control; // internal addresses of some control VMs, used to join
    bool found_group = false;         // true only at the first start of the whole system
    std::int64_t disks_lost_at_once = 0;
    vm_limits vm;

    std::int64_t http_threads = 0;
    std::int64_t max_header_bytes = 0;
    std::int64_t max_body_bytes = 0;
    std::int64_t request_read_ms = 0;
    std::int64_t keep_alive_ms = 0;
    std::int64_t election_timeout_ms = 0;
    std::int64_t heartbeat_ms = 0;
    std::int64_t drift_margin_ms = 0;
    std::int64_t snapshot_interval = 0;
    std::int64_t worker_lease_ms = 0;
    std::int64_t keep_ended_ms = 0;
    std::int64_t stop_ms = 0;
    policy_switches policy;
};

/// @brief The interface that a document selects.
[[nodiscard]] interface_kind read_interface(const nlohmann::json& document);

/// @brief Parses and validates a document.
/// @param faults receives one entry for each fault; the settings are valid only if it stays empty
[[nodiscard]] job_settings parse_job_settings(const nlohmann::json& document, std::vector<fault>& faults);

} // namespace plumspoke::settings
