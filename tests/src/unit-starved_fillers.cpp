/// @file
/// @brief Each job of fillers has one of them at work while more of them are accepted than fit.
///
/// Guards against fillers that never find as many free processors as they ask for, although a filler's
/// processors aren't reserved: smaller ones and those of begun jobs take each place that becomes free.

#include "dispatcher_fixture.hpp"
#include "task_world.hpp"

using namespace plumspoke;

namespace
{

constexpr std::size_t workers = 9; // of 16 processors
constexpr std::uint64_t seeds = 10;

jobs::job_spec make_fillers(std::uint32_t tasks, std::int64_t cpu_milli)
{
    jobs::step_spec step;
    step.filler = true;
    step.image = "filler";
    step.task_count = tasks;
    step.needs = {cpu_milli, 500, 0};
    step.estimate_ms = 2000;
    return {"", {step}};
}

// Lasting tasks on 37% of the processors, and half as many fillers again as fit on the others.
void submit_backlog(test::task_world& world, std::int64_t large_milli, bool gangs)
{
    jobs::step_spec lasting;
    lasting.lasting = true;
    lasting.task_count = workers;
    lasting.max_per_worker = 1;
    lasting.needs = {6000, 500, 0};
    world.submit(duration{}, {"", {lasting}}, "lasting");
    for (int i = 0; i < 90; ++i)
    {
        world.submit(seconds(3) + i * milliseconds(333), make_fillers(12, 2000), "small" + std::to_string(i));
    }
    for (int i = 0; i < 12; ++i)
    {
        jobs::job_spec large = make_fillers(3, large_milli);
        large.steps[0].gang = gangs;
        world.submit(seconds(6) + i * seconds(2), large, "large" + std::to_string(i));
    }
}

void check_seeds(std::int64_t large_milli, bool gangs, const test::disruption_series& series)
{
    test::task_faults faults;
    faults.failures = 0;
    std::size_t armed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        test::task_world world(seed, faults);
        world.report_held_jobs();
        submit_backlog(world, large_milli, gangs);
        if (!series.kinds.empty())
        {
            world.disrupt(series);
        }
        const test::task_outcome out = world.run(seconds(50), workers);
        CAPTURE(seed, out.broken);
        CHECK(out.broken.empty());
        armed += out.armed(test::wait_kind::filler);
    }
    CHECK(armed >= 100 * seeds);
}

} // namespace

TEST_CASE("a job of large fillers starts within 3 s behind a backlog of small ones")
{
    const std::int64_t large_milli = GENERATE(4000, 9000);
    check_seeds(large_milli, false, {});
}

TEST_CASE("a job of fillers that need more than any worker has left starts within 3 s")
{
    check_seeds(14'000, false, {});
}

TEST_CASE("a gang of fillers starts within 3 s behind a backlog of small ones")
{
    check_seeds(4000, true, {});
}

TEST_CASE("a job of fillers starts within 3 s behind a backlog after a loss of power")
{
    test::disruption_series series;
    series.kinds = {test::disruption::loss_of_power};
    series.first = seconds(20);
    series.until = seconds(21);
    series.most = 1;
    check_seeds(9000, false, series);
}

TEST_CASE("a job of brief large fillers always has one of them at work behind a backlog of small ones")
{
    constexpr std::uint32_t tasks = 20;
    test::task_faults faults;
    faults.failures = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        test::task_world world(seed, faults);
        submit_backlog(world, 4000, false);
        world.submit(seconds(15), make_fillers(tasks, 9000), "brief");
        for (std::uint32_t index = 0; index < tasks; ++index)
        {
            world.make_slow({"brief", 0, 0, index}, milliseconds(300));
        }
        // Three times as long as they take one after the other.
        const test::task_outcome out = world.run(seconds(15) + 3 * tasks * milliseconds(300), workers);
        CAPTURE(seed, out.broken);
        CHECK(out.broken.empty());
        CHECK(world.state().find("brief")->phase == jobs::job_phase::completed);
    }
}

TEST_CASE("one filler of a job shares the processors of others, also after a pause of the leader")
{
    dispatch::dispatcher_test::fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    jobs::step_spec small;
    small.filler = true;
    small.image = "filler";
    small.task_count = 16;
    f.submit(small, "small");
    f.decide();
    REQUIRE(f.starts_proposed() == 16);
    f.commit();
    f.decide();
    for (const dispatch::order& one : std::vector<dispatch::order>(f.orders))
    {
        f.answer(one, {dispatch::reply::done, {}, {}, {}});
    }
    jobs::step_spec large = small;
    large.task_count = 5;
    large.needs = {4000, 100, 0};
    f.submit(large, "large");
    const duration pause = GENERATE(duration(milliseconds(25)), duration(milliseconds(1500)));
    f.decide(pause);
    CHECK(f.starts_proposed() == 1);
}
