/// @file
/// @brief The registry of submits in flight.
///
/// Guards against a job that runs although a submit of it was refused: the leader refused the submit because
/// it was overloaded, and another submit of the same id was committed after this one had looked the job up.

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
    const in_flight_submits::entry third(submits, "a");
    first.reset();
    CHECK(second.has_duplicate());
    CHECK(third.has_duplicate());
    CHECK(submits.contains("a"));
    CHECK_FALSE(submits.contains("c"));
    CHECK_FALSE(other.has_duplicate());
}

TEST_CASE("a submit remembers another one of its id that has ended since it was registered")
{
    in_flight_submits submits;
    auto first = std::make_unique<in_flight_submits::entry>(submits, "a");
    const auto second = std::make_unique<const in_flight_submits::entry>(submits, "a");
    first.reset(); // committed, after the second one has read that the job does not exist
    CHECK(second->has_duplicate());
    const in_flight_submits::entry other(submits, "b");
    CHECK_FALSE(other.has_duplicate());
}

TEST_CASE("a submit that is registered after another one of its id has ended has no duplicate")
{
    in_flight_submits submits;
    std::make_unique<in_flight_submits::entry>(submits, "a").reset();
    const in_flight_submits::entry second(submits, "a");
    CHECK_FALSE(second.has_duplicate());
}
