/// @file
/// @brief A leader that was suspended answers no read from its old state after another one was elected.

#include "suspendable_clock.hpp"

#include "plumspoke/replica/driver.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

using clock_type = time_point::clock;

class empty_machine final : public state_machine
{
  public:
    std::string apply(log_index /*index*/, std::string_view command) override
    {
        return std::string(command);
    }
    [[nodiscard]] std::string save() const override
    {
        return "state";
    }
    void restore(std::string_view /*saved*/) override
    {
    }
};

struct group;

/// @brief Delivers messages within the process. A suspended replica's thread waits when it sends, and gets
///        no messages.
class group_transport final : public transport
{
  public:
    group_transport(group& all, std::string self) : all_(all), self_(std::move(self))
    {
    }
    void send(const std::string& address, const message& sent) override;

  private:
    group& all_;
    std::string self_;
};

struct replica_process
{
    replica_process(group& all, const std::string& name, const std::string& folder)
        : address(name), disk(folder), network(all, name), runner({}, disk, machine, network)
    {
    }
    std::string address;
    storage disk;
    empty_machine machine;
    group_transport network;
    driver runner;
};

/// @brief Three replicas in one process.
struct group
{
    group() : folder((std::filesystem::temp_directory_path() / "plumspoke-suspended-XXXXXX").string())
    {
        REQUIRE(::mkdtemp(folder.data()) != nullptr);
        membership all;
        for (const char* name : {"a", "b", "c"})
        {
            all.members.push_back({std::string(name) + ".first", name, name, true});
        }
        for (std::size_t i = 0; i < replicas.size(); ++i)
        {
            const std::string& name = all.members[i].name;
            std::filesystem::create_directory(folder + "/" + name);
            replicas.at(i) = std::make_unique<replica_process>(*this, name, folder + "/" + name);
            REQUIRE_FALSE(replicas.at(i)->disk.initialize(all.members[i].id, all));
        }
        for (const auto& current : replicas)
        {
            REQUIRE_FALSE(current->runner.start(current->address));
        }
    }
    group(const group&) = delete;
    group& operator=(const group&) = delete;
    ~group()
    {
        resume();
        for (const auto& current : replicas)
        {
            current->runner.stop();
        }
        std::filesystem::remove_all(folder);
    }

    void suspend(const std::string& address)
    {
        const std::lock_guard lock(mutex);
        suspended = address;
    }
    void resume()
    {
        suspend({});
        resumed.notify_all();
    }
    [[nodiscard]] bool is_suspended(const std::string& address)
    {
        const std::lock_guard lock(mutex);
        return suspended == address;
    }
    void wait_while_suspended(const std::string& address)
    {
        std::unique_lock lock(mutex);
        resumed.wait(lock,
                     [&]
                     {
                         return suspended != address;
                     });
    }

    /// @brief The replica other than `except` that leads with at least this much of its lease left.
    [[nodiscard]] replica_process* wait_for_leader(duration lease, const replica_process* except = nullptr)
    {
        for (int tries = 0; tries < 2000; ++tries)
        {
            for (const auto& current : replicas)
            {
                if (current.get() != except && current->runner.holds_lease(clock_type::now() + lease))
                {
                    return current.get();
                }
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        return nullptr;
    }

    std::string folder;
    std::mutex mutex;
    std::condition_variable resumed;
    std::string suspended;
    std::array<std::unique_ptr<replica_process>, 3> replicas;
};

void group_transport::send(const std::string& address, const message& sent)
{
    all_.wait_while_suspended(self_);
    if (all_.is_suspended(address))
    {
        return;
    }
    for (const auto& current : all_.replicas)
    {
        if (current->address == address)
        {
            current->runner.receive(sent, self_);
        }
    }
}

} // namespace

TEST_CASE("a leader that was suspended doesn't hold its lease")
{
    group all;
    replica_process* former = all.wait_for_leader(milliseconds(250));
    REQUIRE(former != nullptr);
    REQUIRE_FALSE(former->runner.propose_and_wait("first", seconds(2)).error);
    former = all.wait_for_leader(milliseconds(250));
    REQUIRE(former != nullptr);

    const time_point suspended_at = clock_type::now();
    all.suspend(former->address);
    replica_process* next = all.wait_for_leader(milliseconds(100), former);
    REQUIRE(next != nullptr);
    REQUIRE_FALSE(next->runner.propose_and_wait("second", seconds(2)).error);
    for (const auto& current : all.replicas)
    {
        if (current.get() != former)
        {
            current->runner.stop();
        }
    }

    test::add_suspended_time(clock_type::now() - suspended_at);
    CHECK_FALSE(former->runner.holds_lease(clock_type::now()));
}
