/// @file
/// @brief The age of an event that a process notices after it did not run.
///
/// Guards against an order that is carried out seconds after its operator has gone on: a process that was
/// stopped took a request that had waited in its socket for one that had just arrived.

#include "plumspoke/time/pause_detector.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

namespace
{

constexpr auto tick_interval = milliseconds(100);
const time_point start = from_microseconds(0);

/// @brief Ticks regularly from one time until another, both included.
void tick(pause_detector& detector, time_point from, time_point until)
{
    for (time_point at = from; at <= until; at += tick_interval)
    {
        detector.tick(at);
    }
}

} // namespace

TEST_CASE("without a pause an event is as old as the time since it was noticed")
{
    pause_detector detector(start, tick_interval);
    CHECK(detector.max_age(start, start) == duration::zero());
    tick(detector, start, start + seconds(5));
    const time_point noticed_at = start + seconds(5) + milliseconds(30);
    CHECK(detector.max_age(noticed_at, noticed_at) == duration::zero());
    CHECK(detector.max_age(noticed_at + milliseconds(50), noticed_at) == milliseconds(50));
}

TEST_CASE("an event that is noticed right after a pause may have arrived when it began")
{
    pause_detector detector(start, tick_interval);
    tick(detector, start, start + seconds(5));
    const time_point resumed_at = start + seconds(8);

    SECTION("before the ticking thread has run again")
    {
        CHECK(detector.max_age(resumed_at, resumed_at) == seconds(3));
        CHECK(detector.max_age(resumed_at + milliseconds(20), resumed_at) == milliseconds(3020));
    }

    SECTION("after it has run")
    {
        tick(detector, resumed_at, resumed_at + milliseconds(300));
        const time_point noticed_at = resumed_at + milliseconds(300);
        CHECK(detector.max_age(noticed_at, noticed_at) == milliseconds(3300));
    }

    SECTION("but not once the process has caught up")
    {
        tick(detector, resumed_at, resumed_at + seconds(2));
        const time_point noticed_at = resumed_at + seconds(2);
        CHECK(detector.max_age(noticed_at, noticed_at) == duration::zero());
    }

    SECTION("and not if it was noticed before the pause")
    {
        tick(detector, resumed_at, resumed_at + milliseconds(100));
        const time_point noticed_at = start + milliseconds(4900);
        CHECK(detector.max_age(resumed_at, noticed_at) == milliseconds(3100));
    }
}

TEST_CASE("pauses in series count as one")
{
    pause_detector detector(start, tick_interval);
    tick(detector, start, start + seconds(5));
    detector.tick(start + milliseconds(5900));
    detector.tick(start + milliseconds(6000));
    detector.tick(start + milliseconds(7000));
    const time_point noticed_at = start + milliseconds(7010);
    CHECK(detector.max_age(noticed_at, noticed_at) == milliseconds(2010));
}
