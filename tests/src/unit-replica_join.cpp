/// @file
/// @brief A replica without an identity joins a running group over real connections.

#include "plumspoke/replica/driver.hpp"
#include "plumspoke/replica/grpc_transport.hpp"

#include "free_address.hpp"

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/service_type.h>
#include <thread>
#include <unistd.h>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

/// @brief Counts commands.
class counting_machine final : public state_machine
{
  public:
    std::string apply(log_index /*index*/, std::string_view command) override
    {
        count += command.empty() ? 0 : 1;
        return "counted";
    }
    [[nodiscard]] std::string save() const override
    {
        return std::to_string(count);
    }
    void restore(std::string_view saved) override
    {
        count = std::atoi(std::string(saved).c_str());
    }
    std::atomic<int> count{0};
};

/// @brief One replica with a data folder, and a server on a port that the system assigns.
class replica_process
{
  public:
    replica_process(const std::filesystem::path& folder, bool first_member)
    {
        address = test::free_address();
        disk = std::make_unique<storage>(folder);
        if (first_member)
        {
            const membership alone{{{address + ".first", address, address, true}}};
            REQUIRE_FALSE(disk->initialize(address + ".first", alone));
        }
        transport = std::make_unique<grpc_transport>(address);
        runner = std::make_unique<driver>(driver_options{}, *disk, machine, *transport);
        REQUIRE_FALSE(runner->start(address));
        service = make_replica_service(*runner);
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(service.get());
        server = builder.BuildAndStart();
        REQUIRE(server != nullptr);
    }
    replica_process(const replica_process&) = delete;
    replica_process& operator=(const replica_process&) = delete;
    ~replica_process()
    {
        runner->stop();
        server->Shutdown();
    }

    std::string address;
    counting_machine machine;
    std::unique_ptr<storage> disk;
    std::unique_ptr<grpc_transport> transport;
    std::unique_ptr<driver> runner;
    std::unique_ptr<grpc::Service> service;
    std::unique_ptr<grpc::Server> server;
};

template <typename Condition> bool holds_within(seconds limit, Condition condition)
{
    const auto end = boot_clock::now() + limit;
    while (boot_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

} // namespace

TEST_CASE("a replica without an identity joins a group although it has no membership yet")
{
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("plumspoke-join-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    {
        replica_process first_member(folder / "a", true);
        REQUIRE(holds_within(seconds(10),
                             [&]
                             {
                                 return first_member.runner->holds_lease(boot_clock::now());
                             }));
        REQUIRE_FALSE(first_member.runner->propose_and_wait("one", seconds(5)).error);

        replica_process joining_member(folder / "b", false);
        const member self{
            joining_member.disk->identity(), joining_member.address, joining_member.address, false};
        std::string leader = first_member.address;
        REQUIRE(request_join(leader, self));
        CHECK(holds_within(seconds(10),
                           [&]
                           {
                               return first_member.runner->status().members.is_voter(self.id);
                           }));
        CHECK(holds_within(seconds(5),
                           [&]
                           {
                               return joining_member.machine.count == 1;
                           }));
    }
    std::filesystem::remove_all(folder);
}
