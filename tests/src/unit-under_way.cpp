/// @file
/// @brief Which jobs are being made durable now.

#include "plumspoke/job_server/under_way.hpp"

#include <catch2/catch.hpp>
#include <memory>

using plumspoke::job_server::under_way;

TEST_CASE("a try of an id knows of others of the same id that are on their way")
{
    under_way submits;
    auto first = std::make_unique<under_way::entry>(submits, "a");
    CHECK_FALSE(first->has_other());
    const under_way::entry other(submits, "b");
    CHECK_FALSE(first->has_other());
    const under_way::entry second(submits, "a");
    CHECK(second.has_other());
    CHECK(first->has_other());
    first.reset();
    CHECK_FALSE(second.has_other());
    CHECK(submits.contains("a"));
    CHECK_FALSE(submits.contains("c"));
    CHECK_FALSE(other.has_other());
}
