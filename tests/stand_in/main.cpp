// Runs a fake worker, platform or load generator as a separate process, selected by --role.

#include "plumspoke/logging/logging.hpp"
#include "stand_in.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, role, "", "worker, platform or caller");
ABSL_FLAG(std::string, name, "w1", "the worker's name");
ABSL_FLAG(std::string, availability_zone, "nangang", "the worker's availability zone");
ABSL_FLAG(std::string, rack, "r1", "the worker's rack");
ABSL_FLAG(std::string, address, "127.0.0.1:9001", "IP:PORT to serve at");
ABSL_FLAG(std::string, control, "", "control VMs' HTTP addresses");
ABSL_FLAG(std::string, entries, "", "entries' HTTP addresses");
ABSL_FLAG(std::string, path, "/quick-check/run", "what a caller asks for");
ABSL_FLAG(std::string, journal, "", "where a worker writes its tasks' starts and ends");
ABSL_FLAG(std::string, vms, "", "the platform's VMs");
ABSL_FLAG(std::int64_t, threads, 4, "a caller's threads");
ABSL_FLAG(std::int64_t, run_ms, 1000, "how long a caller sends");
ABSL_FLAG(std::int64_t, work_ms, 5, "how long an endpoint works on an answer");
ABSL_FLAG(bool, keyed, false, "a caller sends unsafe requests with keys");

namespace
{

namespace si = plumspoke::stand_in;

volatile std::sig_atomic_t stop_requested = 0;

void request_stop(int /*signal*/)
{
    stop_requested = 1;
}

void wait_for_stop()
{
    while (stop_requested == 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

std::vector<std::string> split_list(const std::string& text)
{
    return absl::StrSplit(text, ',', absl::SkipEmpty());
}

int run_worker()
{
    si::worker_options options;
    options.name = absl::GetFlag(FLAGS_name);
    options.availability_zone = absl::GetFlag(FLAGS_availability_zone);
    options.rack = absl::GetFlag(FLAGS_rack);
    options.endpoint = absl::GetFlag(FLAGS_address);
    options.control = split_list(absl::GetFlag(FLAGS_control));
    options.journal = absl::GetFlag(FLAGS_journal);
    options.work_ms = absl::GetFlag(FLAGS_work_ms);
    si::worker worker(options);
    if (!worker.start())
    {
        return 1;
    }
    wait_for_stop();
    worker.stop();
    return 0;
}

int run_platform()
{
    si::platform platform(absl::GetFlag(FLAGS_address), split_list(absl::GetFlag(FLAGS_vms)));
    if (!platform.start())
    {
        return 1;
    }
    wait_for_stop();
    return 0;
}

int run_caller()
{
    si::caller_options options;
    options.entries = split_list(absl::GetFlag(FLAGS_entries));
    options.path = absl::GetFlag(FLAGS_path);
    options.threads = absl::GetFlag(FLAGS_threads);
    options.run_ms = absl::GetFlag(FLAGS_run_ms);
    options.unsafe_requests = absl::GetFlag(FLAGS_keyed);
    si::caller_counts counts;
    si::run_caller(options, counts);
    std::cout << "done " << counts.done << ", not run " << counts.not_run << ", unknown " << counts.unknown
              << ", not connected " << counts.not_connected << ", cut off " << counts.incomplete
              << ", mixed up " << counts.mismatched << "\n";
    return counts.incomplete == 0 && counts.mismatched == 0 && counts.done > 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGTERM, &request_stop);
    std::signal(SIGINT, &request_stop);
    std::signal(SIGPIPE, SIG_IGN);
    plumspoke::logging::start(false);
    const std::string role = absl::GetFlag(FLAGS_role);
    if (role == "worker")
    {
        return run_worker();
    }
    if (role == "platform")
    {
        return run_platform();
    }
    if (role == "caller")
    {
        return run_caller();
    }
    std::cerr << "stand-in: --role must be worker, platform or caller\n";
    return 2;
}
