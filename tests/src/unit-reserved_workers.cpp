/// @file
/// @brief A worker that is reserved for one task doesn't hold another task that is owed a start.

#include "pool_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

// Guards against tasks that fit only on a reserved worker and wait for as long as the reservation lasts.
TEST_CASE("a task that fits only on a reserved worker starts within 3 s in a pool that is mostly free")
{
    pool_fixture pool(5);
    for (const auto& [id, cpu_milli] : {std::pair{"w1", 2000}, {"w2", 3000}, {"w3", 3000}, {"w4", 3000}})
    {
        jobs::step_spec busy;
        busy.needs = {cpu_milli, 100, 0};
        busy.required_label = id;
        pool.submit(std::string("busy-") + id, busy);
    }
    pool.advance(seconds(1));
    pool.submit("lasting", make_lasting_step(1, 15'000));
    pool.advance(seconds(2));
    pool.silent = {"w5"};
    pool.advance(seconds(12)); // its run is lost, and no worker has room
    jobs::step_spec step;
    step.required_label = "w1";
    pool.submit("job", step);
    pool.advance(seconds(10));
    CHECK(pool.first_wait("job") <= seconds(3));
}
