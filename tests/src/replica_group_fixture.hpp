#pragma once

/// @file
/// @brief A group of replicas whose connections pass through relays.

#include "plumspoke/replica/driver.hpp"
#include "plumspoke/replica/grpc_transport.hpp"
#include "plumspoke/settings/job_settings.hpp"

#include "silent_relay.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/service_type.h>

namespace plumspoke::test
{

/// @brief Milliseconds elapsed since a time.
[[nodiscard]] inline std::int64_t elapsed_ms(time_point started_at)
{
    return std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_at).count();
}

inline settings::job_settings default_control_settings()
{
    std::vector<settings::fault> faults;
    settings::job_settings read =
        settings::parse_job_settings(nlohmann::json::parse(R"({"interface":"platform","role":"control",
            "name":"c","availability_zone":"z","listen":"127.0.0.1:8166","ip":"127.0.0.1",
            "internal_port":7720,"data_folder":"/data"})"),
                                     faults);
    REQUIRE(faults.empty());
    return read;
}

/// @brief A state machine without state.
class empty_machine final : public replica::state_machine
{
  public:
    std::string apply(replica::log_index /*index*/, std::string_view /*command*/) override
    {
        return {};
    }
    [[nodiscard]] std::string save() const override
    {
        return {};
    }
    void restore(std::string_view /*saved*/) override
    {
    }
};

/// @brief One replica that the others connect to through a relay.
class replica_process
{
  public:
    replica_process() : own_address_(free_address()), relay(own_address_)
    {
    }
    replica_process(const replica_process&) = delete;
    replica_process& operator=(const replica_process&) = delete;
    ~replica_process()
    {
        runner->stop();
        server_->Shutdown(std::chrono::system_clock::now() + milliseconds(100));
    }

    void start(const std::filesystem::path& folder, const replica::membership& members)
    {
        disk_ = std::make_unique<replica::storage>(folder);
        REQUIRE_FALSE(disk_->initialize(relay.address(), members));
        transport_ = std::make_unique<replica::grpc_transport>(relay.address());
        const settings::job_settings read = default_control_settings();
        replica::driver_options options;
        options.node.election_timeout = milliseconds(read.election_timeout_ms);
        options.node.heartbeat_interval = milliseconds(read.heartbeat_ms);
        options.node.drift_margin = milliseconds(read.drift_margin_ms);
        runner = std::make_unique<replica::driver>(options, *disk_, machine_, *transport_);
        service_ = replica::make_replica_service(*runner);
        grpc::ServerBuilder builder;
        builder.AddListeningPort(own_address_, grpc::InsecureServerCredentials());
        builder.RegisterService(service_.get());
        server_ = builder.BuildAndStart();
        REQUIRE(server_ != nullptr);
        REQUIRE_FALSE(runner->start(relay.address()));
    }

  private:
    std::string own_address_;
    empty_machine machine_;
    std::unique_ptr<replica::storage> disk_;
    std::unique_ptr<replica::grpc_transport> transport_;
    std::unique_ptr<grpc::Service> service_;
    std::unique_ptr<grpc::Server> server_;

  public:
    silent_relay relay;
    std::unique_ptr<replica::driver> runner;
};

/// @brief A group of three replicas in a temporary folder.
class test_cluster
{
  public:
    test_cluster()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "plumspoke-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        replica::membership members;
        for (const replica_process& current : all)
        {
            members.members.push_back(
                {current.relay.address(), current.relay.address(), current.relay.address(), true});
        }
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            all[i].start(folder_ / std::to_string(i), members);
        }
    }
    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;
    ~test_cluster()
    {
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] bool has_leader() const
    {
        const time_point now = boot_clock::now();
        return std::any_of(all.begin(),
                           all.end(),
                           [now](const replica_process& current)
                           {
                               return current.runner->holds_lease(now);
                           });
    }

    /// @brief The longest time without an acting leader, observed for `span` from now on.
    [[nodiscard]] std::int64_t longest_leaderless_ms(milliseconds span) const
    {
        const time_point end = boot_clock::now() + span;
        std::int64_t longest = 0;
        time_point leader_seen_at = boot_clock::now();
        while (boot_clock::now() < end)
        {
            longest = std::max(longest, elapsed_ms(leader_seen_at));
            leader_seen_at = has_leader() ? boot_clock::now() : leader_seen_at;
            std::this_thread::sleep_for(milliseconds(2));
        }
        return longest;
    }

    std::array<replica_process, 3> all;

  private:
    std::filesystem::path folder_;
};

} // namespace plumspoke::test
