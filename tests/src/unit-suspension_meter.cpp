/// @file
/// @brief The meter tells for how long the VM was suspended, and takes no pause of its process for a
/// suspension.

#include "suspendable_clock.hpp"

#include "plumspoke/time/suspension_meter.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace plumspoke;

TEST_CASE("the meter tells for how long the VM was suspended")
{
    suspension_meter meter;
    std::this_thread::sleep_for(milliseconds(20));
    CHECK(meter.take() == duration::zero());

    test::add_suspended_time(seconds(5));
    const duration first = meter.take();
    CHECK(first <= seconds(5));
    CHECK(first > seconds(5) - milliseconds(100));
    CHECK(meter.take() == duration::zero());

    test::add_suspended_time(milliseconds(300));
    CHECK(meter.take() > milliseconds(200));
}
