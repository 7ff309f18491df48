/// @file
/// @brief A job's wait doesn't begin anew while none of its tasks is at work.

#include "colocation_fixture.hpp"
#include "plumspoke/dispatch/job_idle_times.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

// Guards against waits that are forgotten between decisions.
TEST_CASE("a task that is owed a start gets it although decisions are more than 1 s apart")
{
    constexpr double near_target_ms = 45;
    colocation_fixture fleet(
        2,
        [](duration)
        {
            return near_target_ms;
        },
        0);
    fleet.tick = milliseconds(1200);
    fleet.submit_fillers(1);
    fleet.advance(seconds(20));
    // A decision sees the job, one grants the start, and the next one orders it.
    CHECK(fleet.longest_first_wait() <= seconds(3) + 2 * fleet.tick);
}

TEST_CASE("a run that was never at work doesn't end its job's wait")
{
    job_idle_times times;
    times.begin_placement(true);
    (void)times.record(start, "job", job_activity::idle);
    times.begin_placement(true);
    CHECK(times.record(start + seconds(1), "job", job_activity::starting) == duration{});
    for (int i = 0; i < 10; ++i)
    {
        times.begin_placement(true); // none of its tasks waits
    }
    times.remove_run("job", time_point{}, start + seconds(1));
    times.begin_placement(true);
    CHECK(times.record(start + seconds(3), "job", job_activity::idle) == seconds(3));
}

TEST_CASE("a job waits since its last run was known to be at work")
{
    job_idle_times times;
    times.begin_placement(true);
    (void)times.record(start, "job", job_activity::idle);
    times.remove_run("job", start + seconds(5), start + seconds(1));
    times.begin_placement(true);
    CHECK(times.record(start + seconds(9), "job", job_activity::idle) == seconds(4));
}

TEST_CASE("a job waits for the start of a new occurrence only since it is due")
{
    job_idle_times times;
    times.begin_placement(true);
    (void)times.record(start, "job", job_activity::idle);
    times.remove_run("job", start + seconds(1), start);
    times.begin_placement(true);
    times.begin_placement(true);
    CHECK(times.record(start + seconds(60), "job", job_activity::idle) == duration{});
}
