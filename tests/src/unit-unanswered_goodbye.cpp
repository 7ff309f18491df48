/// @file
/// @brief A worker that has said goodbye may still run its tasks: they don't start elsewhere until it has
/// ended them.

#include "task_world.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

TEST_CASE("the tasks of a worker whose goodbye got no response don't run twice at once")
{
    test::task_faults faults;
    faults.drains_per_s = 0.05;
    faults.unanswered_goodbyes = 0.5;
    std::size_t completed = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        test::task_world world(seed, faults);
        world.submit_random(30, seconds(18));
        const test::task_outcome out = world.run(seconds(45));
        CAPTURE(seed, out.broken);
        CHECK(out.broken.empty());
        CHECK(out.open == 0);
        completed += out.completed;
    }
    CHECK(completed > 1000);
}
