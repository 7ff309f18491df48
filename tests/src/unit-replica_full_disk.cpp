/// @file
/// @brief A replica whose disk is temporarily full.
///
/// Guards against treating a full disk as a failed one. The process would end, be restarted, read the whole
/// state and end again at the next record; a control VM's process once ended four times within 5 s. A write
/// that fails for lack of space leaves the file unchanged and can be repeated.

#include "full_disk_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::replica;
using namespace plumspoke::replica::full_disk_test;

TEST_CASE("a replica with a full disk acknowledges nothing, and resumes when there is free space")
{
    const folder data_folder;
    std::uint64_t last_index = 0;
    {
        storage disk(data_folder.path, {&write_until_full, system_disk().sync});
        disk_is_full = false;
        REQUIRE_FALSE(disk.initialize("a", {{{"a", "a", "a", true}}}));
        counting_machine machine;
        null_transport network;
        driver replica(fixture::options(), disk, machine, network);
        REQUIRE_FALSE(replica.start("a"));
        const auto holds_lease = [&replica]
        {
            return replica.holds_lease(boot_clock::now());
        };
        REQUIRE(holds_within(seconds(5), holds_lease));
        CHECK_FALSE(replica.propose_and_wait("before", seconds(2)).error);

        disk_is_full = true;
        CHECK(replica.propose_and_wait("meanwhile", milliseconds(400)).error);
        CHECK_FALSE(holds_lease());
        CHECK_FALSE(replica.status().failure);

        disk_is_full = false;
        REQUIRE(holds_within(seconds(5), holds_lease));
        for (int i = 0; i < 30; ++i) // enough for several snapshots
        {
            CHECK_FALSE(replica.propose_and_wait("after", seconds(2)).error);
        }
        replica.stop();
        last_index = replica.status().last_index;
    }
    storage again(data_folder.path);
    restored_state restored;
    REQUIRE_FALSE(again.open(restored));
    CHECK(restored.base.index + restored.entries.size() == last_index);
}
