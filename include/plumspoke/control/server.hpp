#pragma once

/// @file
/// @brief The control role's process: replica, leases, slots, scheduler, HTTP and gRPC servers.

#include "plumspoke/control/claim_expiry.hpp"
#include "plumspoke/control/control_state_machine.hpp"
#include "plumspoke/control/policy.hpp"
#include "plumspoke/control/slot_allocator.hpp"
#include "plumspoke/http/server.hpp"
#include "plumspoke/replica/grpc_transport.hpp"
#include "plumspoke/settings/process_settings.hpp"
#include "plumspoke/vm_list/poller.hpp"
#include "plumspoke/worker/lease_manager.hpp"

namespace plumspoke::control
{

/// @brief The leader as far as this process knows it.
struct leader_hint
{
    bool self = false; // this process holds the leader's lease
    std::string name;
    std::string http;
    std::string grpc;
};

/// @brief Counters of accepted and refused requests, exported as metrics.
struct server_counters
{
    std::atomic<std::uint64_t> worker_reports{0};
    std::atomic<std::uint64_t> worker_reports_refused{0};
    std::atomic<std::uint64_t> worker_reports_old{0};
    std::atomic<std::uint64_t> entry_reports{0};
    std::atomic<std::uint64_t> entry_reports_refused{0};
    std::atomic<std::uint64_t> operator_requests{0};
    std::atomic<std::uint64_t> operator_not_leader{0};
    std::atomic<std::uint64_t> operator_bad_document{0};
    std::atomic<std::uint64_t> operator_no_answer{0};
    std::atomic<std::uint64_t> operator_refused{0};
};

/// @brief One control process.
class server
{
  public:
    /// @name construction
    /// @{
    explicit server(const settings::process_settings& settings);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// @brief Starts the replica, the servers and the scheduler thread.
    /// @return the replica's error, or address_in_use if an address can't be bound
    [[nodiscard]] std::error_code start();

    /// @brief Stops the scheduler, resigns leadership and shuts the servers down. Idempotent.
    void stop();

    /// @brief The error for which the replica has stopped by itself, such as a failed disk; none while it
    /// runs.
    [[nodiscard]] std::error_code failure() const;
    /// @}

    /// @name requests of operators, workers and entries
    /// @{

    /// @brief Proposes a command and waits up to 2 s for its answer.
    /// @param error not_leader or no_answer, set if there is no answer
    [[nodiscard]] command_answer submit(const command& value, std::error_code& error);

    [[nodiscard]] leader_hint leader() const;
    [[nodiscard]] worker::orders receive(const worker::report& received, std::error_code& error);
    [[nodiscard]] entry_orders receive(const entry_report& received, std::error_code& error);

    /// @brief The configuration as JSON if its version is newer than `known`; otherwise empty.
    [[nodiscard]] std::string configuration_after(std::uint64_t known, std::uint64_t& version) const;
    /// @}

    /// @name access
    /// @{
    [[nodiscard]] const control_state_machine& state() const noexcept
    {
        return state_machine_;
    }
    [[nodiscard]] const settings::process_settings& process() const noexcept
    {
        return settings_;
    }
    [[nodiscard]] server_counters& counters() noexcept
    {
        return counters_;
    }
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] bool in_force(std::uint64_t version) const;
    [[nodiscard]] std::vector<std::string> explain(const std::string& job) const;
    [[nodiscard]] std::string metrics_text() const;
    /// @}

  private:
    void run_scheduler();
    void tick(time_point now);
    void refresh_leadership(time_point now, const replica::replica_status& status);
    void propose_all(const std::vector<command>& commands);
    void join_cluster();
    [[nodiscard]] nlohmann::json replica_status_json() const;

    settings::process_settings settings_;
    control_state_machine state_machine_;
    std::unique_ptr<replica::storage> storage_;
    std::unique_ptr<replica::grpc_transport> transport_;
    std::unique_ptr<replica::driver> driver_;
    std::unique_ptr<http::server> http_;
    vm_list::poller platform_;

    mutable std::mutex mutex_; // guards the leader's soft state; never held while waiting for the driver
    worker::lease_manager lease_manager_;
    slot_allocator slot_allocator_;
    claim_expiry claim_expiry_{seconds(2)};
    policy policy_;
    replica::term_number leading_term_ = 0;
    time_point lease_end_{}; // end of the leader's lease when last checked
    std::set<std::string> leaving_workers_;

    server_counters counters_;
    std::atomic<bool> stopping_{false};
    std::thread scheduler_thread_;
    struct grpc_services;
    std::unique_ptr<grpc_services> grpc_;
};

} // namespace plumspoke::control
