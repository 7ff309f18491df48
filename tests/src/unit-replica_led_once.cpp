/// @file
/// @brief A replica that has published the end of its leadership does not lead again in the same term.
///
/// Guards against a leader whose disk is full: it publishes at once that it stepped down, and must not go on
/// in the same term when there is free space again. By then the leader's loop has restarted: it reads the
/// state before its earlier proposals are committed and numbers its records from 1 again, so that the answer
/// to an earlier record is taken for that of another one. Nobody follows a run recorded that way.

#include "full_disk_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::replica;
using namespace plumspoke::replica::full_disk_test;

TEST_CASE("a leader whose disk was full leads again only in a later term")
{
    fixture f;
    REQUIRE(holds_within(seconds(5),
                         [&f]
                         {
                             return f.holds_lease();
                         }));
    const std::uint64_t before = f.replica.status().term;
    disk_is_full = true;
    CHECK(f.replica.propose_and_wait("meanwhile", milliseconds(400)).error);
    CHECK_FALSE(f.holds_lease());
    disk_is_full = false;
    REQUIRE(holds_within(seconds(5),
                         [&f]
                         {
                             return f.holds_lease();
                         }));
    CHECK(f.replica.status().term > before);
    f.replica.stop();
}
