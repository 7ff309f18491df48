/// @file
/// @brief Operators change and read the configuration at every control VM while these are suspended, stopped,
///        killed and lose their disks, in series and at the same time. No read is older than what was
///        acknowledged or read before it was sent, nothing invalid is taken, and routes are served as
///        configured. Other clients announce workers and ask on connections of their own, and each of their
///        requests is answered, also while its control VM stops. A zone stays as its operator was told last,
///        and a job whose submits were all rejected does not exist.
///
/// The processes are started by control_soak.sh, each again whenever it has ended. Their monotonic clocks
/// stop while they are suspended (see suspendable_clock.hpp).

#include "configuration_history.hpp"
#include "control_clients.hpp"
#include "job_client.hpp"
#include "kept_connection.hpp"
#include "process_events.hpp"
#include "soak_process.hpp"
#include "zone_operator.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, folder, "", "where settings and done are written, and process ids are read");
ABSL_FLAG(std::uint64_t, seed, 1, "of the random numbers");
ABSL_FLAG(int, seconds, 10, "for which faults are injected");
ABSL_FLAG(std::size_t, vms, 3, "number of control VMs");
ABSL_FLAG(int, readers, 4, "threads that read the configuration");
ABSL_FLAG(int, operators, 2, "threads that change the configuration");
ABSL_FLAG(bool, suspensions, true, "whether VMs are suspended");
ABSL_FLAG(std::size_t, clients, 0, "of each control VM, which announce workers and ask");
ABSL_FLAG(int, http_threads, 16, "of each process");
ABSL_FLAG(std::size_t, job_clients, 0, "threads that submit jobs to the optional route");
ABSL_FLAG(bool, evacuations, false, "whether an operator evacuates a zone and takes that back");
ABSL_FLAG(std::size_t, routes, 0, "further routes of each configuration; the control VMs are small then");

using namespace plumspoke;
using test::configuration_history;
using test::kept_connection;
using test::process_events;
using test::soak_process;

namespace
{

constexpr auto call_timeout = milliseconds(1500);
constexpr auto recovery_limit = seconds(12); // after the last fault
constexpr auto start_limit = seconds(15);
constexpr auto stop_limit = milliseconds(6000); // then the platform would kill it
constexpr int reads_at_resume = 4;

enum class fault : std::uint8_t
{
    kill,
    stop,
    freeze, // the clock runs on
    suspend,
    suspend_with_entry,
    lose_disk,
};
constexpr const char* host = "h.example";
constexpr const char* permanent_route = "/always/";
constexpr const char* optional_route = "/optional/";
constexpr std::int64_t small_vm_memory_mb = 64; // a log of 4 MB between snapshots
constexpr std::int64_t small_vm_disk_mb = 32;
constexpr std::uintmax_t small_vm_max_log_bytes = 16U << 20U; // an old log and a new one, and queued entries

milliseconds random_ms(std::mt19937_64& random, std::int64_t low, std::int64_t high)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(low, high)(random));
}

/// @brief A configuration; half of the versions have the optional route.
nlohmann::json make_configuration(std::uint64_t version)
{
    nlohmann::json document = {{"version", version},
                               {"services", {{{"name", "s"}, {"preconditions", true}}}},
                               {"limits", {{"max-body-bytes", 262144}}}};
    nlohmann::json route = {{"name", "always"},
                            {"host", host},
                            {"path-prefix", permanent_route},
                            {"service", "s"},
                            {"timeout-ms", 3000 + version % 100},
                            {"max-attempts", 2},
                            {"extension", 1.5}};
    document["routes"].push_back(route);
    if (configuration_history::has_optional_route(version))
    {
        route["name"] = "optional";
        route["path-prefix"] = optional_route;
        document["routes"].push_back(route);
    }
    for (std::size_t i = 0; i < absl::GetFlag(FLAGS_routes); ++i)
    {
        route["name"] = "further-" + std::to_string(i);
        route["path-prefix"] = "/further/" + std::to_string(i) + "/";
        document["routes"].push_back(route);
    }
    return document;
}

/// @brief The body of an invalid configuration, of one of the kinds that users name.
std::string make_invalid_configuration(std::uint64_t version, std::mt19937_64& random)
{
    nlohmann::json document = make_configuration(version);
    nlohmann::json& route = document["routes"][0];
    switch (random() % 6)
    {
    case 0:
        route["service"] = "unknown";
        break;
    case 1:
        document["routes"].push_back(route);
        break;
    case 2:
        route["timeout-ms"] = 0;
        break;
    case 3:
        route.erase("timeout-ms");
        break;
    case 4:
        document.erase("services");
        break;
    default:
        return document.dump().substr(0, document.dump().size() * 2 / 3);
    }
    return document.dump();
}

/// @brief The processes of the group, and what clients have seen.
class soak
{
  public:
    soak(const std::filesystem::path& folder, std::size_t vms, std::uint64_t seed);

    [[nodiscard]] bool start();
    void inject_faults(seconds length);
    void end();
    [[nodiscard]] bool report() const;

  private:
    void write_settings(bool found_group) const;
    void change(std::uint64_t seed);
    void read(std::uint64_t seed);
    void read_routes(std::uint64_t seed);
    void send_invalid(kept_connection& to, std::mt19937_64& random);
    [[nodiscard]] bool put(kept_connection& to, std::uint64_t version);
    void get(kept_connection& from);
    void finish_read(kept_connection& from, time_point sent_at);
    void finish_route_read(kept_connection& from, time_point sent_at, bool optional);
    void suspend(std::span<const std::size_t> vms, milliseconds length);
    void inject(std::size_t vm, fault kind, milliseconds length);
    void await_end(std::size_t vm, pid_t process) const;
    void await_stop(std::size_t vm, pid_t process, std::uint64_t seed);
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] std::string address(std::size_t vm, int port) const;
    [[nodiscard]] kept_connection connect(std::size_t vm) const;
    void start_orders_and_jobs(std::uint64_t seed);
    void check_clients();
    void check_logs();
    void check_orders_and_jobs();
    [[nodiscard]] bool is_recovered();

    static constexpr int control_port = 8080;
    static constexpr int internal_port = 7000;
    static constexpr int metrics_port = 7001;
    static constexpr int entry_port = 8081;
    static constexpr int readiness_port = 8082;

    std::filesystem::path folder_;
    std::string network_; // first three bytes of the addresses, unique on this machine
    std::vector<std::unique_ptr<soak_process>> processes_; // of the control VMs, then of the entry
    std::vector<std::unique_ptr<process_events>> events_;  // of these
    std::size_t vms_;
    std::mt19937_64 random_;
    configuration_history history_;
    std::atomic<bool> ended_{false};
    std::atomic<std::size_t> suspended_reads_{0};
    std::size_t faults_ = 0;
    std::size_t stops_ = 0;
    bool recovered_ = false;
    std::vector<std::thread> clients_;
    std::unique_ptr<test::control_clients> control_clients_;
    std::unique_ptr<test::zone_operator> zone_operator_;
    std::vector<std::unique_ptr<test::job_client>> job_clients_;
    std::string client_summary_;
};

soak::soak(const std::filesystem::path& folder, std::size_t vms, std::uint64_t seed)
    : folder_(folder), vms_(vms), random_(seed)
{
    const pid_t id = ::getpid();
    network_ = "127." + std::to_string(10 + id / 250 % 240) + "." + std::to_string(id % 250) + ".";
    for (std::size_t i = 0; i <= vms; ++i)
    {
        processes_.push_back(std::make_unique<soak_process>(folder_, i));
        events_.push_back(std::make_unique<process_events>());
    }
    write_settings(true);
    std::ofstream(folder_ / "ready").flush();
}

std::string soak::address(std::size_t vm, int port) const
{
    return network_ + std::to_string(vm + 1) + ":" + std::to_string(port);
}

kept_connection soak::connect(std::size_t vm) const
{
    return {network_ + std::to_string(vm + 1), vm == vms_ ? entry_port : control_port};
}

void soak::write_settings(bool found_group) const
{
    nlohmann::json seeds = nlohmann::json::array();
    for (std::size_t i = 0; i < vms_; ++i)
    {
        seeds.push_back(address(i, control_port));
    }
    for (std::size_t i = 0; i <= vms_; ++i)
    {
        const bool is_entry = i == vms_;
        nlohmann::json document = {{"interface", "platform"},
                                   {"role", is_entry ? "entry" : "control"},
                                   {"name", (is_entry ? "entry-" : "control-") + std::to_string(i)},
                                   {"availability_zone", "z"},
                                   {"ip", network_ + std::to_string(i + 1)},
                                   {"internal_port", internal_port},
                                   {"control_seeds", seeds},
                                   {"limits", {{"http_threads", absl::GetFlag(FLAGS_http_threads)}}}};
        document["listen"] = address(i, is_entry ? entry_port : control_port);
        if (is_entry)
        {
            document["readiness"] = address(i, readiness_port);
        }
        else
        {
            document["metrics_port"] = metrics_port;
            document["data_folder"] = processes_[i]->data_folder();
            document["found_group"] = found_group;
            document["disks_lost_at_once"] = (vms_ - 1) / 2;
            if (absl::GetFlag(FLAGS_routes) > 0)
            {
                document["vm"] = {{"memory_mb", small_vm_memory_mb}, {"disk_mb", small_vm_disk_mb}};
            }
        }
        processes_[i]->write_settings(document.dump());
    }
}

// ---- clients -----------------------------------------------------------------------------------

bool soak::put(kept_connection& to, std::uint64_t version)
{
    const int status =
        to.call("PUT", "/config", host, make_configuration(version).dump(), call_timeout).status;
    if (status == 200)
    {
        history_.acknowledge(version);
    }
    if (status >= 400 && status < 500)
    {
        history_.add_violation("version " + std::to_string(version) + " was refused with " +
                               std::to_string(status));
    }
    return status == 200;
}

void soak::change(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<kept_connection> to;
    for (std::size_t i = 0; i < vms_; ++i)
    {
        to.push_back(connect(i));
    }
    std::uint64_t last = 0;
    while (!ended_)
    {
        const std::uint64_t version = history_.add(1 + random() % 3);
        const time_point give_up_at = boot_clock::now() + random_ms(random, 500, 5000);
        while (!ended_ && !put(to[random() % vms_], version) && boot_clock::now() < give_up_at)
        {
            std::this_thread::sleep_for(random_ms(random, 5, 100));
        }
        if (random() % 4 == 0)
        {
            send_invalid(to[random() % vms_], random);
        }
        if (last != 0 && random() % 4 == 0)
        {
            (void)put(to[random() % vms_], last); // an older change that arrives once more
        }
        last = version;
        std::this_thread::sleep_for(random_ms(random, 5, 300));
    }
}

void soak::send_invalid(kept_connection& to, std::mt19937_64& random)
{
    const std::string body = make_invalid_configuration(configuration_history::invalid_version, random);
    if (to.call("PUT", "/config", host, body, call_timeout).status == 200)
    {
        history_.add_violation("an invalid configuration was acknowledged: " + body);
    }
}

void soak::finish_read(kept_connection& from, time_point sent_at)
{
    const kept_connection::response got = from.receive(call_timeout);
    if (got.status != 200)
    {
        return;
    }
    const nlohmann::json document = nlohmann::json::parse(got.body, nullptr, false);
    const std::uint64_t version = document.is_object() ? document.value("version", 0ULL) : 0;
    history_.check_read(sent_at, version, document == make_configuration(version));
}

void soak::get(kept_connection& from)
{
    const time_point sent_at = boot_clock::now();
    if (from.send("GET", "/config", host, ""))
    {
        finish_read(from, sent_at);
    }
}

void soak::read(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<kept_connection> from;
    for (std::size_t i = 0; i < vms_; ++i)
    {
        from.push_back(connect(i));
    }
    while (!ended_)
    {
        get(from[random() % vms_]);
        std::this_thread::sleep_for(random_ms(random, 1, 40));
    }
}

void soak::finish_route_read(kept_connection& from, time_point sent_at, bool optional)
{
    const int status = from.receive(call_timeout).status;
    if (status == 200 || status == 404)
    {
        history_.check_route(sent_at, optional, status == 200);
    }
}

void soak::read_routes(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    kept_connection entry = connect(vms_);
    while (!ended_)
    {
        const time_point sent_at = boot_clock::now();
        const bool optional = random() % 3 != 0;
        if (entry.send("GET", optional ? optional_route : permanent_route, host, ""))
        {
            finish_route_read(entry, sent_at, optional);
        }
        std::this_thread::sleep_for(random_ms(random, 1, 40));
    }
}

// ---- faults ------------------------------------------------------------------------------------

// Reads wait at each VM when it resumes, so that some are answered before its threads have noticed. An entry
// that is suspended with the leader still takes it for the leader.
void soak::suspend(std::span<const std::size_t> vms, milliseconds length)
{
    const time_point began_at = boot_clock::now();
    for (const std::size_t vm : vms)
    {
        events_[vm]->begin_pause();
        processes_[vm]->signal(SIGSTOP);
    }
    std::this_thread::sleep_for(length);
    struct waiting_read
    {
        kept_connection from;
        time_point sent_at;
        bool is_route;
    };
    std::vector<waiting_read> reads;
    for (const std::size_t vm : vms)
    {
        for (int i = 0; i < reads_at_resume; ++i)
        {
            const bool is_route = vm == vms_;
            reads.push_back({connect(vm), boot_clock::now(), is_route});
            const bool sent = reads.back().from.send("GET", is_route ? optional_route : "/config", host, "");
            suspended_reads_ += sent ? 1 : 0;
        }
    }
    for (const std::size_t vm : vms)
    {
        processes_[vm]->add_suspended_time(boot_clock::now() - began_at);
        processes_[vm]->signal(SIGCONT);
        events_[vm]->end_pause();
    }
    for (waiting_read& read : reads)
    {
        if (read.is_route)
        {
            finish_route_read(read.from, read.sent_at, true);
        }
        else
        {
            finish_read(read.from, read.sent_at);
        }
    }
}

void soak::inject(std::size_t vm, fault kind, milliseconds length)
{
    soak_process& victim = *processes_[vm];
    switch (kind)
    {
    case fault::kill:
        events_[vm]->begin_kill();
        victim.signal(SIGKILL);
        break;
    case fault::stop:
        victim.signal(SIGTERM);
        victim.signal(SIGHUP);
        break;
    case fault::freeze:
        events_[vm]->begin_pause();
        victim.signal(SIGSTOP);
        std::this_thread::sleep_for(length);
        victim.signal(SIGCONT);
        events_[vm]->end_pause();
        break;
    case fault::suspend:
        suspend(std::array{vm}, length);
        break;
    case fault::suspend_with_entry:
        suspend(std::array{vm, vms_}, length);
        break;
    case fault::lose_disk:
        events_[vm]->begin_kill();
        victim.lose_disk();
        break;
    }
}

void soak::await_end(std::size_t vm, pid_t process) const
{
    while (process > 0 && processes_[vm]->id() == process)
    {
        std::this_thread::sleep_for(milliseconds(5));
    }
}

// More signals may arrive meanwhile, and other faults may hit the process.
void soak::await_stop(std::size_t vm, pid_t process, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const time_point began_at = boot_clock::now();
    const bool repeats = random() % 2 == 0;
    while (process > 0 && processes_[vm]->id() == process)
    {
        std::this_thread::sleep_for(milliseconds(5));
        if (repeats && random() % 200 == 0)
        {
            ::kill(process, random() % 2 == 0 ? SIGTERM : SIGHUP);
        }
        const time_point now = boot_clock::now();
        if (now - began_at - events_[vm]->paused_between(began_at, now) > stop_limit)
        {
            history_.add_violation("control VM " + std::to_string(vm) + " doesn't stop");
            return;
        }
    }
    events_[vm]->add_stop(boot_clock::now());
}

void soak::inject_faults(seconds length)
{
    const time_point end = boot_clock::now() + length;
    std::vector<std::unique_ptr<std::atomic<bool>>> is_faulty;
    for (std::size_t i = 0; i <= vms_; ++i)
    {
        is_faulty.push_back(std::make_unique<std::atomic<bool>>(false));
    }
    std::vector<std::thread> faults;
    std::mt19937_64 entry_random(absl::GetFlag(FLAGS_seed));
    std::mt19937_64 stop_random(absl::GetFlag(FLAGS_seed) + 1);
    std::size_t disks_left = (vms_ - 1) / 2; // that may be lost in this run
    while (boot_clock::now() < end)
    {
        std::this_thread::sleep_for(random_ms(random_, 50, 1200));
        const std::optional<std::size_t> current_leader = random_() % 3 != 0 ? leader() : std::nullopt;
        const std::size_t vm = current_leader.value_or(random_() % (vms_ + 1));
        const std::uint64_t drawn = random_() % (absl::GetFlag(FLAGS_suspensions) ? 7 : 3);
        auto kind = static_cast<fault>(std::min<std::uint64_t>(drawn, 3)); // most are suspensions
        const milliseconds fault_length = random_ms(random_, 100, 5000);
        if (vm < vms_ && disks_left > 0 && random_() % 8 == 0)
        {
            kind = fault::lose_disk;
        }
        if (control_clients_ != nullptr && kind != fault::lose_disk && stop_random() % 2 == 0)
        {
            kind = fault::stop;
        }
        const auto faulty_vms = std::count_if(is_faulty.begin(),
                                              is_faulty.end(),
                                              [](const auto& one)
                                              {
                                                  return one->load();
                                              });
        const bool group_goes_on = 2 * (static_cast<std::size_t>(faulty_vms) + 1) < vms_ + 1;
        if ((!group_goes_on && random_() % 6 != 0) || is_faulty[vm]->exchange(true))
        {
            continue;
        }
        disks_left -= kind == fault::lose_disk ? 1 : 0;
        ++faults_;
        if (kind == fault::suspend && vm < vms_ && entry_random() % 2 == 0 &&
            !is_faulty[vms_]->exchange(true))
        {
            kind = fault::suspend_with_entry;
        }
        stops_ += kind == fault::stop ? 1 : 0;
        faults.emplace_back(
            [this,
             vm,
             kind,
             fault_length,
             seed = stop_random(),
             &faulty = *is_faulty[vm],
             &entry_faulty = *is_faulty[vms_]]
            {
                const pid_t process = processes_[vm]->id();
                inject(vm, kind, fault_length);
                if (kind == fault::kill || kind == fault::lose_disk)
                {
                    await_end(vm, process);
                    events_[vm]->end_kill();
                }
                faulty = false;
                if (kind == fault::stop)
                {
                    await_stop(vm, process, seed);
                }
                if (kind == fault::suspend_with_entry)
                {
                    entry_faulty = false;
                }
            });
    }
    for (std::thread& one : faults)
    {
        one.join();
    }
}

std::optional<std::size_t> soak::leader() const
{
    for (std::size_t i = 0; i < vms_; ++i)
    {
        kept_connection from(network_ + std::to_string(i + 1), metrics_port);
        const kept_connection::response got = from.call("GET", "/metrics", host, "", milliseconds(100));
        if (got.body.find("plumspoke_leading 1") != std::string::npos)
        {
            return i;
        }
    }
    return std::nullopt;
}

// ---- the run -----------------------------------------------------------------------------------

bool soak::start()
{
    const time_point limit = boot_clock::now() + start_limit;
    std::vector<kept_connection> to;
    for (std::size_t i = 0; i < vms_; ++i)
    {
        to.push_back(connect(i));
    }
    const std::uint64_t first = history_.add(1);
    bool started = false;
    while (!started && boot_clock::now() < limit)
    {
        started = put(to[random_() % vms_], first);
        std::this_thread::sleep_for(milliseconds(50));
    }
    write_settings(false);
    const std::uint64_t seed = random_();
    std::uint64_t thread = 0;
    for (int i = 0; i < absl::GetFlag(FLAGS_operators); ++i)
    {
        clients_.emplace_back(&soak::change, this, seed + thread++);
    }
    for (int i = 0; i < absl::GetFlag(FLAGS_readers); ++i)
    {
        clients_.emplace_back(&soak::read, this, seed + thread++);
    }
    clients_.emplace_back(&soak::read_routes, this, seed + thread++);
    start_orders_and_jobs(seed + thread);
    if (absl::GetFlag(FLAGS_clients) > 0)
    {
        std::vector<std::string> addresses;
        for (std::size_t i = 0; i < vms_; ++i)
        {
            addresses.push_back(address(i, control_port));
        }
        control_clients_ = std::make_unique<test::control_clients>(
            addresses, absl::GetFlag(FLAGS_clients), test::draw_control_load(absl::GetFlag(FLAGS_seed)));
    }
    return started;
}

void soak::start_orders_and_jobs(std::uint64_t seed)
{
    if (absl::GetFlag(FLAGS_evacuations))
    {
        std::vector<std::string> ips;
        for (std::size_t i = 0; i < vms_; ++i)
        {
            ips.push_back(network_ + std::to_string(i + 1));
        }
        zone_operator_ = std::make_unique<test::zone_operator>(
            std::move(ips), test::control_ports{control_port, metrics_port}, seed++);
        clients_.emplace_back(
            [this]
            {
                zone_operator_->run(ended_);
            });
    }
    for (std::size_t i = 0; i < absl::GetFlag(FLAGS_job_clients); ++i)
    {
        job_clients_.push_back(std::make_unique<test::job_client>(
            connect(vms_), test::job_client::queue_paths{optional_route, permanent_route}, i + 1, seed++));
        clients_.emplace_back(
            [this, &one = *job_clients_.back()]
            {
                one.run(ended_);
            });
    }
}

/// @brief Whether a change is acknowledged, and then read back at every control VM, within the limit.
bool soak::is_recovered()
{
    const time_point limit = boot_clock::now() + recovery_limit;
    std::uint64_t version = 0;
    std::vector<kept_connection> to;
    for (std::size_t i = 0; i < vms_; ++i)
    {
        to.push_back(connect(i));
    }
    for (std::size_t vm = 0; vm < vms_;)
    {
        if (boot_clock::now() >= limit)
        {
            return false;
        }
        if (version == 0)
        {
            const std::uint64_t next = history_.add(1);
            version = put(to[random_() % vms_], next) ? next : 0;
        }
        const kept_connection::response got = to[vm].call("GET", "/config", host, "", call_timeout);
        if (version != 0 && got.status == 200)
        {
            ++vm;
            continue;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

void soak::check_clients()
{
    if (control_clients_ == nullptr)
    {
        return;
    }
    control_clients_->stop();
    const test::control_client_outcome seen = control_clients_->check(events_);
    for (const std::string& one : seen.violations)
    {
        history_.add_violation(one);
    }
    client_summary_ = "; " + std::to_string(stops_) + " stops, " + std::to_string(seen.sent) + " requests, " +
                      std::to_string(seen.answered) + " answered in at most " +
                      std::to_string(seen.slowest.count()) + " ms, " + std::to_string(seen.sent_after_close) +
                      " after a response that closes, " + std::to_string(seen.not_taken) +
                      " of them not taken, " + std::to_string(seen.cut) + " cut by a stop, " +
                      std::to_string(seen.killed) + " by a kill";
}

void soak::check_logs()
{
    if (absl::GetFlag(FLAGS_routes) == 0)
    {
        return;
    }
    std::uintmax_t largest = 0;
    for (std::size_t i = 0; i < vms_; ++i)
    {
        std::uintmax_t bytes = 0;
        for (const auto& file : std::filesystem::directory_iterator(processes_[i]->data_folder()))
        {
            std::error_code removed; // since it was listed
            const std::uintmax_t size = file.file_size(removed);
            bytes += !removed && file.path().filename().string().starts_with("log-") ? size : 0;
        }
        largest = std::max(largest, bytes);
    }
    client_summary_ += "; largest log of " + std::to_string(largest) + " bytes";
    if (largest > small_vm_max_log_bytes)
    {
        history_.add_violation("a log has " + std::to_string(largest) + " bytes");
    }
}

void soak::check_orders_and_jobs()
{
    if (zone_operator_ != nullptr)
    {
        zone_operator_->check();
        for (const std::string& one : zone_operator_->violations())
        {
            history_.add_violation(one);
        }
        client_summary_ += "; " + zone_operator_->summary();
    }
    std::size_t submitted = 0;
    std::size_t accepted = 0;
    std::size_t rejected = 0;
    for (const auto& client : job_clients_)
    {
        client->check();
        for (const std::string& one : client->violations())
        {
            history_.add_violation(one);
        }
        submitted += client->submitted();
        accepted += client->accepted();
        rejected += client->rejected();
    }
    client_summary_ += "; " + std::to_string(submitted) + " jobs submitted, " + std::to_string(accepted) +
                       " accepted, " + std::to_string(rejected) + " rejected";
}

void soak::end()
{
    ended_ = true;
    for (std::thread& one : clients_)
    {
        one.join();
    }
    check_clients();
    recovered_ = is_recovered();
    check_logs();
    check_orders_and_jobs();
    std::ofstream(folder_ / "done").flush();
    for (const auto& one : processes_)
    {
        one->signal(SIGKILL);
    }
}

bool soak::report() const
{
    std::cout << "seed " << absl::GetFlag(FLAGS_seed) << ": " << vms_ << " control VMs, " << faults_
              << " faults, " << suspended_reads_ << " reads sent to suspended VMs; " << history_.summary()
              << client_summary_ << (recovered_ ? "" : "; not recovered") << "\n";
    for (const std::string& one : history_.violations())
    {
        std::cout << one << "\n";
    }
    return recovered_ && history_.violations().empty();
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    soak run(absl::GetFlag(FLAGS_folder), absl::GetFlag(FLAGS_vms), absl::GetFlag(FLAGS_seed));
    const bool started = run.start();
    if (started)
    {
        run.inject_faults(seconds(absl::GetFlag(FLAGS_seconds)));
    }
    else
    {
        std::cout << "The group doesn't start.\n";
    }
    run.end();
    return run.report() && started ? 0 : 1;
}
