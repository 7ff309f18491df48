/// @file
/// @brief A term is led once: whoever has said that it leads no more leads again in a later term only.
///
/// Found by reading, while two tasks were looked into that stood still for two minutes. A leader whose disk
/// is full says at once that it leads no more; once there was room again it led on in the same term. Whoever
/// decides had begun anew by then: it read the state before what it had handed in earlier was committed, and
/// numbered its records from 1 again, so the answer to an earlier record settled another one. A run recorded
/// that way is followed by nobody.

#include "full_disk_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::replica;
using namespace plumspoke::replica::full_disk_test;

TEST_CASE("a leader whose disk was full leads again in a later term")
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
