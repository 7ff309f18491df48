/// @file
/// @brief The daemon. Each process runs one role, which its settings select.

#include "plumspoke/control/server.hpp"
#include "plumspoke/entry/server.hpp"
#include "plumspoke/job_server/control_server.hpp"
#include "plumspoke/job_server/entry_server.hpp"
#include "plumspoke/logging/event.hpp"
#include "plumspoke/logging/logging.hpp"
#include "plumspoke/settings/document.hpp"
#include "plumspoke/time/suspension_meter.hpp"

#include "../platform/callers.hpp"
#include "../platform/control_plane.hpp"
#include "../platform/workers.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/synchronization/mutex.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string,
          settings,
          "",
          "the settings file (JSON); docs/SETTINGS.md lists its keys. Where it is left out, the variable "
          "PLUMSPOKE_SETTINGS names it");
ABSL_FLAG(bool,
          initialize,
          false,
          "write the first identity of a new group of control VMs into an empty data folder, and end. "
          "Never for a VM that lost its disk: started without this flag it joins as a new member");

namespace
{

namespace ps = plumspoke;

constexpr int exit_failed = 1;
constexpr int exit_settings = 2;
constexpr auto poll_interval = std::chrono::milliseconds(50);
constexpr const char* log_component = "daemon";

volatile std::sig_atomic_t stop_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;

void request_stop(int /*signal*/)
{
    stop_requested = 1;
}

void request_reload(int /*signal*/)
{
    reload_requested = 1;
}

void install_signal_handlers()
{
    struct sigaction action
    {
    };
    action.sa_handler = &request_stop;
    sigemptyset(&action.sa_mask);
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    struct sigaction reload
    {
    };
    reload.sa_handler = &request_reload;
    sigemptyset(&reload.sa_mask);
    sigaction(SIGHUP, &reload, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int initialize(const ps::settings::process_settings& settings)
{
    ps::replica::membership members;
    for (const ps::settings::control_peer& peer : settings.control)
    {
        members.members.push_back({peer.name + ".first", peer.name, peer.grpc, true});
    }
    ps::replica::storage storage(settings.data_folder);
    if (const std::error_code failed = storage.initialize(settings.name + ".first", members); failed)
    {
        std::cerr << "plumspoked: " << settings.data_folder << ": " << failed.message() << "\n";
        return exit_failed;
    }
    std::cout << "The data folder " << settings.data_folder << " belongs to " << settings.name << " now.\n";
    return 0;
}

int run_control(const ps::settings::process_settings& settings)
{
    ps::control::server server(settings);
    if (const std::error_code failed = server.start(); failed)
    {
        PLUMSPOKE_LOG(ERROR, log_component) << "Not started. " << failed.message() << ".";
        return exit_failed;
    }
    while (stop_requested == 0)
    {
        std::this_thread::sleep_for(poll_interval);
        if (server.failure())
        {
            server.stop();
            return exit_failed;
        }
    }
    server.stop();
    return 0;
}

int run_entry(const ps::settings::process_settings& settings)
{
    ps::entry::server server(settings);
    if (const std::error_code failed = server.start(); failed)
    {
        PLUMSPOKE_LOG(ERROR, log_component) << "Not started. " << failed.message() << ".";
        return exit_failed;
    }
    while (stop_requested == 0)
    {
        std::this_thread::sleep_for(poll_interval);
    }
    server.stop();
    return 0;
}

// ---- Platform interface ------------------------------------------------------------------------

/// @brief Reads the addresses of the control VMs from the settings file, which may have changed since the
///        process started.
/// @return the addresses; empty, with a log line, if the settings are invalid
std::vector<std::string> read_seeds(const std::string& path)
{
    std::vector<ps::settings::fault> faults;
    const nlohmann::json document = ps::settings::read_document(path, faults);
    if (faults.empty())
    {
        const ps::settings::job_settings settings = ps::settings::parse_job_settings(document, faults);
        if (faults.empty())
        {
            return settings.control;
        }
    }
    ps::logging::write(
        ps::logging::event(log_component, "settings_unreadable", "Failed to reload the settings.")
            .with("path", faults.front().path)
            .with("fault", faults.front().message));
    return {};
}

void log_suspension(ps::duration length)
{
    if (length > ps::duration::zero())
    {
        ps::logging::write(
            ps::logging::event(log_component, "resumed", "The VM was suspended.")
                .with("suspended_ms", std::chrono::duration_cast<ps::milliseconds>(length).count()));
    }
}

template <typename Server> int serve(Server& server, const std::string& path)
{
    if (const std::error_code failed = server.start(); failed)
    {
        ps::logging::write(
            ps::logging::event(log_component, "not_started", "Not started.").with("error", failed.message()));
        return exit_failed;
    }
    ps::suspension_meter suspensions;
    while (stop_requested == 0)
    {
        std::this_thread::sleep_for(poll_interval);
        log_suspension(suspensions.take());
        if (reload_requested != 0)
        {
            reload_requested = 0;
            const std::vector<std::string> seeds = read_seeds(path);
            ps::logging::write(ps::logging::event(log_component, "reloaded", "Reloaded the settings.")
                                   .with("control_seeds", static_cast<std::int64_t>(seeds.size())));
        }
        if constexpr (requires { server.failure(); })
        {
            if (server.failure())
            {
                server.stop();
                std::_Exit(
                    exit_failed); // skips destructors: server threads are still running, as explained below
            }
        }
    }
    server.stop();
    // Every accepted request has been answered and its changes are synced to disk. Joining CivetWeb's threads
    // would wait for idle connections, which takes longer than a planned stop is allowed to take.
    std::_Exit(0);
}

int run_for_platform(const ps::settings::job_settings& settings, const std::string& path)
{
    ps::logging::start_structured(settings.name);
    const auto seeds = [path]
    {
        return read_seeds(path);
    };
    if (settings.role == ps::settings::process_role::entry)
    {
        const ps::platform::callers callers;
        ps::job_server::entry_server server(settings, seeds, callers);
        return serve(server, path);
    }
    const ps::platform::control_plane operators;
    const ps::platform::workers workers;
    ps::job_server::control_server server(settings, seeds, operators, workers);
    return serve(server, path);
}

int print_faults(const std::vector<ps::settings::fault>& faults)
{
    for (const ps::settings::fault& fault : faults)
    {
        std::cerr << "settings: " << fault.path << " " << fault.message << "\n";
    }
    return exit_settings;
}

std::string settings_path()
{
    const std::string flag = absl::GetFlag(FLAGS_settings);
    const char* variable = std::getenv("PLUMSPOKE_SETTINGS");
    return flag.empty() && variable != nullptr ? variable : flag;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("plumspoked --settings=FILE [--initialize]");
    absl::ParseCommandLine(argc, argv);
    const std::string path = settings_path();
    std::vector<ps::settings::fault> faults;
    const nlohmann::json document = ps::settings::read_document(path, faults);
    if (!faults.empty())
    {
        return print_faults(faults);
    }
    // Abseil's deadlock detection slows down every call between processes.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    install_signal_handlers();
    if (ps::settings::read_interface(document) == ps::settings::interface_kind::platform)
    {
        const ps::settings::job_settings settings = ps::settings::parse_job_settings(document, faults);
        return faults.empty() ? run_for_platform(settings, path) : print_faults(faults);
    }
    const ps::settings::process_settings settings = ps::settings::parse_process_settings(document, faults);
    if (!faults.empty())
    {
        return print_faults(faults);
    }
    ps::logging::start(settings.verbose);
    const bool is_control = settings.role == ps::settings::process_role::control;
    if (absl::GetFlag(FLAGS_initialize))
    {
        if (!is_control)
        {
            std::cerr << "plumspoked: --initialize belongs to the role control\n";
            return exit_settings;
        }
        return initialize(settings);
    }
    return is_control ? run_control(settings) : run_entry(settings);
}
