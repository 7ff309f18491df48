/// @file
/// @brief A control VM asks a leader in another region to join its group.
///
/// Guards against a control VM that never becomes a voter: each of its requests opened a new connection, and
/// gave it up after 100 ms, which is less than the two round trips that connecting takes over 60 ms each.

#include "plumspoke/replica/driver.hpp"
#include "plumspoke/replica/grpc_transport.hpp"

#include "silent_relay.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/service_type.h>
#include <unistd.h>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

constexpr auto connecting_time = milliseconds(150);
constexpr int tries = 5;

/// @brief A state without content.
class empty_machine final : public state_machine
{
  public:
    std::string apply(log_index /*index*/, std::string_view /*command*/) override
    {
        return {};
    }
    [[nodiscard]] std::string save() const override
    {
        return "empty";
    }
    void restore(std::string_view /*saved*/) override
    {
    }
};

} // namespace

TEST_CASE("a control VM joins a group whose leader takes more than 100 ms to connect to")
{
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("plumspoke-distant-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    {
        const std::string address = test::free_address();
        storage disk(folder);
        REQUIRE_FALSE(disk.initialize("first", {{{"first", address, address, true}}}));
        empty_machine machine;
        grpc_transport transport(address);
        driver leader({}, disk, machine, transport);
        REQUIRE_FALSE(leader.start(address));
        const std::unique_ptr<grpc::Service> service = make_replica_service(leader);
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(service.get());
        const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
        for (int i = 0; i < 200 && !leader.holds_lease(boot_clock::now()); ++i)
        {
            std::this_thread::sleep_for(milliseconds(20));
        }
        REQUIRE(leader.holds_lease(boot_clock::now()));

        test::silent_relay distant(address);
        distant.delay_connections(connecting_time);
        bool accepted = false;
        for (int i = 0; i < tries && !accepted; ++i)
        {
            std::string asked = distant.address();
            accepted = request_join(asked, {"joining", "joining", test::free_address(), false});
        }
        CHECK(accepted);
        leader.stop();
        server->Shutdown();
    }
    std::filesystem::remove_all(folder);
}
