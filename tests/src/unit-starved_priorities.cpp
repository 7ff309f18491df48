/// @file
/// @brief No task is starved by tasks of higher priority while a leader starts fewer tasks than arrive.

#include "pool_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

// Guards against starts beyond the limit that always go to the highest priorities.
TEST_CASE("a task of low priority starts although more tasks of high priority arrive than are started")
{
    pool_fixture pool(60);
    dispatch_options options;
    options.max_starts_per_round = 1;
    pool.f.leader = dispatcher(options);
    pool.f.leader.lead(pool.f.now, 7, pool.f.state);
    pool.advance(seconds(1));
    int submitted = 0;
    const auto advance = [&](duration time)
    {
        for (const time_point end = pool.f.now + time; pool.f.now < end;)
        {
            for (int i = 0; i < 8; ++i)
            {
                pool.submit("urgent-" + std::to_string(submitted++), {}, 0);
            }
            pool.advance(milliseconds(100));
        }
    };
    advance(seconds(3));
    pool.submit("low", {}, 5);
    advance(seconds(8));
    CHECK(pool.first_wait("low") <= seconds(5)); // by its turn among all that wait
}
