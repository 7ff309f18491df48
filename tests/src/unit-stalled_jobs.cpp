/// @file
/// @brief The log tells which jobs stand still although they could run, and only those.

#include "pool_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

// Counts the lines over some seconds.
std::size_t count_stalled(pool_fixture& pool, duration time)
{
    std::size_t count = 0;
    for (const time_point end = pool.f.now + time; pool.f.now < end;)
    {
        pool.advance(milliseconds(100));
        count += static_cast<std::size_t>(std::count_if(pool.f.events.begin(),
                                                        pool.f.events.end(),
                                                        [](const logging::event& line)
                                                        {
                                                            return line.name() == "job_stalled";
                                                        }));
    }
    return count;
}

jobs::step_spec make_filler()
{
    jobs::step_spec step;
    step.filler = true;
    step.image = "filler";
    return step;
}

} // namespace

TEST_CASE("a job whose starts no worker carries out is reported once it has waited for 3 s")
{
    pool_fixture pool(2);
    pool.never_begun.insert({"filling", 0});
    pool.submit("filling", make_filler());
    CHECK(count_stalled(pool, milliseconds(2800)) == 0);
    CHECK(count_stalled(pool, seconds(2)) >= 1);
}

TEST_CASE("a job that runs, or that no worker has room for, isn't reported as stalled")
{
    pool_fixture pool(2);
    SECTION("runs")
    {
        pool.submit("filling", make_filler());
    }
    SECTION("runs in part")
    {
        jobs::step_spec step = make_filler();
        step.task_count = 3;
        step.max_per_worker = 1;
        pool.submit("filling", step);
    }
    SECTION("needs more memory than two workers have")
    {
        jobs::step_spec step = make_filler();
        step.needs = {1000, 65'000, 0};
        pool.submit("filling", step);
    }
    SECTION("needs a label that no worker has")
    {
        jobs::step_spec step = make_filler();
        step.required_label = "absent";
        pool.submit("filling", step);
    }
    SECTION("waits in a pool that is mostly in use")
    {
        pool.submit("lasting", make_lasting_step(2, 9000));
        pool.advance(seconds(2));
        jobs::step_spec step = make_filler();
        step.needs = {8000, 100, 0};
        pool.submit("filling", step);
    }
    CHECK(count_stalled(pool, seconds(8)) == 0);
}
