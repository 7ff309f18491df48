/// @file
/// @brief A replica whose disk is full for a while.
///
/// Symptom: a control VM's process ended four times within 5 s, while its disk took no more bytes.
/// Sequence: a record finds no room; the replica takes that for a broken disk and ends; it is started again,
/// reads the whole state, and the next record finds no room. Cause: a full disk and a failed one were the
/// same error. What found no room may be tried again: the file is as it was before.

#include "plumspoke/replica/driver.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <cerrno>
#include <filesystem>
#include <thread>
#include <unistd.h>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

std::atomic<bool> disk_is_full{false};

// Takes half of a record first, as a disk does that fills up.
ssize_t write_while_room(int file, const void* bytes, std::size_t count)
{
    if (!disk_is_full)
    {
        return ::write(file, bytes, count);
    }
    if (count > 16)
    {
        return ::write(file, bytes, count / 2);
    }
    errno = ENOSPC;
    return -1;
}

class counting_machine final : public state_machine
{
  public:
    std::string apply(log_index /*index*/, std::string_view command) override
    {
        ++applied;
        return std::string(command);
    }
    [[nodiscard]] std::string save() const override
    {
        return std::string(1000, 's');
    }
    void restore(std::string_view /*saved*/) override
    {
    }
    std::atomic<int> applied{0};
};

class no_network final : public transport
{
  public:
    void send(const std::string& /*address*/, const message& /*sent*/) override
    {
    }
};

template <typename Condition> bool holds_within(milliseconds limit, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
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

TEST_CASE("a replica bears a full disk: it acknowledges nothing, and goes on when there is room")
{
    std::string folder = (std::filesystem::temp_directory_path() / "plumspoke-full-XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()) != nullptr);
    disk_is_full = false;
    driver_options options;
    options.snapshot_interval = 10;
    std::uint64_t last_index = 0;
    {
        storage disk(folder, {&write_while_room, system_disk().sync});
        REQUIRE_FALSE(disk.initialize("a", {{{"a", "a", "a", true}}}));
        counting_machine machine;
        no_network network;
        driver replica(options, disk, machine, network);
        REQUIRE_FALSE(replica.start("a"));
        const auto acts = [&replica]
        {
            return replica.may_act(std::chrono::steady_clock::now());
        };
        REQUIRE(holds_within(seconds(5), acts));
        CHECK_FALSE(replica.propose_and_wait("before", seconds(2)).error);

        disk_is_full = true;
        CHECK(replica.propose_and_wait("meanwhile", milliseconds(400)).error);
        CHECK_FALSE(acts());
        CHECK_FALSE(replica.status().failure);

        disk_is_full = false;
        REQUIRE(holds_within(seconds(5), acts));
        for (int i = 0; i < 30; ++i) // some snapshots long
        {
            CHECK_FALSE(replica.propose_and_wait("after", seconds(2)).error);
        }
        replica.stop();
        last_index = replica.status().last_index;
    }
    storage again(folder);
    restored_state restored;
    REQUIRE_FALSE(again.open(restored));
    CHECK(restored.base.index + restored.entries.size() == last_index);
    std::filesystem::remove_all(folder);
}
