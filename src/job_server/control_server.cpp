#include "plumspoke/job_server/control_server.hpp"

#include "control_service.hpp"
#include "grpc_keepalive.hpp"
#include "grpc_log.hpp"
#include "plumspoke/logging/event.hpp"
#include "plumspoke/logging/logging.hpp"
#include "plumspoke/settings/log_budget.hpp"

#include <algorithm>
#include <grpcpp/grpcpp.h>

namespace plumspoke::job_server
{

namespace
{

constexpr const char* part = "control";
constexpr auto membership_interval = milliseconds(200);
constexpr auto shutdown_timeout = milliseconds(300);      // of the gRPC server, for calls in progress
constexpr auto final_answers_timeout = milliseconds(500); // to operators and workers, after the loop's end
constexpr auto quiet_period = milliseconds(75);           // without requests, after which a drain is complete
constexpr auto join_after_silence = milliseconds(1500);   // two elections without a leader
constexpr auto join_interval = milliseconds(500);
constexpr std::int64_t metrics_threads = 2; // one reader, plus one whose connection is not closed yet

replica::driver_options make_driver_options(const settings::job_settings& settings)
{
    replica::driver_options options;
    options.node.election_timeout = milliseconds(settings.election_timeout_ms);
    options.node.heartbeat_interval = milliseconds(settings.heartbeat_ms);
    options.node.drift_margin = milliseconds(settings.drift_margin_ms);
    options.snapshot_interval = static_cast<std::size_t>(settings.snapshot_interval);
    options.max_log_bytes = settings::recommended_log_bytes(settings.vm);
    options.node.target_voter_count = static_cast<std::size_t>(2 * settings.disks_lost_at_once + 1);
    return options;
}

dispatch::dispatch_options make_dispatch_options(const settings::job_settings& settings)
{
    dispatch::dispatch_options options;
    options.lease = milliseconds(settings.worker_lease_ms);
    options.keep_ended_ms = settings.keep_ended_ms;
    options.policy = settings.policy;
    return options;
}

/// @brief Size of all large requests that are handled at the same time, in bytes.
std::size_t recommended_request_memory(const settings::vm_limits& limits)
{
    constexpr std::size_t default_bytes = 64U << 20U;
    constexpr std::size_t memory_divisor = 32;
    const std::size_t share = (static_cast<std::size_t>(limits.memory_mb) << 20U) / memory_divisor;
    return share == 0 ? default_bytes : share;
}

http::server_options make_http_options(const settings::job_settings& settings)
{
    http::server_options options;
    options.address = settings.listen;
    options.threads = settings.http_threads;
    options.max_header_bytes = settings.max_header_bytes;
    options.max_body_bytes = settings.max_body_bytes;
    options.read_ms = settings.request_read_ms;
    options.keep_alive_ms = settings.keep_alive_ms;
    return options;
}

} // namespace

// ---- construction ------------------------------------------------------------------------------

control_server::control_server(const settings::job_settings& settings,
                               std::function<std::vector<std::string>()> seeds,
                               const protocol::control_protocol& operators,
                               const protocol::worker_protocol& workers)
    : settings_(settings), operators_(operators), workers_(workers),
      leader_client_(std::string(), std::move(seeds)),
      large_request_budget_(recommended_request_memory(settings.vm)),
      dispatcher_(make_dispatch_options(settings)), grpc_(std::make_unique<grpc_members>())
{
    storage_ = std::make_unique<replica::storage>(settings.data_folder);
    transport_ = std::make_unique<replica::grpc_transport>(settings.internal);
    driver_ = std::make_unique<replica::driver>(
        make_driver_options(settings), *storage_, state_machine_, *transport_);
    worker_client_ = std::make_unique<worker_client>(
        context_,
        workers_,
        [this](const dispatch::sent_order& sent, const dispatch::worker_answer& got)
        {
            const metrics::scoped_loop_part answering(metrics::loop_part::answers);
            const time_point now = boot_clock::now();
            call_times_.record(std::chrono::duration_cast<duration>(now - sent.sent_at).count());
            dispatcher_.answered(now, sent, got);
            schedule_step();
        },
        static_cast<std::size_t>(settings::max_worker_connections(settings.vm)));
}

control_server::~control_server()
{
    stop();
}

std::error_code control_server::bootstrap_group()
{
    const bool is_seed = std::find(settings_.control.begin(), settings_.control.end(), settings_.internal) !=
                         settings_.control.end();
    if (!settings_.found_group || !is_seed)
    {
        return {};
    }
    replica::membership members;
    for (const std::string& address : settings_.control)
    {
        members.members.push_back({address + ".first", address, address, true});
    }
    const std::error_code failed = storage_->initialize(settings_.internal + ".first", members);
    return failed == replica::errc::already_initialized ? std::error_code() : failed;
}

std::error_code control_server::start()
{
    if (const std::error_code failed = bootstrap_group(); failed)
    {
        return failed;
    }
    if (const std::error_code failed = driver_->start(settings_.internal); failed)
    {
        return failed;
    }
    install_grpc_log_handler();
    if (!start_grpc() || !start_http())
    {
        return std::make_error_code(std::errc::address_in_use);
    }
    leader_client_.start();
    start_threads();
    logging::write(logging::event(part, "started", "Started.")
                       .with("member", storage_->identity())
                       .with("zone", settings_.availability_zone)
                       .with("founding", settings_.found_group ? 1 : 0)
                       .with("members", static_cast<std::int64_t>(driver_->status().members.members.size())));
    return {};
}

bool control_server::start_grpc()
{
    accepts_failed_ = failed_accepts();
    grpc_->replicas = replica::make_replica_service(*driver_);
    grpc_->control = std::make_unique<service>(*this);
    grpc::ServerBuilder builder;
    int bound_port = 0;
    builder.AddListeningPort(settings_.internal, grpc::InsecureServerCredentials(), &bound_port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    replica::allow_large_messages(builder);
    enable_keepalive(builder);
    builder.RegisterService(grpc_->replicas.get());
    builder.RegisterService(grpc_->control.get());
    grpc_->server = builder.BuildAndStart();
    return grpc_->server != nullptr && bound_port != 0;
}

bool control_server::start_http()
{
    http_ = std::make_unique<http::server>(make_http_options(settings_),
                                           [this](const http::request& received)
                                           {
                                               return handle(received);
                                           });
    return http_->start() && start_metrics();
}

bool control_server::start_metrics()
{
    if (settings_.metrics.empty())
    {
        return true;
    }
    http::server_options options;
    options.address = settings_.metrics;
    options.threads = metrics_threads;
    metrics_http_ = std::make_unique<http::server>(options,
                                                   [this](const http::request& /*received*/)
                                                   {
                                                       return metrics_response();
                                                   });
    return metrics_http_->start();
}

void control_server::start_threads()
{
    loop_thread_ = std::thread(
        [this]
        {
            run_loop();
        });
    membership_thread_ = std::thread(
        [this]
        {
            run_membership();
        });
    relay_thread_ = std::thread(
        [this]
        {
            relay_announcements();
        });
}

void control_server::stop()
{
    if (stopping_.exchange(true))
    {
        return;
    }
    if (http_ != nullptr)
    {
        http_->begin_drain();
    }
    {
        const std::lock_guard lock(registry_mutex_); // no wait begins between its check and the notification
    }
    relay_done_.notify_all();
    driver_->stop();
    leader_client_.stop();
    context_.stop();
    for (std::thread* one : {&loop_thread_, &membership_thread_, &relay_thread_})
    {
        if (one->joinable())
        {
            one->join();
        }
    }
    worker_client_->reset();
    http::drain_result left;
    if (http_ != nullptr)
    {
        http_->refuse_queued();
        left = http_->finish_drain(boot_clock::now() + final_answers_timeout, quiet_period);
    }
    if (grpc_->server != nullptr)
    {
        grpc_->server->Shutdown(std::chrono::system_clock::now() + shutdown_timeout);
    }
    logging::write(logging::event(part, "stopped", "Stopped.")
                       .with("in_flight", static_cast<std::int64_t>(left.in_flight))
                       .with("queued", static_cast<std::int64_t>(left.queued))
                       .with("after_close",
                             http_ == nullptr ? 0 : static_cast<std::int64_t>(http_->counts().after_close)));
}

std::error_code control_server::failure() const
{
    return driver_->status().failure;
}

// Peers, entries and other control VMs reach this process through one listening socket. Without it a former
// leader campaigns in vain, and the group lacks a voter until the process is restarted.
void control_server::restore_listener()
{
    if (failed_accepts() == accepts_failed_)
    {
        return;
    }
    if (grpc_->server != nullptr)
    {
        grpc_->server->Shutdown(std::chrono::system_clock::now() + shutdown_timeout);
        grpc_->server.reset();
    }
    const bool listening = start_grpc();
    accepts_failed_ = listening ? accepts_failed_ : accepts_failed_ - 1; // retried at the next check
    logging::write(logging::event(part,
                                  "listener_restored",
                                  "The gRPC server failed to accept a connection. Restarted its listener.")
                       .with("listening", listening ? 1 : 0));
}

// ---- membership --------------------------------------------------------------------------------

void control_server::run_membership()
{
    time_point next_join{};
    time_point leader_known_at = boot_clock::now();
    while (!stopping_)
    {
        restore_listener();
        const time_point now = boot_clock::now();
        const replica::replica_status status = driver_->status();
        std::vector<std::string> addresses;
        for (const replica::member& one : status.members.members)
        {
            addresses.push_back(one.address);
        }
        leader_client_.add_addresses(addresses);
        if (!status.leader.empty())
        {
            leader_known_at = now;
        }
        const bool outside = status.members.find(status.id) == nullptr;
        if ((outside || now > leader_known_at + join_after_silence) && now >= next_join)
        {
            next_join = now + join_interval;
            join_group();
        }
        std::this_thread::sleep_for(membership_interval);
    }
}

void control_server::join_group()
{
    const std::string leader = leader_client_.leader();
    if (leader.empty())
    {
        return; // retried once the search has found a leader
    }
    std::string address = leader; // request_join replaces it by the leader that the answer names
    const replica::member self{storage_->identity(), settings_.internal, settings_.internal, false};
    if (replica::request_join(address, self))
    {
        logging::write(logging::event(part, "joining", "Asked the leader to join the group.")
                           .with("leader", address)
                           .with("member", self.id));
    }
}

} // namespace plumspoke::job_server
