/// @file
/// @brief An empty disk becomes a voter while the group is under load.

#include "plumspoke/replica/driver.hpp"
#include "plumspoke/replica/grpc_transport.hpp"

#include "free_address.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/service_type.h>
#include <thread>
#include <unistd.h>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

constexpr std::size_t state_bytes = 2U << 20U;
constexpr int records_before = 2600; // more than the snapshot interval

/// @brief Counts commands; its saved state has a few megabytes.
class large_machine final : public state_machine
{
  public:
    std::string apply(log_index /*index*/, std::string_view /*command*/) override
    {
        ++count;
        return {};
    }
    [[nodiscard]] std::string save() const override
    {
        std::string out(state_bytes, 'x');
        out += std::to_string(count);
        return out;
    }
    void restore(std::string_view saved) override
    {
        count = std::atoi(std::string(saved.substr(state_bytes)).c_str());
    }
    std::atomic<int> count{0};
};

/// @brief Counts the snapshots sent.
class counting_transport final : public transport
{
  public:
    explicit counting_transport(const std::string& own_address) : inner_(own_address)
    {
    }
    void send(const std::string& address, const message& sent) override
    {
        snapshots += std::holds_alternative<install_snapshot>(sent.body) ? 1 : 0;
        inner_.send(address, sent);
    }
    std::atomic<int> snapshots{0};

  private:
    grpc_transport inner_;
};

struct replica_process
{
    replica_process(const std::filesystem::path& folder, bool first_member)
        : address(test::free_address()), disk(folder), network(address), runner({}, disk, machine, network),
          service(make_replica_service(runner))
    {
        if (first_member)
        {
            REQUIRE_FALSE(
                disk.initialize(address + ".first", {{{address + ".first", address, address, true}}}));
        }
        REQUIRE_FALSE(runner.start(address));
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        allow_large_messages(builder);
        builder.RegisterService(service.get());
        server = builder.BuildAndStart();
        REQUIRE(server != nullptr);
    }
    replica_process(const replica_process&) = delete;
    replica_process& operator=(const replica_process&) = delete;
    ~replica_process()
    {
        runner.stop();
        server->Shutdown();
    }

    std::string address;
    large_machine machine;
    storage disk;
    counting_transport network;
    driver runner;
    std::unique_ptr<grpc::Service> service;
    std::unique_ptr<grpc::Server> server;
};

template <typename Condition> bool holds_within(milliseconds limit, Condition condition)
{
    const time_point end = boot_clock::now() + limit;
    while (boot_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

} // namespace

TEST_CASE("an empty disk gets a single snapshot and becomes a voter under continuous load")
{
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("plumspoke-rejoin-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    {
        replica_process first_member(folder / "a", true);
        REQUIRE(holds_within(seconds(10),
                             [&]
                             {
                                 return first_member.runner.holds_lease(boot_clock::now());
                             }));
        std::atomic<bool> stopping{false};
        std::thread load(
            [&]
            {
                while (!stopping)
                {
                    (void)first_member.runner.propose_and_wait("record", seconds(1));
                }
            });
        CHECK(holds_within(seconds(60),
                           [&]
                           {
                               return first_member.machine.count >= records_before;
                           }));
        replica_process joining_member(folder / "b", false);
        const member self{
            joining_member.disk.identity(), joining_member.address, joining_member.address, false};
        std::string leader = first_member.address;
        CHECK(request_join(leader, self));
        CHECK(holds_within(seconds(3),
                           [&]
                           {
                               return first_member.runner.status().members.is_voter(self.id);
                           }));
        CHECK(first_member.network.snapshots == 1);
        stopping = true;
        load.join();
    }
    std::filesystem::remove_all(folder);
}
