/// @file
/// @brief What callers and daemons do while nobody leads.
///
/// Symptom: with no leader for ten seconds, 522 calls were answered with "undecided" and 398 ran into their
/// own limits; 147 entries opened so many connections that control VMs ran out of descriptors. Sequence: a
/// call waits at its entry for a leader until its own limit; each entry searches ten times a second and
/// connects anew to each address that didn't answer the last time.
/// Cause: neither the wait nor the search knew for how long nobody had led.

#include "plumspoke/job_server/leader_backoff.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace plumspoke;
using namespace plumspoke::job_server;

TEST_CASE("a call waits for an election, and no longer")
{
    const leader_timeout caller = leader_timeout::for_caller(0.2);
    CHECK(caller.wait_limit(milliseconds(2800), milliseconds(100)) == milliseconds(1400));
    CHECK(caller.wait_limit(milliseconds(2800), milliseconds(2400)) == milliseconds(1400));
    CHECK(caller.wait_limit(milliseconds(2800), milliseconds(2500)) == milliseconds(150));
    CHECK(caller.wait_limit(milliseconds(100), seconds(10)) == milliseconds(100));
    // With most threads taken by calls that wait, the rest gives refusals.
    CHECK(leader_timeout::for_caller(0.8).wait_limit(milliseconds(2800), milliseconds(0)) ==
          milliseconds(150));
    // A control VM's own calls have short limits and wait for these.
    CHECK(leader_timeout().wait_limit(milliseconds(800), seconds(10)) == milliseconds(800));
}

TEST_CASE("hundreds of daemons search at different times, a few times a second each")
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
    CHECK(searches < 30); // 100 before
    one.reset();
    CHECK(one.next(0.5) == milliseconds(100));
}

TEST_CASE("a connection that worked is replaced at once, a fresh one that doesn't less and less often")
{
    const time_point start{seconds(1000)};
    reconnect_backoff pace;
    CHECK(pace.may_reconnect(start, true));
    int replaced = 0;
    for (int ms = 0; ms < 10'000; ms += 300)
    {
        replaced += pace.may_reconnect(start + milliseconds(ms), false) ? 1 : 0;
    }
    CHECK(replaced <= 9); // 34 before, one for each question that timed out
    // One that answered after all, and went silent again.
    CHECK(pace.may_reconnect(start + milliseconds(10'001), true));
    CHECK_FALSE(pace.may_reconnect(start + milliseconds(10'100), false));
    CHECK(pace.may_reconnect(start + milliseconds(10'250), false));
}

TEST_CASE("those who were refused together don't return together")
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
