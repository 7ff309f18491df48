/// @file
/// @brief The size of a replica's log is limited in bytes, on the disk, in memory and at a start.
///
/// Guards against a group that stops for good after a few hundred changes of a large configuration: the log
/// was cut by its number of entries alone, and no process could read it within its memory any more.

#include "large_entries_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::replica;
using namespace plumspoke::replica::large_entries_test;

namespace
{

constexpr std::size_t long_log_entries = 400; // fewer than between two snapshots
constexpr std::size_t long_log_bytes = long_log_entries * entry_bytes;
constexpr std::size_t max_log_bytes = 20 * mebibyte;

driver_options default_options()
{
    return {};
}

bool becomes_leader(const driver& replica)
{
    return holds_within(seconds(10),
                        [&replica]
                        {
                            return replica.holds_lease(boot_clock::now());
                        });
}

} // namespace

TEST_CASE("entries that are few but large make a snapshot due")
{
    constexpr int entries = 200; // 50 MB
    const folder data_folder;
    std::size_t on_disk = 0;
    std::uint64_t in_memory = 0;
    {
        storage disk(data_folder.path);
        REQUIRE_FALSE(disk.initialize("a", {{{"a", "a", "a", true}}}));
        counting_machine machine;
        null_transport network;
        driver replica(default_options(), disk, machine, network);
        REQUIRE_FALSE(replica.start("a"));
        REQUIRE(becomes_leader(replica));
        for (int i = 0; i < entries; ++i)
        {
            REQUIRE_FALSE(replica.propose_and_wait(std::string(entry_bytes, 'x'), seconds(10)).error);
            on_disk = std::max(on_disk, size_of_files(data_folder.path, "log-"));
            in_memory = std::max(in_memory, replica.status().log_memory_bytes);
        }
        CHECK(machine.applied == entries);
    }
    CHECK(on_disk < 2 * max_log_bytes); // the old log and the new one, while the old one is removed
    CHECK(in_memory < max_log_bytes);

    storage again(data_folder.path);
    restored_state restored;
    REQUIRE_FALSE(again.open(restored));
    CHECK(restored.entries.size() * entry_bytes < max_log_bytes);
}

TEST_CASE("a long log is read into little more memory than its entries need")
{
    const folder data_folder;
    write_long_log(data_folder.path, long_log_entries);
    const std::uint64_t before = metrics::read_anonymous_bytes();
    REQUIRE(before > 0);
    restored_state restored;
    const std::uint64_t peak = peak_anonymous_bytes(
        [&]
        {
            storage disk(data_folder.path);
            REQUIRE_FALSE(disk.open(restored));
        });
    CHECK(restored.entries.size() == long_log_entries);
    CHECK(peak < before + long_log_bytes + long_log_bytes / 4);
}

TEST_CASE("a replica that starts with a long log shortens it, within little more memory")
{
    const folder data_folder;
    write_long_log(data_folder.path, long_log_entries);
    counting_machine machine;
    null_transport network;
    storage disk(data_folder.path);
    driver replica(default_options(), disk, machine, network);
    const std::uint64_t before = metrics::read_anonymous_bytes();
    const std::uint64_t peak = peak_anonymous_bytes(
        [&]
        {
            REQUIRE_FALSE(replica.start("a"));
            CHECK(holds_within(seconds(20),
                               [&]
                               {
                                   return machine.applied == static_cast<int>(long_log_entries) &&
                                          size_of_files(data_folder.path, "log-") < max_log_bytes;
                               }));
        });
    CHECK(peak < before + long_log_bytes + long_log_bytes / 4);
    CHECK(becomes_leader(replica));
    CHECK_FALSE(replica.propose_and_wait("after", seconds(5)).error);
}

TEST_CASE("the entries after a snapshot are written in little memory")
{
    const folder data_folder;
    std::vector<log_entry> rest;
    for (std::size_t i = 0; i < long_log_entries; ++i)
    {
        rest.push_back({i + 1, 1, entry_kind::command, std::string(entry_bytes, 'x'), {}, {}});
    }
    snapshot state;
    state.members = {{{"a", "a", "a", true}}};
    {
        storage disk(data_folder.path);
        REQUIRE_FALSE(disk.initialize("a", state.members));
        restored_state restored;
        REQUIRE_FALSE(disk.open(restored));
        const std::uint64_t before = metrics::read_anonymous_bytes();
        const std::uint64_t peak = peak_anonymous_bytes(
            [&]
            {
                REQUIRE_FALSE(disk.save_snapshot(state, {1, "a"}, rest));
            });
        CHECK(peak < before + long_log_bytes / 4);
    }
    storage again(data_folder.path);
    restored_state restored;
    REQUIRE_FALSE(again.open(restored));
    CHECK(restored.entries == rest);
}
