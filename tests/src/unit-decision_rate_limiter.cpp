/// @file
/// @brief How often a leader decides, and when a decision gives way to heartbeats.
///
/// Symptom: terms ended for want of a renewed lease on a leader that used all of its processors, while its VM
/// and links were sound. Sequence: decisions of tens of milliseconds follow one another; heartbeats and their
/// answers, on other threads of the process, wait for a turn of the same processors, twice for each renewal.
/// Cause: a decision was made however little was left of the lease that it rests on.

#include "plumspoke/dispatch/decision_rate_limiter.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using dispatch::decision_rate_limiter;

namespace
{

constexpr time_point start{seconds(1000)};

} // namespace

TEST_CASE("a decision gives way while little is left of the leader's lease")
{
    decision_rate_limiter pace;
    CHECK_FALSE(pace.should_defer(start, milliseconds(600)));
    CHECK_FALSE(pace.should_defer(start, milliseconds(250)));
    CHECK(pace.should_defer(start, milliseconds(249)));
    CHECK(pace.should_defer(start + milliseconds(150), milliseconds(100)));
    CHECK_FALSE(pace.should_defer(start + milliseconds(175), milliseconds(580))); // renewed
}

TEST_CASE("where peers are always slow, decisions are made all the same")
{
    decision_rate_limiter pace;
    int decisions = 0;
    for (int ms = 0; ms < 2000; ms += 25)
    {
        decisions += pace.should_defer(start + milliseconds(ms), milliseconds(200)) ? 0 : 1;
    }
    CHECK(decisions >= 8);
    CHECK(decisions <= 12);
}

TEST_CASE("a leader rests for three times what a decision took, 50 ms at most")
{
    decision_rate_limiter pace;
    pace.record(start, start + milliseconds(4));
    CHECK(pace.next_at() == start + milliseconds(16));
    pace.record(start, start + milliseconds(40));
    CHECK(pace.next_at() == start + milliseconds(90));
}
