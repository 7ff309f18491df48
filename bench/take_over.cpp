/// @file
/// @brief Measures the processor time of a leader that takes over a large fleet after an outage longer than a
///        lease, by second of its term and by part.
///
/// The control process is the real one, with its threads, sockets and disk; the workers answer on loopback
/// from a thread of the same process. It has no followers, so the cost of replication is missing. The figures
/// are those of the event `loop`: one line for each second of the term.

#include "fleet_of_workers.hpp"

#include "../platform/control_plane.hpp"
#include "../platform/workers.hpp"
#include "control_channel.hpp"
#include "free_address.hpp"
#include "plumspoke/job_server/control_server.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/logging/event.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <filesystem>
#include <iostream>
#include <sys/resource.h>
#include <thread>

ABSL_FLAG(std::int64_t, workers, 1800, "workers of the fleet");
ABSL_FLAG(std::int64_t, runs, 8, "lasting tasks on each worker");
ABSL_FLAG(std::int64_t, seconds, 6, "length of the measured term");
ABSL_FLAG(std::int64_t, outage_ms, 3000, "time without a leader, in which all runs lapse");

namespace
{

using namespace plumspoke;
using bench::fleet_of_workers;

constexpr auto call_timeout = milliseconds(5000);
constexpr std::uint32_t tasks_per_job = 16;

settings::job_settings make_settings(const std::filesystem::path& folder)
{
    const std::string internal = test::free_address();
    nlohmann::json document = nlohmann::json::parse(R"({"interface":"platform","role":"control","name":"c",
        "availability_zone":"z","ip":"127.0.0.1","found_group":true,"disks_lost_at_once":0})");
    document["listen"] = test::free_address();
    document["internal_port"] = std::stoi(internal.substr(internal.rfind(':') + 1));
    document["data_folder"] = folder.string();
    document["control_seeds"] = {internal};
    std::vector<settings::fault> faults;
    return settings::parse_job_settings(document, faults);
}

std::vector<std::string> no_seeds()
{
    return {};
}

void configure(job_server::control_channel& channel)
{
    jobs::configuration value;
    value.version = 1;
    value.services.push_back({"pool", true, false});
    jobs::queue queue;
    queue.name = "jobs";
    queue.host = "host";
    queue.path_prefix = "/jobs/";
    queue.service = "pool";
    value.queues.push_back(queue);
    value.document = "{}";
    wire::ConfigureRequest request;
    *request.mutable_configuration() = jobs::to_wire(value);
    wire::OrderReply answer;
    while (!answer.durable())
    {
        std::this_thread::sleep_for(milliseconds(50)); // until it leads
        grpc::ClientContext context;
        job_server::set_timeout(context, call_timeout);
        (void)channel.stub().Configure(&context, request, &answer);
    }
}

void submit(job_server::control_channel& channel, std::int64_t number)
{
    jobs::job_spec spec;
    spec.payload = "lasting";
    jobs::step_spec step;
    step.task_count = tasks_per_job;
    step.needs = {1000, 1000, 0};
    step.lasting = true;
    spec.steps.push_back(step);
    wire::SubmitRequest request;
    request.set_host("host");
    request.set_path("/jobs/" + std::to_string(1'000'000'000'000'000 + number));
    *request.mutable_spec() = jobs::to_wire(spec);
    request.set_limit_ms(static_cast<std::uint32_t>(call_timeout.count()));
    grpc::ClientContext context;
    job_server::set_timeout(context, call_timeout);
    wire::JobReply answer;
    (void)channel.stub().Submit(&context, request, &answer);
}

/// @brief Relays the announcements of all workers once a second, as entries do.
class relay
{
  public:
    relay(const std::string& address, const fleet_of_workers& workers)
        : channel_(address), workers_(workers), thread_(
                                                    [this]
                                                    {
                                                        run();
                                                    })
    {
    }
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay()
    {
        stopping_ = true;
        thread_.join();
    }

  private:
    static constexpr std::size_t parts = 50;

    void run()
    {
        for (std::size_t round = 0; !stopping_; ++round)
        {
            send(round % parts);
            std::this_thread::sleep_for(milliseconds(1000 / parts));
        }
    }

    void send(std::size_t part)
    {
        wire::RelayRequest request;
        for (std::size_t i = part; i < workers_.size(); i += parts)
        {
            request.add_alive(fleet_of_workers::name_of(i));
            request.add_alive_born_ms(1);
        }
        wire::RelayReply reply;
        call(request, reply);
        if (reply.unknown_size() > 0)
        {
            announce(part);
        }
    }

    void announce(std::size_t part)
    {
        wire::RelayRequest request;
        for (std::size_t i = part; i < workers_.size(); i += parts)
        {
            *request.add_changed() = workers_.announcement_of(i, ++sequence_);
        }
        wire::RelayReply reply;
        call(request, reply);
    }

    void call(const wire::RelayRequest& request, wire::RelayReply& reply)
    {
        grpc::ClientContext context;
        job_server::set_timeout(context, milliseconds(500));
        (void)channel_.stub().Relay(&context, request, &reply);
    }

    job_server::control_channel channel_;
    const fleet_of_workers& workers_;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

void wait_for_runs(const fleet_of_workers& workers, std::size_t wanted, milliseconds limit)
{
    const time_point begin = boot_clock::now();
    while (workers.running() < wanted && boot_clock::now() < begin + limit)
    {
        std::this_thread::sleep_for(milliseconds(50));
    }
    std::cout << workers.running() << " runs after "
              << std::chrono::duration_cast<milliseconds>(boot_clock::now() - begin).count() << " ms\n";
}

void allow_all_files()
{
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    logging::start_structured("bench");
    allow_all_files();
    const auto worker_count = static_cast<std::size_t>(absl::GetFlag(FLAGS_workers));
    const std::size_t wanted = worker_count * static_cast<std::size_t>(absl::GetFlag(FLAGS_runs));
    std::string folder = (std::filesystem::temp_directory_path() / "plumspoke-take-over-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr)
    {
        return 1;
    }
    const settings::job_settings settings = make_settings(folder);
    fleet_of_workers workers(worker_count);
    platform::control_plane operators;
    platform::workers protocol;
    {
        job_server::control_server server(settings, no_seeds, operators, protocol);
        if (server.start())
        {
            return 1;
        }
        job_server::control_channel channel(settings.internal);
        configure(channel);
        const relay announcements(settings.internal, workers);
        std::this_thread::sleep_for(seconds(2));
        for (std::size_t i = 0; i < wanted / tasks_per_job; ++i)
        {
            submit(channel, static_cast<std::int64_t>(i));
        }
        wait_for_runs(workers, wanted / tasks_per_job * tasks_per_job, seconds(60));
        std::this_thread::sleep_for(seconds(2));
        server.stop();
    }
    std::cout << "outage\n";
    workers.lapse_all();
    std::this_thread::sleep_for(milliseconds(absl::GetFlag(FLAGS_outage_ms)));
    {
        job_server::control_server server(settings, no_seeds, operators, protocol);
        if (server.start())
        {
            return 1;
        }
        const relay announcements(settings.internal, workers);
        wait_for_runs(workers, wanted / tasks_per_job * tasks_per_job, seconds(60));
        std::this_thread::sleep_for(seconds(absl::GetFlag(FLAGS_seconds)));
        server.stop();
    }
    std::filesystem::remove_all(folder);
    return 0;
}
