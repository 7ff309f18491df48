/// @file
/// @brief Each job of fillers starts and makes progress while most of the workers' processors are free.
///
/// Guards against fillers that wait without an end beside serving tasks that are near or over their target.

#include "colocation_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

struct scenario
{
    int workers;
    int fillers;
    double own_ms;    // tail latency of the serving tasks without fillers
    double effect_ms; // that a filler adds
};

} // namespace

TEST_CASE("each job of fillers starts within 3 s while most of the pool is free")
{
    const auto [workers, fillers, own_ms, effect_ms] = GENERATE(scenario{2, 2, 20, 0},
                                                                scenario{2, 2, 45, 0},
                                                                scenario{2, 2, 45, 15},
                                                                scenario{2, 4, 45, 15},
                                                                scenario{2, 2, 60, 0},
                                                                scenario{4, 4, 70, 0},
                                                                scenario{2, 2, 60, 10});
    CAPTURE(workers, fillers, own_ms, effect_ms);
    colocation_fixture fleet(
        workers,
        [own = own_ms](duration)
        {
            return own;
        },
        effect_ms);
    fleet.submit_fillers(fillers);
    fleet.advance(seconds(60));
    CHECK(fleet.longest_first_wait() <= seconds(3));
    CHECK(fleet.least_work_s() > 3);
    CHECK(fleet.longest_harm() < colocation_fixture::harm_limit);
}
