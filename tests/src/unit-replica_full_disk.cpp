/// @file
/// @brief A replica whose disk is full for a while.
///
/// Symptom: a control VM's process ended four times within 5 s, while its disk took no more bytes.
/// Sequence: a record finds no room; the replica takes that for a broken disk and ends; it is started again,
/// reads the whole state, and the next record finds no room. Cause: a full disk and a failed one were the
/// same error. What found no room may be tried again: the file is as it was before.

#include "full_disk_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::replica;
using namespace plumspoke::replica::full_disk_test;

TEST_CASE("a replica bears a full disk: it acknowledges nothing, and goes on when there is room")
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
            return replica.holds_lease(std::chrono::steady_clock::now());
        };
        REQUIRE(holds_within(seconds(5), holds_lease));
        CHECK_FALSE(replica.propose_and_wait("before", seconds(2)).error);

        disk_is_full = true;
        CHECK(replica.propose_and_wait("meanwhile", milliseconds(400)).error);
        CHECK_FALSE(holds_lease());
        CHECK_FALSE(replica.status().failure);

        disk_is_full = false;
        REQUIRE(holds_within(seconds(5), holds_lease));
        for (int i = 0; i < 30; ++i) // some snapshots long
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
