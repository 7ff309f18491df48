/// @file
/// @brief No task is starved by tasks of higher priority while a leader starts fewer tasks than arrive.

#include "pool_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

/// @brief A job of one short task, which is late if its start is delayed by more than a millisecond.
jobs::submit make_strict_job(const std::string& id)
{
    jobs::submit value;
    value.id = id;
    value.source_queue.service = "pool";
    value.source_queue.max_failures = 3;
    value.source_queue.objective_factor = 2;
    value.source_queue.objective_extra_ms = 1;
    jobs::step_spec step;
    step.needs = {1000, 100, 0};
    step.estimate_ms = 60'000;
    value.spec.steps.push_back(step);
    value.at_ms = day_ms;
    return value;
}

} // namespace

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

// Guards against fillers whose share of the starts is used up by short tasks, round after round.
TEST_CASE("a filler starts although short tasks use more starts than fillers may")
{
    pool_fixture pool(60);
    dispatch_options options;
    options.max_starts_per_round = 8;
    pool.f.leader = dispatcher(options);
    pool.f.leader.lead(pool.f.now, 7, pool.f.state);
    pool.advance(seconds(1));
    int submitted = 0;
    const auto advance = [&](duration time)
    {
        for (const time_point end = pool.f.now + time; pool.f.now < end;)
        {
            for (int i = 0; i < 3; ++i)
            {
                (void)pool.f.state.apply(make_strict_job("short-" + std::to_string(submitted++)));
            }
            pool.advance(milliseconds(100));
        }
    };
    advance(seconds(3));
    jobs::step_spec filler;
    filler.filler = true;
    filler.image = "filler";
    pool.submit("filling", filler, 5);
    advance(seconds(8));
    CHECK(pool.first_wait("filling") <= seconds(3));
}
