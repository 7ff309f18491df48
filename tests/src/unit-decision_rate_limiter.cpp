/// @file
/// @brief Rate of a leader's decisions, and their deferral in favour of heartbeats.
///
/// Guards against terms that end for lack of a lease renewal on a saturated leader whose VM and links are
/// sound. Consecutive decisions of tens of milliseconds keep heartbeats and their answers, which other
/// threads handle, waiting for the same processors, unless decisions are deferred while little of the lease
/// is left.

#include "plumspoke/dispatch/decision_rate_limiter.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using dispatch::decision_rate_limiter;

namespace
{

constexpr time_point start{seconds(1000)};

} // namespace

TEST_CASE("a decision is deferred while little is left of the leader's lease")
{
    decision_rate_limiter limiter;
    CHECK_FALSE(limiter.should_defer(start, milliseconds(600)));
    CHECK_FALSE(limiter.should_defer(start, milliseconds(250)));
    CHECK(limiter.should_defer(start, milliseconds(249)));
    CHECK(limiter.should_defer(start + milliseconds(150), milliseconds(100)));
    CHECK_FALSE(limiter.should_defer(start + milliseconds(175), milliseconds(580))); // renewed
}

TEST_CASE("with constantly slow peers, decisions are still made")
{
    decision_rate_limiter limiter;
    int decisions = 0;
    for (int ms = 0; ms < 2000; ms += 25)
    {
        decisions += limiter.should_defer(start + milliseconds(ms), milliseconds(200)) ? 0 : 1;
    }
    CHECK(decisions >= 8);
    CHECK(decisions <= 12);
}

TEST_CASE("a leader pauses for three times the duration of a decision, at most 50 ms")
{
    decision_rate_limiter limiter;
    limiter.record(start, start + milliseconds(4));
    CHECK(limiter.next_at() == start + milliseconds(16));
    limiter.record(start, start + milliseconds(40));
    CHECK(limiter.next_at() == start + milliseconds(90));
}
