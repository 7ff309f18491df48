#include "plumspoke/settings/process_settings.hpp"

#include "plumspoke/settings/document.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace plumspoke::settings
{

namespace
{

using fields = process_settings;

constexpr std::int64_t mebibyte = 1024 * 1024;
constexpr std::int64_t minute_ms = 60'000;

constexpr std::array keys = {
    integer_key{"limits",
                "http_threads",
                "threads",
                &fields::http_threads,
                64,
                {4, 4096},
                "connections that are served at once; each has a thread; with three quarters of them open, "
                "none is kept after its answer"},
    integer_key{"limits",
                "max_header_bytes",
                "bytes",
                &fields::max_header_bytes,
                16 * 1024,
                {1024, mebibyte},
                "largest request head"},
    integer_key{"limits",
                "max_body_bytes",
                "bytes",
                &fields::max_body_bytes,
                mebibyte,
                {0, 64 * mebibyte},
                "largest request body"},
    integer_key{"limits",
                "max_answer_bytes",
                "bytes",
                &fields::max_answer_bytes,
                4 * mebibyte,
                {1024, 64 * mebibyte},
                "largest answer that is taken from an endpoint"},
    integer_key{"limits",
                "request_read_ms",
                "ms",
                &fields::request_read_ms,
                5000,
                {100, minute_ms},
                "time in which a caller must have sent its whole request, from its first byte"},
    integer_key{
        "limits",
        "keep_alive_ms",
        "ms",
        &fields::keep_alive_ms,
        5000,
        {0, 10 * minute_ms},
        "how long an idle caller's connection is kept, as announced to it; closed a second later, and not "
        "during a stop"},
    integer_key{"limits",
                "endpoint_idle_ms",
                "ms",
                &fields::endpoint_idle_ms,
                2000,
                {0, 10 * minute_ms},
                "how long an idle connection to an endpoint is kept"},
    integer_key{"limits",
                "connect_ms",
                "ms",
                &fields::connect_ms,
                250,
                {1, minute_ms},
                "time for a connection to an endpoint"},
    integer_key{"limits",
                "drain_ms",
                "ms",
                &fields::drain_ms,
                30'000,
                {0, 10 * minute_ms},
                "time that a planned stop gives to requests in flight"},
    integer_key{"timing",
                "election_timeout_ms",
                "ms",
                &fields::election_timeout_ms,
                600,
                {50, minute_ms},
                "silence of a leader after which a replica asks for votes"},
    integer_key{"timing",
                "heartbeat_ms",
                "ms",
                &fields::heartbeat_ms,
                150,
                {5, minute_ms},
                "interval of a leader's heartbeats"},
    integer_key{"timing",
                "entry_lease_ms",
                "ms",
                &fields::entry_lease_ms,
                3000,
                {100, minute_ms},
                "how long an entry serves by what it was last told"},
    integer_key{"timing",
                "entry_report_ms",
                "ms",
                &fields::entry_report_ms,
                250,
                {10, minute_ms},
                "interval of an entry's reports to control"},
    integer_key{"timing",
                "worker_lease_ms",
                "ms",
                &fields::worker_lease_ms,
                3000,
                {100, 10 * minute_ms},
                "how long a worker runs its tasks after a report that was answered"},
    integer_key{"timing",
                "worker_report_ms",
                "ms",
                &fields::worker_report_ms,
                300,
                {10, minute_ms},
                "interval that workers are asked to report at"},
    integer_key{"timing",
                "drift_margin_ms",
                "ms",
                &fields::drift_margin_ms,
                300,
                {1, minute_ms},
                "how far two clocks may drift apart over one lease"},
    integer_key{"timing",
                "platform_poll_ms",
                "ms",
                &fields::platform_poll_ms,
                1000,
                {50, minute_ms},
                "interval at which the platform's list is read"},
    integer_key{"timing",
                "scheduler_tick_ms",
                "ms",
                &fields::scheduler_tick_ms,
                100,
                {5, minute_ms},
                "interval of the scheduler's rounds"},
    integer_key{"timing",
                "snapshot_interval",
                "entries",
                &fields::snapshot_interval,
                2000,
                {10, 1'000'000},
                "the most log entries between snapshots, each replica has a number of its own from half of "
                "it up; bounds the time of a restart"},
    integer_key{"guards",
                "guard_failures",
                "failures",
                &fields::guard_failures,
                5,
                {1, 1000},
                "failures in a row that take an endpoint out"},
    integer_key{"guards",
                "guard_open_ms",
                "ms",
                &fields::guard_open_ms,
                1000,
                {10, 10 * minute_ms},
                "how long it stays out at first; doubles up to 32 times this"},
    integer_key{"guards",
                "guard_max_share_percent",
                "percent",
                &fields::guard_max_share_percent,
                50,
                {0, 100},
                "largest share of a service's endpoints that guards may take out"},
    integer_key{"retries",
                "retry_percent",
                "percent",
                &fields::retry_percent,
                8,
                {0, 100},
                "retries allowed for each hundred requests"},
    integer_key{"retries",
                "retry_reserve",
                "retries",
                &fields::retry_reserve,
                20,
                {0, 10'000},
                "retries that may be saved up"},
    integer_key{"retries",
                "max_attempts",
                "attempts",
                &fields::max_attempts,
                3,
                {1, 10},
                "endpoints that one request may be sent to"},
};

control_peer parse_peer(const nlohmann::json& value, const std::string& path, std::vector<fault>& faults)
{
    object_reader reader(value, path, faults);
    control_peer peer;
    peer.name = reader.required_string("name");
    peer.grpc = reader.required_string("grpc");
    peer.http = reader.required_string("http");
    if (!peer.grpc.empty() && !is_address(peer.grpc))
    {
        reader.add_fault("grpc", "must be IP:PORT");
    }
    if (!peer.http.empty() && !is_address(peer.http))
    {
        reader.add_fault("http", "must be IP:PORT");
    }
    reader.finish();
    return peer;
}

void parse_integers(object_reader& root, process_settings& result, std::vector<fault>& faults)
{
    for (const char* section : {"limits", "timing", "guards", "retries"})
    {
        const nlohmann::json& value = root.optional_value(section);
        const nlohmann::json empty = nlohmann::json::object();
        object_reader reader(value.is_null() ? empty : value, root.path_of(section), faults);
        for (const integer_key& key : keys)
        {
            if (std::string_view(key.section) == section)
            {
                result.*key.member = reader.optional_integer(key.key, key.default_value, key.allowed);
            }
        }
        reader.finish();
    }
}

void check_peers(const process_settings& result, std::vector<fault>& faults)
{
    if (result.control.empty())
    {
        faults.push_back({"/control", "must name at least one control VM"});
    }
    for (std::size_t i = 0; i < result.control.size(); ++i)
    {
        for (std::size_t j = 0; j < i; ++j)
        {
            const control_peer& one = result.control[i];
            const control_peer& other = result.control[j];
            if (one.name == other.name || one.grpc == other.grpc || one.http == other.http)
            {
                faults.push_back({"/control/" + std::to_string(i),
                                  "has a name or an address of entry " + std::to_string(j)});
            }
        }
    }
}

void check_role(const process_settings& result, std::vector<fault>& faults)
{
    if (result.role == process_role::entry)
    {
        if (!result.data_folder.empty())
        {
            faults.push_back({"/data_folder", "belongs to the role control; an entry keeps nothing"});
        }
        return;
    }
    if (result.data_folder.empty())
    {
        faults.push_back({"/data_folder", "is missing; the role control needs one"});
    }
    const auto self = std::find_if(result.control.begin(),
                                   result.control.end(),
                                   [&result](const control_peer& peer)
                                   {
                                       return peer.name == result.name;
                                   });
    if (self == result.control.end())
    {
        faults.push_back({"/control", "does not name this process, " + result.name});
        return;
    }
    if (self->http != result.http)
    {
        faults.push_back({"/http", "contradicts this process's entry under /control"});
    }
    if (self->grpc != result.grpc)
    {
        faults.push_back({"/grpc", "contradicts this process's entry under /control"});
    }
}

void check_times(const process_settings& result, std::vector<fault>& faults)
{
    const auto contradicts = [&faults](const char* path, const char* message)
    {
        faults.push_back({path, message});
    };
    if (result.heartbeat_ms * 3 > result.election_timeout_ms)
    {
        contradicts("/timing/heartbeat_ms",
                    "contradicts election_timeout_ms: must be a third of it at the most");
    }
    if (result.entry_report_ms * 3 > result.entry_lease_ms)
    {
        contradicts("/timing/entry_report_ms",
                    "contradicts entry_lease_ms: must be a third of it at the most");
    }
    if (result.worker_report_ms * 3 > result.worker_lease_ms)
    {
        contradicts("/timing/worker_report_ms",
                    "contradicts worker_lease_ms: must be a third of it at the most");
    }
    if (result.drift_margin_ms * 2 > result.election_timeout_ms)
    {
        contradicts("/timing/drift_margin_ms",
                    "contradicts election_timeout_ms: must be half of it at the most");
    }
}

} // namespace

std::span<const integer_key> integer_keys() noexcept
{
    return keys;
}

bool is_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
    {
        return false;
    }
    int port = 0;
    const char* begin = text.data() + colon + 1;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(begin, end, port);
    constexpr int max_port = 65535;
    return parsed.ec == std::errc() && parsed.ptr == end && port > 0 && port <= max_port;
}

process_settings parse_process_settings(const nlohmann::json& document, std::vector<fault>& faults)
{
    process_settings result;
    object_reader reader(document, "", faults);
    result.role = reader.required_string("role") == "control" ? process_role::control : process_role::entry;
    if (document.is_object() && document.contains("role") && document["role"].is_string() &&
        document["role"] != "control" && document["role"] != "entry")
    {
        reader.add_fault("role", "must be one of entry, control");
    }
    result.name = reader.required_string("name");
    result.availability_zone = reader.required_string("availability_zone");
    result.http = reader.required_string("http");
    result.platform = reader.optional_string("platform", "");
    result.data_folder = reader.optional_string("data_folder", "");
    result.verbose = reader.optional_bool("verbose", false);
    if (result.role == process_role::control)
    {
        result.grpc = reader.required_string("grpc");
    }
    for (const auto& [key, address] : {std::pair{"http", result.http},
                                       std::pair{"grpc", result.grpc},
                                       std::pair{"platform", result.platform}})
    {
        if (!address.empty() && !is_address(address))
        {
            reader.add_fault(key, "must be IP:PORT");
        }
    }
    const nlohmann::json& peers = reader.optional_array("control");
    for (std::size_t i = 0; i < peers.size(); ++i)
    {
        result.control.push_back(parse_peer(peers[i], "/control/" + std::to_string(i), faults));
    }
    parse_integers(reader, result, faults);
    reader.finish();
    if (faults.empty())
    {
        check_peers(result, faults);
        check_role(result, faults);
        check_times(result, faults);
    }
    return result;
}

process_settings load_process_settings(const std::string& path, std::vector<fault>& faults)
{
    const nlohmann::json document = read_document(path, faults);
    if (!faults.empty())
    {
        return {};
    }
    return parse_process_settings(document, faults);
}

std::string describe_settings()
{
    std::ostringstream out;
    out << "| key | unit | default | range | meaning |\n|---|---|---|---|---|\n";
    for (const integer_key& key : keys)
    {
        out << "| `" << key.section << "." << key.key << "` | " << key.unit << " | " << key.default_value
            << " | " << key.allowed.lowest << " to " << key.allowed.highest << " | " << key.meaning << " |\n";
    }
    return out.str();
}

} // namespace plumspoke::settings
