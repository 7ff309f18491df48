/// @file
/// @brief Timeouts and backoff of callers and daemons while there is no leader.
///
/// Guards against overload during ten seconds without a leader: 522 calls were answered "undecided" and 398
/// timed out, because each waited at its entry until its own deadline, and control VMs ran out of file
/// descriptors, because 147 entries searched ten times per second and reconnected to every address that had
/// not answered. Neither the wait nor the search took into account how long there had been no leader.

#include "plumspoke/job_server/leader_backoff.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace plumspoke;
using namespace plumspoke::job_server;

TEST_CASE("a call waits no longer than an election takes")
{
    const leader_timeout caller = leader_timeout::for_caller(0.2, false);
    CHECK(caller.wait_limit(milliseconds(2800), milliseconds(100)) == milliseconds(1400));
    CHECK(caller.wait_limit(milliseconds(2800), milliseconds(2400)) == milliseconds(1400));
    CHECK(caller.wait_limit(milliseconds(2800), milliseconds(2500)) == milliseconds(150));
    CHECK(caller.wait_limit(milliseconds(100), seconds(10)) == milliseconds(100));
    // When most threads are occupied by waiting calls, the remaining ones reject calls.
    CHECK(leader_timeout::for_caller(0.8, false).wait_limit(milliseconds(2800), milliseconds(0)) ==
          milliseconds(150));
    CHECK(leader_timeout::for_caller(0.2, true).wait_limit(milliseconds(2800), milliseconds(0)) ==
          milliseconds(150));
    // A control VM's own calls have short timeouts and wait for their whole duration.
    CHECK(leader_timeout().wait_limit(milliseconds(800), seconds(10)) == milliseconds(800));
}

TEST_CASE("searches of many daemons are spread, with a few per second each")
{
    std::vector<duration> first;
    for (int i = 0; i < 147; ++i)
    {
        search_backoff one;
        first.push_back(one.next(i / 147.0));
    }
    CHECK(*std::max_element(first.begin(), first.end()) - *std::min_element(first.begin(), first.end()) >
          milliseconds(95));
    search_backoff one;
    duration passed{};
    int searches = 0;
    for (; passed < seconds(10); ++searches)
    {
        passed += one.next(0.5);
    }
    CHECK(searches < 30); // without backoff: 100
    one.reset();
    CHECK(one.next(0.5) == milliseconds(100));
}

TEST_CASE("a connection that worked is replaced at once, others with exponential backoff")
{
    const time_point start{seconds(1000)};
    reconnect_backoff pace;
    CHECK(pace.may_reconnect(start, true));
    int replaced = 0;
    for (int ms = 0; ms < 10'000; ms += 300)
    {
        replaced += pace.may_reconnect(start + milliseconds(ms), false) ? 1 : 0;
    }
    CHECK(replaced <= 9); // without backoff: 34, one per query that timed out
    // A connection that answered after all and became unresponsive again.
    CHECK(pace.may_reconnect(start + milliseconds(10'001), true));
    CHECK_FALSE(pace.may_reconnect(start + milliseconds(10'100), false));
    CHECK(pace.may_reconnect(start + milliseconds(10'250), false));
}

TEST_CASE("callers rejected at the same time retry at different times")
{
    std::vector<int> by_second(4, 0);
    for (int i = 0; i < 1000; ++i)
    {
        const std::uint32_t ms = jittered_return_ms("/queue/" + std::to_string(i));
        REQUIRE(ms >= 500);
        REQUIRE(ms < 2500);
        ++by_second[(ms + 999) / 1000];
    }
    CHECK(by_second[1] > 150);
    CHECK(by_second[2] > 400);
    CHECK(by_second[3] > 150);
    CHECK(jittered_return_ms("/queue/1") == jittered_return_ms("/queue/1"));
}
