#pragma once

/// @file
/// @brief Settings of one process: parsed from JSON and validated completely before anything starts.

#include "plumspoke/settings/checker.hpp"

#include <span>
#include <string>
#include <vector>

namespace plumspoke::settings
{

/// @brief Role of a daemon.
enum class process_role : std::uint8_t
{
    entry,
    control,
};

/// @brief Name and addresses of a control VM.
struct control_peer
{
    std::string name;
    std::string grpc; // host:port
    std::string http; // host:port

    bool operator==(const control_peer&) const = default;
};

/// @brief All settings of a process.
struct process_settings
{
    process_role role = process_role::entry;
    std::string name;
    std::string availability_zone;
    std::string http;     // address for operators, workers or callers
    std::string grpc;     // address for plumspoke's own processes; control only
    std::string platform; // address of the platform's VM list; empty: not polled
    std::string data_folder;
    std::vector<control_peer> control;
    bool verbose = false;

    // ---- limits
    std::int64_t http_threads = 0;
    std::int64_t max_header_bytes = 0;
    std::int64_t max_body_bytes = 0;
    std::int64_t max_answer_bytes = 0;
    std::int64_t request_read_ms = 0;
    std::int64_t keep_alive_ms = 0;
    std::int64_t endpoint_idle_ms = 0;
    std::int64_t connect_ms = 0;
    std::int64_t drain_ms = 0;

    // ---- timing
    std::int64_t election_timeout_ms = 0;
    std::int64_t heartbeat_ms = 0;
    std::int64_t entry_lease_ms = 0;
    std::int64_t entry_report_ms = 0;
    std::int64_t worker_lease_ms = 0;
    std::int64_t worker_report_ms = 0;
    std::int64_t drift_margin_ms = 0;
    std::int64_t platform_poll_ms = 0;
    std::int64_t scheduler_tick_ms = 0;
    std::int64_t snapshot_interval = 0;

    // ---- guards and retries
    std::int64_t guard_failures = 0;
    std::int64_t guard_open_ms = 0;
    std::int64_t guard_max_share_percent = 0;
    std::int64_t retry_percent = 0;
    std::int64_t retry_reserve = 0;
    std::int64_t max_attempts = 0;
};

/// @brief An integer setting: its key, unit, default value, range and meaning.
struct integer_key
{
    const char* section;
    const char* key;
    const char* unit;
    std::int64_t process_settings::*member;
    std::int64_t default_value;
    range allowed;
    const char* meaning;
};

/// @brief All integer settings in the order of docs/SETTINGS.md.
[[nodiscard]] std::span<const integer_key> integer_keys() noexcept;

/// @brief Parses and validates a document.
/// @param faults receives one entry for each fault; the settings are valid only if it stays empty
[[nodiscard]] process_settings parse_process_settings(const nlohmann::json& document,
                                                      std::vector<fault>& faults);

/// @brief Parses and validates a file.
[[nodiscard]] process_settings load_process_settings(const std::string& path, std::vector<fault>& faults);

/// @brief Returns the table in docs/SETTINGS.md as Markdown.
[[nodiscard]] std::string describe_settings();

/// @brief Whether a string has the form IP:PORT, such as `127.0.0.1:7101`. Only the port is validated.
[[nodiscard]] bool is_address(const std::string& text);

} // namespace plumspoke::settings
