/// @file
/// @brief The registry of submits in flight.

#include "plumspoke/job_server/in_flight_submits.hpp"

#include <catch2/catch.hpp>
#include <memory>

using plumspoke::job_server::in_flight_submits;

TEST_CASE("a submit detects other submits of the same id in flight")
{
    in_flight_submits submits;
    auto first = std::make_unique<in_flight_submits::entry>(submits, "a");
    CHECK_FALSE(first->has_duplicate());
    const in_flight_submits::entry other(submits, "b");
    CHECK_FALSE(first->has_duplicate());
    const in_flight_submits::entry second(submits, "a");
    CHECK(second.has_duplicate());
    CHECK(first->has_duplicate());
    first.reset();
    CHECK_FALSE(second.has_duplicate());
    CHECK(submits.contains("a"));
    CHECK_FALSE(submits.contains("c"));
    CHECK_FALSE(other.has_duplicate());
}
