// Compares three request paths, alternating between them within one run: directly to an endpoint, through a
// plain CivetWeb relay without any routing logic, and through an entry. Then measures overload, failing
// endpoints and the memory per connection. docs/CAPACITY.md uses the costs per request and per connection.

#include "free_address.hpp"
#include "group_settings.hpp"
#include "plumspoke/control/server.hpp"
#include "plumspoke/endpoint/connection.hpp"
#include "plumspoke/entry/server.hpp"
#include "plumspoke/http/client.hpp"
#include "plumspoke/logging/logging.hpp"
#include "plumspoke/operator/client.hpp"
#include "processor_time.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <chrono>
#include <civetweb.h>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>
#include <unistd.h>

ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(bool, check, false, "exit with 1 where an aim is missed, and name it");
ABSL_FLAG(std::int64_t, run_ms, 2000, "length of one measurement");
ABSL_FLAG(std::int64_t, turns, 3, "turns; the median counts");

namespace
{

using namespace plumspoke;
using bench::processor_seconds;
using test::free_address;

constexpr std::size_t answer_size = 256;
constexpr std::size_t endpoint_count = 6;

double resident_kb()
{
    std::ifstream in("/proc/self/statm");
    double size = 0;
    double resident = 0;
    in >> size >> resident;
    return resident * 4;
}

/// An endpoint that answers with 256 bytes after `work_ms`, or with status 500 if `fails` is set.
class bench_endpoint
{
  public:
    bench_endpoint()
        : address(free_address()), http_(make_options(address),
                                         [this](const http::request& r)
                                         {
                                             return answer(r);
                                         })
    {
        if (!http_.start())
        {
            std::abort();
        }
    }

    const std::string address;
    std::atomic<std::int64_t> work_ms{0};
    std::atomic<bool> fails{false};

  private:
    static http::server_options make_options(const std::string& address)
    {
        http::server_options options;
        options.address = address;
        options.threads = 40;
        return options;
    }

    http::response answer(const http::request& /*received*/) const
    {
        if (work_ms > 0)
        {
            std::this_thread::sleep_for(milliseconds(work_ms));
        }
        http::response result;
        result.status = fails ? 500 : 200;
        result.body.assign(answer_size, 'x');
        return result;
    }

    http::server http_;
};

/// Forwards a request with CivetWeb's client and no other logic: the upper bound for an entry on this stack.
http::response relay(const std::string& host, int port, const http::request& received)
{
    thread_local mg_connection* upstream = nullptr;
    char error[256];
    for (int tries = 0; tries < 2; ++tries)
    {
        if (upstream == nullptr)
        {
            upstream = mg_connect_client(host.c_str(), port, 0, error, sizeof error);
        }
        http::response result;
        if (upstream != nullptr)
        {
            mg_printf(upstream,
                      "%s %s HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n",
                      received.method.c_str(),
                      received.path.c_str());
            if (mg_get_response(upstream, error, sizeof error, 2000) >= 0)
            {
                const mg_response_info* info = mg_get_response_info(upstream);
                result.status = info->status_code;
                result.body.resize(static_cast<std::size_t>(std::max<long long>(0, info->content_length)));
                if (mg_read(upstream, result.body.data(), result.body.size()) ==
                    static_cast<int>(result.body.size()))
                {
                    return result;
                }
            }
            mg_close_connection(upstream);
            upstream = nullptr;
        }
    }
    http::response failed;
    failed.status = 502;
    return failed;
}

/// Results of one load measurement.
struct load_result
{
    double done_per_second = 0;
    double p50_us = 0;
    double p99_us = 0;
    double refused_p99_us = 0;
    double refused = 0;
    double done = 0;
    double processor_us_per_request = 0;
};

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

/// Runs closed-loop clients, each with one persistent connection.
load_result measure_load(const std::string& address,
                         const std::string& path,
                         int callers,
                         duration pause_when_refused = {})
{
    const auto span = milliseconds(absl::GetFlag(FLAGS_run_ms));
    std::vector<std::vector<double>> answered(static_cast<std::size_t>(callers));
    std::vector<std::vector<double>> refused(static_cast<std::size_t>(callers));
    std::vector<std::thread> threads;
    const double processor_before = processor_seconds();
    const time_point end = boot_clock::now() + span;
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n";
    for (std::size_t i = 0; i < static_cast<std::size_t>(callers); ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                std::unique_ptr<endpoint::connection> connection;
                while (boot_clock::now() < end)
                {
                    const time_point began = boot_clock::now();
                    const time_point deadline = began + seconds(5);
                    if (connection == nullptr)
                    {
                        connection = std::make_unique<endpoint::connection>();
                        if (connection->connect(address, deadline))
                        {
                            connection.reset();
                            continue;
                        }
                    }
                    const endpoint::exchange_result result =
                        connection->exchange(request, deadline, 1U << 20U);
                    const double took =
                        std::chrono::duration<double, std::micro>(boot_clock::now() - began).count();
                    if (result.error || !result.reusable)
                    {
                        connection.reset();
                    }
                    const bool ok = !result.error && result.answer.status == 200;
                    (ok ? answered : refused)[i].push_back(took);
                    if (!ok && pause_when_refused.count() > 0)
                    {
                        std::this_thread::sleep_for(pause_when_refused);
                    }
                }
            });
    }
    for (std::thread& one : threads)
    {
        one.join();
    }
    std::vector<double> all;
    std::vector<double> all_refused;
    for (std::size_t i = 0; i < threads.size(); ++i)
    {
        all.insert(all.end(), answered[i].begin(), answered[i].end());
        all_refused.insert(all_refused.end(), refused[i].begin(), refused[i].end());
    }
    load_result result;
    result.done = static_cast<double>(all.size());
    result.refused = static_cast<double>(all_refused.size());
    result.done_per_second = result.done / std::chrono::duration<double>(span).count();
    result.p50_us = quantile(all, 0.5);
    result.p99_us = quantile(all, 0.99);
    result.refused_p99_us = quantile(all_refused, 0.99);
    result.processor_us_per_request =
        (processor_seconds() - processor_before) * 1e6 / std::max(1.0, result.done + result.refused);
    return result;
}

/// A control VM, an entry, endpoints and a relay in one process.
class bench_system
{
  public:
    bench_system()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "plumspoke-bench-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        const auto [control_settings, entry_settings, faults] =
            test::make_group_settings(folder_, entry_address, {{"http_threads", 320}});
        (void)replica::storage(control_settings.data_folder)
            .initialize("c1.first", {{{"c1.first", "c1", control_settings.grpc, true}}});
        control_ = std::make_unique<control::server>(control_settings);
        entry_ = std::make_unique<entry::server>(entry_settings);
        http::server_options options;
        options.address = relay_address;
        options.threads = 40;
        const std::string& target = endpoints[0].address;
        const int port = std::stoi(target.substr(target.find(':') + 1));
        relay_ = std::make_unique<http::server>(options,
                                                [port](const http::request& r)
                                                {
                                                    return relay("127.0.0.1", port, r);
                                                });
        if (!faults.empty() || control_->start() || entry_->start() || !relay_->start())
        {
            std::cerr << "bench: can't start\n";
            std::exit(1);
        }
        control_address_ = control_settings.http;
        configure(endpoint_count, 2000);
    }

    ~bench_system()
    {
        entry_->stop();
        control_->stop();
        relay_->stop();
        std::filesystem::remove_all(folder_);
    }

    /// Applies a configuration whose service has the first `used` endpoints.
    void configure(std::size_t used, std::int64_t answer_within_ms)
    {
        nlohmann::json list = nlohmann::json::array();
        for (std::size_t i = 0; i < used; ++i)
        {
            list.push_back({{"worker", "w" + std::to_string(i)},
                            {"availability_zone", "nangang"},
                            {"address", endpoints[i].address}});
        }
        const nlohmann::json intent = {{"teams", {{{"name", "t"}, {"quota", {{"cores", 1}}}}}},
                                       {"services",
                                        {{{"name", "s"},
                                          {"team", "t"},
                                          {"answer_within_ms", answer_within_ms},
                                          {"safe_to_repeat", true},
                                          {"endpoints", list}}}}};
        operators::control_api_client caller({control_address_}, milliseconds(15000));
        const operators::control_answer current = caller.get("/v1/configuration");
        const operators::control_answer plan = caller.post("/v1/plans",
                                                           {{"request", std::to_string(++requests_)},
                                                            {"operator", "bench"},
                                                            {"based_on", current.body["version"]},
                                                            {"intent", intent}});
        const std::string path = "/v1/plans/" + std::to_string(plan.body["id"].get<int>()) + "/confirm";
        (void)caller.post(path, {{"request", std::to_string(++requests_)}});
        std::this_thread::sleep_for(
            milliseconds(2500)); // the entry applies it, and slots of removed workers are returned
    }

    /// Reads a counter from the metrics page of the entry; 0 if it is missing.
    [[nodiscard]] double read_counter(const std::string& name) const
    {
        http::request sent;
        sent.method = "GET";
        sent.path = "/_plumspoke/metrics";
        const std::optional<http::response> page = http::call(entry_address, sent, milliseconds(2000));
        const std::size_t at = page.has_value() ? page->body.find("\n" + name) : std::string::npos;
        return at == std::string::npos ? 0 : std::stod(page->body.substr(page->body.find(' ', at) + 1));
    }

    std::array<bench_endpoint, endpoint_count> endpoints;
    const std::string entry_address = free_address();
    const std::string relay_address = free_address();

  private:
    std::filesystem::path folder_;
    std::string control_address_;
    std::unique_ptr<control::server> control_;
    std::unique_ptr<entry::server> entry_;
    std::unique_ptr<http::server> relay_;
    int requests_ = 0;
};

/// The measured values and the names of missed targets.
struct report
{
    nlohmann::json figures = nlohmann::json::object();
    std::vector<std::string> missed;

    void record(const std::string& name, double value, double minimum, double maximum)
    {
        figures[name] = value;
        const bool good = value >= minimum && value <= maximum;
        if (!absl::GetFlag(FLAGS_json))
        {
            std::cout << std::left << std::setw(62) << name << std::fixed << std::setprecision(3) << value
                      << (good ? "" : "  MISSED") << "\n";
        }
        if (!good)
        {
            missed.push_back(name);
        }
    }
};

constexpr double no_limit = 1e18;

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void compare_paths(bench_system& system, report& out)
{
    for (const int callers : {4, 16})
    {
        std::vector<double> throughput;
        std::vector<double> tail;
        std::vector<double> relay_direct;
        std::vector<double> extra_processor;
        for (std::int64_t turn = 0; turn < absl::GetFlag(FLAGS_turns); ++turn)
        {
            const load_result direct = measure_load(system.endpoints[0].address, "/x", callers);
            const load_result via_relay = measure_load(system.relay_address, "/x", callers);
            const load_result via_entry = measure_load(system.entry_address, "/s/x", callers);
            throughput.push_back(via_entry.done_per_second / via_relay.done_per_second);
            tail.push_back(via_entry.p99_us / via_relay.p99_us);
            relay_direct.push_back(via_relay.done_per_second / direct.done_per_second);
            extra_processor.push_back(via_entry.processor_us_per_request - direct.processor_us_per_request);
        }
        const std::string suffix = " at " + std::to_string(callers) + " callers";
        out.record("relay's throughput / direct's" + suffix, median(relay_direct), 0, no_limit);
        out.record(
            "entry's throughput / relay's" + suffix + " (aim 0.80)", median(throughput), 0.80, no_limit);
        out.record("entry's p99 / relay's" + suffix + " (aim 1.25)", median(tail), 0, 1.25);
        out.record("processor us a request, entry less direct" + suffix,
                   median(extra_processor),
                   -no_limit,
                   no_limit);
    }
}

void measure_overload(bench_system& system, report& out)
{
    system.configure(1, 60);
    system.endpoints[0].work_ms = 5;
    const load_result peak = measure_load(system.entry_address, "/s/x", 8);
    const load_result over = measure_load(system.entry_address, "/s/x", 120, milliseconds(15));
    out.record("offered / capacity", (over.done + over.refused) / peak.done, 0, no_limit);
    out.record(
        "goodput at overload / peak (aim 0.95)", over.done_per_second / peak.done_per_second, 0.95, no_limit);
    out.record(
        "refusal's p99 / answer's p50 (aim 1)", over.refused_p99_us / std::max(1.0, over.p50_us), 0, 1);
    system.endpoints[0].work_ms = 0;
}

void measure_failing_third(bench_system& system, report& out)
{
    system.configure(endpoint_count, 2000);
    system.endpoints[1].fails = true;
    system.endpoints[4].fails = true;
    const double requests = system.read_counter("plumspoke_requests_total");
    const double attempts = system.read_counter("plumspoke_attempts_total");
    const load_result result = measure_load(system.entry_address, "/s/x", 8);
    const double attempts_sent = system.read_counter("plumspoke_attempts_total") - attempts;
    const double requests_taken = system.read_counter("plumspoke_requests_total") - requests;
    out.record(
        "sent / taken, a third failing (aim 1.10)", attempts_sent / std::max(1.0, requests_taken), 0, 1.10);
    out.record("done share, a third failing (aim 0.99)",
               result.done / std::max(1.0, result.done + result.refused),
               0.99,
               no_limit);
    system.endpoints[1].fails = false;
    system.endpoints[4].fails = false;
}

void measure_connection_memory(bench_system& system, report& out)
{
    std::vector<std::unique_ptr<endpoint::connection>> open;
    const double before = resident_kb();
    constexpr int count = 200;
    for (int i = 0; i < count; ++i)
    {
        open.push_back(std::make_unique<endpoint::connection>());
        const time_point deadline = boot_clock::now() + seconds(5);
        if (!open.back()->connect(system.entry_address, deadline))
        {
            (void)open.back()->exchange("GET /s/x HTTP/1.1\r\nHost: x\r\n\r\n", deadline, 1U << 20U);
        }
    }
    out.record("resident KB for each open connection of a caller",
               (resident_kb() - before) / count,
               -no_limit,
               no_limit);
    out.record("resident MB of this whole process", resident_kb() / 1024, 0, no_limit);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    logging::start(false);
    el::Loggers::reconfigureAllLoggers(el::ConfigurationType::Enabled, "false");
    report out;
    {
        bench_system system;
        compare_paths(system, out);
        measure_connection_memory(system, out);
        measure_overload(system, out);
        measure_failing_third(system, out);
    }
    if (absl::GetFlag(FLAGS_json))
    {
        std::cout << out.figures.dump(2) << "\n";
    }
    for (const std::string& one : out.missed)
    {
        std::cout << "MISSED " << one << "\n";
    }
    return absl::GetFlag(FLAGS_check) && !out.missed.empty() ? 1 : 0;
}
