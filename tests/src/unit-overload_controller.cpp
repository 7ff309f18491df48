/// @file
/// @brief Overload control: when a leader counts as overloaded, and which load it sheds.

#include "dispatcher_fixture.hpp"
#include "plumspoke/dispatch/overload_controller.hpp"

#include <algorithm>

using namespace plumspoke;
using dispatch::overload_controller;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

constexpr auto check_interval = milliseconds(25);

/// @brief Records checks on time, except for one late check in every `late_one_in`.
/// @return the number of checks after which jobs are refused
int count_refusals(overload_controller& controller, int checks, int late_one_in, duration late)
{
    time_point now{seconds(1000)};
    int refused = 0;
    for (int i = 1; i <= checks; ++i)
    {
        now += check_interval;
        controller.record(now, i % late_one_in == 0 ? late : duration(0));
        refused += controller.refuses_jobs(now) ? 1 : 0;
    }
    return refused;
}

} // namespace

TEST_CASE("a leader that is occasionally late keeps accepting jobs")
{
    overload_controller controller;
    CHECK(count_refusals(controller, 800, 36, milliseconds(160)) == 0);
}

TEST_CASE("two separate pauses within a second don't make the leader refuse jobs")
{
    overload_controller controller;
    const time_point start{seconds(1000)};
    controller.record(start, seconds(5)); // the process was suspended
    for (auto passed = check_interval; passed < milliseconds(950); passed += check_interval)
    {
        controller.record(start + passed, duration(0));
    }
    controller.record(start + milliseconds(950), milliseconds(160));
    CHECK_FALSE(controller.refuses_jobs(start + milliseconds(950)));
    CHECK_FALSE(controller.refuses_jobs(start + milliseconds(1500)));
}

TEST_CASE("a constantly late leader refuses jobs after a second and recovers")
{
    overload_controller controller;
    time_point now{seconds(1000)};
    const time_point start = now;
    for (; now < start + milliseconds(1000); now += milliseconds(200))
    {
        controller.record(now, milliseconds(200));
        CHECK_FALSE(controller.refuses_jobs(now));
    }
    controller.record(now, milliseconds(200));
    CHECK(controller.refuses_jobs(now));
    CHECK(controller.starts_allowed() < 32);
    for (int i = 0; i < 60; ++i)
    {
        now += check_interval;
        controller.record(now, duration(0));
    }
    CHECK_FALSE(controller.refuses_jobs(now));
    CHECK(controller.starts_allowed() == 512);
}

TEST_CASE("an overloaded leader still starts work of low priority that has waited long")
{
    fixture f;
    for (int i = 0; i < 40; ++i)
    {
        f.announce("w" + std::to_string(i));
    }
    f.decide();
    f.answer_polls();
    for (int i = 0; i < 10; ++i)
    {
        f.leader.record_lateness(f.now, milliseconds(300));
    }
    f.submit({}, "low", 2);
    bool granted = false;
    for (int i = 0; i < 60 && !granted; ++i) // 6 s
    {
        jobs::step_spec five;
        five.task_count = 5;
        f.submit(five, "high" + std::to_string(i));
        f.leader.record_lateness(f.now, milliseconds(300));
        f.decide(milliseconds(100));
        for (const dispatch::planned_round& planned : f.rounds)
        {
            granted = granted || std::any_of(planned.command.starts.begin(),
                                             planned.command.starts.end(),
                                             [](const jobs::run_started& one)
                                             {
                                                 return one.name.task.job == "low";
                                             });
        }
        f.commit();
        f.answer_polls();
    }
    CHECK(granted);
}

TEST_CASE("the start limit of an overloaded leader applies within a step")
{
    fixture f;
    for (int i = 0; i < 40; ++i)
    {
        f.announce("w" + std::to_string(i));
    }
    f.decide();
    f.answer_polls();
    for (int i = 0; i < 10; ++i)
    {
        f.leader.record_lateness(f.now, milliseconds(300));
    }
    jobs::step_spec wide;
    wide.task_count = 80;
    f.submit(wide);
    f.decide();
    CHECK(f.starts_proposed() > 0);
    CHECK(f.starts_proposed() <= 8);
}

TEST_CASE("the delay of polls after ends grows with the lateness of the leader")
{
    overload_controller controller;
    time_point now{seconds(1000)};
    const auto delay = [&controller]
    {
        return controller.poll_delay_after_ends(milliseconds(80), milliseconds(500));
    };
    CHECK(delay() == milliseconds(80));
    controller.record(now, milliseconds(30));
    CHECK(delay() == milliseconds(80));
    controller.record(now, milliseconds(90));
    CHECK(delay() == milliseconds(290)); // halfway to the lateness limit
    controller.record(now, milliseconds(400));
    CHECK(delay() == milliseconds(500));
    for (int i = 0; i < 30; ++i)
    {
        controller.record(now += check_interval, duration(0));
    }
    CHECK(delay() == milliseconds(80));
}
