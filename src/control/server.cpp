#include "plumspoke/control/server.hpp"

#include "api.hpp"
#include "plumspoke/logging/logging.hpp"
#include "plumspoke/operator/error.hpp"
#include "plumspoke/settings/http_options.hpp"
#include "plumspoke/worker/error.hpp"

#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/service_type.h>

namespace plumspoke::control
{

namespace
{

constexpr const char* log_component = "control";
constexpr auto submit_timeout = milliseconds(2000);
constexpr auto join_interval = milliseconds(500);

replica::driver_options make_driver_options(const settings::process_settings& settings)
{
    replica::driver_options options;
    options.node.election_timeout = milliseconds(settings.election_timeout_ms);
    options.node.heartbeat_interval = milliseconds(settings.heartbeat_ms);
    options.node.drift_margin = milliseconds(settings.drift_margin_ms) / 2;
    options.snapshot_interval = static_cast<std::size_t>(settings.snapshot_interval);
    return options;
}

worker::lease_manager_options make_lease_manager_options(const settings::process_settings& settings)
{
    worker::lease_manager_options options;
    options.lease = milliseconds(settings.worker_lease_ms);
    options.drift_margin = milliseconds(settings.drift_margin_ms);
    options.report_interval = milliseconds(settings.worker_report_ms);
    return options;
}

slot_allocator_options make_slot_allocator_options(const settings::process_settings& settings)
{
    slot_allocator_options options;
    options.lease = milliseconds(settings.entry_lease_ms);
    options.drift_margin = milliseconds(settings.drift_margin_ms);
    return options;
}

} // namespace

/// @brief The gRPC server and its services; defined here to keep grpcpp out of the header.
struct server::grpc_services
{
    std::unique_ptr<grpc::Service> replicas;
    std::unique_ptr<grpc::Service> entries;
    std::unique_ptr<grpc::Server> server;
};

// ---- construction ------------------------------------------------------------------------------

server::server(const settings::process_settings& settings)
    : settings_(settings), platform_(settings.platform,
                                     milliseconds(settings.platform_poll_ms),
                                     [this](const vm_list::vm_list& list)
                                     {
                                         const std::lock_guard lock(mutex_);
                                         leaving_workers_ = list.leaving;
                                     }),
      lease_manager_(make_lease_manager_options(settings)),
      slot_allocator_(make_slot_allocator_options(settings)), policy_(policy_options()),
      grpc_(std::make_unique<grpc_services>())
{
    storage_ = std::make_unique<replica::storage>(settings.data_folder);
    transport_ = std::make_unique<replica::grpc_transport>(settings.grpc);
    driver_ = std::make_unique<replica::driver>(
        make_driver_options(settings), *storage_, state_machine_, *transport_);
}

server::~server()
{
    stop();
}

std::error_code server::start()
{
    if (const std::error_code failed = driver_->start(settings_.name); failed)
    {
        return failed;
    }
    grpc_->replicas = replica::make_replica_service(*driver_);
    grpc_->entries = make_entry_service(*this);
    grpc::ServerBuilder builder;
    int bound_port = 0;
    builder.AddListeningPort(settings_.grpc, grpc::InsecureServerCredentials(), &bound_port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    replica::allow_large_messages(builder);
    builder.RegisterService(grpc_->replicas.get());
    builder.RegisterService(grpc_->entries.get());
    grpc_->server = builder.BuildAndStart();
    if (grpc_->server == nullptr || bound_port == 0)
    {
        return std::make_error_code(std::errc::address_in_use);
    }
    http_ = std::make_unique<http::server>(settings::make_http_options(settings_, settings_.http),
                                           [this](const http::request& request)
                                           {
                                               return answer(*this, request);
                                           });
    if (!http_->start())
    {
        return std::make_error_code(std::errc::address_in_use);
    }
    platform_.start();
    scheduler_thread_ = std::thread(
        [this]
        {
            run_scheduler();
        });
    PLUMSPOKE_LOG(INFO, log_component)
        << "Started as " << storage_->identity() << " in " << settings_.availability_zone << ".";
    return {};
}

void server::stop()
{
    if (stopping_.exchange(true))
    {
        return;
    }
    if (scheduler_thread_.joinable())
    {
        scheduler_thread_.join();
    }
    platform_.stop();
    driver_->stop();
    if (http_ != nullptr)
    {
        http_->stop();
    }
    if (grpc_->server != nullptr)
    {
        grpc_->server->Shutdown(std::chrono::system_clock::now() + milliseconds(500));
    }
    PLUMSPOKE_LOG(INFO, log_component) << "Stopped.";
}

std::error_code server::failure() const
{
    return driver_->status().failure;
}

// ---- scheduler ---------------------------------------------------------------------------------

void server::run_scheduler()
{
    time_point next_join{};
    while (!stopping_)
    {
        const time_point now = boot_clock::now();
        const replica::replica_status status = driver_->status();
        if (status.members.find(status.id) == nullptr && now >= next_join)
        {
            next_join = now + join_interval;
            join_cluster();
        }
        if (status.holds_lease(now))
        {
            refresh_leadership(now, status);
            tick(now);
        }
        std::this_thread::sleep_for(milliseconds(settings_.scheduler_tick_ms));
    }
}

void server::join_cluster()
{
    const replica::member self{storage_->identity(), settings_.name, settings_.grpc, false};
    for (const settings::control_peer& peer : settings_.control)
    {
        if (peer.name == settings_.name)
        {
            continue;
        }
        std::string address = peer.grpc;
        if (replica::request_join(address, self) ||
            (address != peer.grpc && replica::request_join(address, self)))
        {
            PLUMSPOKE_LOG(INFO, log_component) << "Requested membership from " << address << ".";
            return;
        }
    }
}

void server::refresh_leadership(time_point now, const replica::replica_status& status)
{
    const std::lock_guard lock(mutex_);
    // If the lease has expired since, because the process was suspended or the clock jumped, this is a new
    // leadership even within the same term.
    const bool still_leading = leading_term_ == status.term && now < lease_end_;
    lease_end_ = status.lease_end;
    if (still_leading)
    {
        return;
    }
    leading_term_ = status.term;
    lease_manager_.reset(now);
    claim_expiry_.reset();
    policy_.reset();
    state_machine_.read(
        [this, now](const control_state& state)
        {
            slot_allocator_.reset(now, state.config);
        });
}

void server::tick(time_point now)
{
    std::vector<command> commands;
    {
        const std::lock_guard lock(mutex_);
        state_machine_.read(
            [&](const control_state& state)
            {
                slot_allocator_.tick(now, state.config);
                commands = lease_manager_.tick(now, state);
                for (command& next : claim_expiry_.tick(now, state))
                {
                    commands.push_back(std::move(next));
                }
                const auto usable = [&](const std::string& worker)
                {
                    return lease_manager_.is_live(now, worker) && !leaving_workers_.contains(worker);
                };
                for (command& next : policy_.decide(now, state, usable))
                {
                    commands.push_back(std::move(next));
                }
            });
    }
    propose_all(commands);
}

void server::propose_all(const std::vector<command>& commands)
{
    for (const command& next : commands)
    {
        // The state may have changed since the decision and refuse the command; the next round decides again.
        driver_->propose(encode(next), [](const replica::proposal_result&) {});
    }
}

// ---- requests of operators, workers and entries ------------------------------------------------

command_answer server::submit(const command& value, std::error_code& error)
{
    const replica::proposal_result result = driver_->propose_and_wait(encode(value), submit_timeout);
    if (result.error)
    {
        error = result.error == replica::errc::not_leader ? operators::errc::not_leader
                                                          : operators::errc::no_answer;
        return {};
    }
    return decode_answer(result.answer);
}

leader_hint server::leader() const
{
    const replica::replica_status status = driver_->status();
    leader_hint hint;
    hint.self = status.holds_lease(boot_clock::now());
    hint.name = status.leader_name;
    hint.grpc = status.leader_address;
    for (const settings::control_peer& peer : settings_.control)
    {
        if (peer.name == status.leader_name)
        {
            hint.http = peer.http;
            hint.grpc = peer.grpc;
        }
    }
    return hint;
}

worker::orders server::receive(const worker::report& received, std::error_code& error)
{
    const time_point now = boot_clock::now();
    const replica::replica_status status = driver_->status();
    if (!status.holds_lease(now))
    {
        ++counters_.worker_reports_refused;
        error = worker::errc::not_leader;
        return {};
    }
    refresh_leadership(now, status);
    worker::report_outcome output;
    {
        const std::lock_guard lock(mutex_);
        output = state_machine_.read(
            [&](const control_state& state)
            {
                worker::report_outcome answered = lease_manager_.receive(now, state, received, error);
                if (!error)
                {
                    policy_.observe(now, state, received);
                }
                return answered;
            });
    }
    if (error)
    {
        ++counters_.worker_reports_old;
        return {};
    }
    ++counters_.worker_reports;
    propose_all(output.commands);
    return output.reply;
}

entry_orders server::receive(const entry_report& received, std::error_code& error)
{
    const time_point now = boot_clock::now();
    const replica::replica_status status = driver_->status();
    if (!status.holds_lease(now))
    {
        ++counters_.entry_reports_refused;
        error = operators::errc::not_leader;
        return {};
    }
    refresh_leadership(now, status);
    ++counters_.entry_reports;
    const std::lock_guard lock(mutex_);
    return state_machine_.read(
        [&](const control_state& state)
        {
            return slot_allocator_.receive(now, state.config, received);
        });
}

std::string server::configuration_after(std::uint64_t known, std::uint64_t& version) const
{
    return state_machine_.read(
        [known, &version](const control_state& state)
        {
            version = state.config.version;
            return version > known ? nlohmann::json(state.config).dump() : std::string();
        });
}

std::vector<std::string> server::explain(const std::string& job) const
{
    const time_point now = boot_clock::now();
    const std::lock_guard lock(mutex_);
    return state_machine_.read(
        [&](const control_state& state)
        {
            return policy_.explain(now, state, job);
        });
}

bool server::in_force(std::uint64_t version) const
{
    const std::lock_guard lock(mutex_);
    return slot_allocator_.in_force(boot_clock::now(), version);
}

} // namespace plumspoke::control
