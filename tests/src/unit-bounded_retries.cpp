/// @file
/// @brief A task that goes wrong on every worker is not retried immediately and without bound.
///
/// Guards against unbounded retries: only failures counted against a task's budget, rejected starts and moves
/// did not. A task slower than the others of its step was stopped as a straggler at 3 percent on each worker
/// in turn and never finished; a task that makes no progress anywhere was moved every 1.6 s and its workers
/// were blamed; a start that every worker rejects was recorded and resent in the next decision.

#include "dispatcher_fixture.hpp"
#include "task_world.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch::dispatcher_test;
using test::task_faults;
using test::task_outcome;
using test::task_world;

namespace
{

jobs::job_spec make_job_spec(std::uint32_t tasks)
{
    jobs::step_spec step;
    step.task_count = tasks;
    step.needs = {1000, 100, 0};
    step.estimate_ms = 1000;
    jobs::job_spec spec;
    spec.steps.push_back(step);
    return spec;
}

task_faults no_faults()
{
    task_faults faults;
    faults.failures = 0;
    return faults;
}

} // namespace

TEST_CASE("a task that is slower than the others of its step on every worker still completes")
{
    const std::uint64_t seed = GENERATE(range(1, 9));
    task_world world(seed, no_faults());
    world.submit(seconds(1), make_job_spec(8), "job");
    for (std::uint32_t index = 0; index < 8; ++index)
    {
        world.make_slow({"job", 0, 0, index}, index == 3 ? seconds(20) : seconds(1));
    }
    const task_outcome seen = world.run(seconds(40), 8);
    INFO("seed " << seed << ", " << seen.starts << " starts");
    CHECK(seen.broken.empty());
    CHECK(seen.completed == 1);
    CHECK(seen.starts <= 8 + 2);
}

TEST_CASE("a task without progress on any worker is moved at growing intervals, and no worker is blamed")
{
    const std::uint64_t seed = GENERATE(range(1, 9));
    task_world world(seed, no_faults());
    jobs::job_spec large = make_job_spec(1);
    large.steps[0].needs.cpu_milli =
        9000; // one task per worker: several stalled tasks on one worker would count against it
    for (int i = 0; i < 4; ++i)
    {
        const std::string id = "job" + std::to_string(i);
        world.submit(seconds(1), large, id);
        world.make_slow({id, 0, 0, 0}, std::chrono::hours(1));
    }
    const task_outcome seen = world.run(seconds(60), 8);
    INFO("seed " << seed << ", " << seen.starts << " starts");
    CHECK(seen.broken.empty());
    CHECK(seen.starts <= 4 * 6);
    CHECK(world.leader().counts().workers_set_aside == 0);
}

TEST_CASE("a start that every worker rejects is retried with backoff")
{
    fixture f;
    for (int i = 0; i < 8; ++i)
    {
        f.announce("w" + std::to_string(i));
    }
    f.decide();
    f.answer_polls();
    f.submit({});
    const dispatch::reply how = GENERATE(dispatch::reply::malformed, dispatch::reply::no_room);
    std::size_t starts = 0;
    constexpr auto step = milliseconds(25);
    constexpr auto span = seconds(10);
    for (duration passed{}; passed < span; passed += step)
    {
        f.decide(step);
        const std::vector<dispatch::start_order> sent = f.sent<dispatch::start_order>();
        starts += sent.size();
        for (const dispatch::start_order& one : sent)
        {
            f.answer(one, {how, {}, {}, {}});
        }
        f.answer_polls();
        f.commit();
        if (passed % seconds(1) == duration{})
        {
            for (int i = 0; i < 8; ++i)
            {
                f.announce("w" + std::to_string(i));
            }
        }
    }
    CHECK(starts >= 10); // the backoff is at most one second
    CHECK(starts <= 20);
}
