/// @file
/// @brief The reports of a worker that restarts under its id are processed; its earlier runs count as lost.
///
/// Guards against a leader that starts finished tasks again. A restarted worker numbers its finished runs
/// from 1 again, while the leader has recorded runs up to a higher number for the previous process, for
/// example 11. The leader skipped the first finished runs as known until their numbers exceeded that value,
/// and then told the worker to forget them: their tasks were in neither list and considered lost, several of
/// them in the same millisecond. If the numbers never reached that value, the tasks waited until the end of
/// the day, with no run unconfirmed and none reported as waiting for capacity. A life of a worker is
/// identified by its id and time of birth; clocks may be set back, so times of birth don't order lives.

#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

const jobs::resources full_capacity{16'000, 64'000, 0};

/// @brief A leader and a worker whose process restarts at the same address.
struct restart_fixture : fixture
{
    /// @brief Replaces the process of the worker by a new one and announces it.
    void start_process(const fleet::worker_life& life, jobs::resources capacity = full_capacity)
    {
        current_life = life;
        clock_ms = 3000;
        sequence = 0;
        running.clear();
        finished.clear();
        announced_resources = capacity;
        send_announcement();
    }

    void send_announcement()
    {
        announce_life(current_life, ++sequence, announced_resources);
    }

    /// @brief Runs decision rounds of 50 ms; the worker answers and carries out the orders that reach it.
    void run_rounds(int count = 4)
    {
        for (int i = 0; i < count; ++i)
        {
            decide(milliseconds(50));
            clock_ms += 50;
            for (const poll_order& one : std::exchange(open_polls, {}))
            {
                reply_to(one);
            }
            for (const order& one : std::vector<order>(orders))
            {
                reply_to(one);
            }
            commit();
        }
    }

    void reply_to(const order& what)
    {
        worker_answer response;
        response.how = reply::done;
        const recipient& to = std::visit(
            [](const auto& one) -> const recipient&
            {
                return one.to;
            },
            what);
        if (!reaches(to, current_life))
        {
            response.how = reply::other_life;
            response.born_ms = current_life.born_ms;
            leader.answered(now, {what, now}, response);
            return;
        }
        response.clock_ms = clock_ms;
        if (const auto* start_of = std::get_if<start_order>(&what))
        {
            last_start = *start_of;
            started.push_back(start_of->name);
            running.push_back({start_of->name, "", 10, 0});
        }
        if (const auto* stop_of = std::get_if<stop_order>(&what))
        {
            stopped.push_back(stop_of->name);
            finish_run(stop_of->name, jobs::run_end::stopped);
        }
        if (const auto* hold = std::get_if<poll_order>(&what))
        {
            response.born_ms = current_life.born_ms;
            std::erase_if(finished,
                          [hold](const finished_row& row)
                          {
                              return row.number <= hold->ends_recorded;
                          });
            response.running = running;
            response.finished = finished;
        }
        leader.answered(now, {what, now}, response);
    }

    void finish_run(const jobs::run_name& name, jobs::run_end how)
    {
        const auto removed = std::erase_if(running,
                                           [&name](const running_row& row)
                                           {
                                               return row.name == name;
                                           });
        if (removed > 0)
        {
            finished.push_back({++finished_count, name, how, {}});
        }
    }

    void finish_all(jobs::run_end how)
    {
        for (const running_row& row : std::vector<running_row>(running))
        {
            finish_run(row.name, how);
        }
    }

    /// @brief Runs a job with this number of tasks to completion on the current process.
    void run_job(const std::string& id, std::uint32_t tasks)
    {
        jobs::step_spec step;
        step.task_count = tasks;
        submit(step, id);
        run_rounds();
        REQUIRE(running.size() == tasks);
        finish_all(jobs::run_end::done);
        run_rounds(8);
        REQUIRE(state.find(id)->phase == jobs::job_phase::completed);
    }

    fleet::worker_life current_life;
    jobs::resources announced_resources;
    std::int64_t clock_ms = 900'000;
    std::uint64_t sequence = 0;
    std::uint64_t finished_count = 0;
    std::vector<running_row> running;
    std::vector<finished_row> finished;
    std::vector<jobs::run_name> started;
    std::vector<jobs::run_name> stopped;
    start_order last_start;
};

const jobs::task& first_task_of(const restart_fixture& f, const std::string& job)
{
    return f.state.find(job)->occurrences.at(0).steps.at(0).tasks.at(0);
}

} // namespace

TEST_CASE("the first finished runs after a restart are processed and their tasks aren't started again")
{
    restart_fixture f;
    f.start_process({"w", 50'000});
    f.clock_ms = 900'000;
    f.run_rounds();
    f.run_job("before", 5);
    const std::int64_t born_ms = GENERATE(50'900, 49'000); // the clock may have been set back in between
    f.finished_count = 0;
    f.start_process({"w", born_ms});
    f.run_rounds();
    f.run_job("after", 2); // runs 1 and 2, below the 5 processed for the previous process
    f.run_rounds(40);
    CHECK(f.started.size() == 7); // each task once
    CHECK(f.finished.empty());    // the leader has acknowledged them
}

TEST_CASE("the announcement of a restarted worker takes effect at once")
{
    restart_fixture f;
    f.start_process({"w", 50'000});
    for (int i = 0; i < 30; ++i)
    {
        f.send_announcement();
    }
    f.run_rounds();
    f.start_process({"w", 49'000}, {2000, 64'000, 0}); // smaller capacity than before
    f.run_rounds();
    jobs::step_spec large;
    large.needs = {8000, 100, 0};
    f.submit(large, "large");
    jobs::step_spec small;
    f.submit(small, "small");
    f.run_rounds();
    CHECK(first_task_of(f, "large").runs.empty());
    CHECK(first_task_of(f, "small").runs.size() == 1);
}

TEST_CASE("leases are set on the clock of the current process")
{
    restart_fixture f;
    f.start_process({"w", 50'000});
    f.clock_ms = 900'000;
    f.run_rounds();
    f.start_process({"w", 51'000});
    f.run_rounds();
    f.submit({}, "job");
    f.run_rounds();
    REQUIRE(f.running.size() == 1);
    CHECK(f.last_start.lease_until_ms < f.clock_ms + 5000);
}

TEST_CASE("a restart counts as a crash of the worker and ends its runs")
{
    restart_fixture f;
    f.start_process({"w", 50'000});
    f.run_rounds();
    f.submit({}, "job");
    f.run_rounds();
    REQUIRE(f.running.size() == 1);
    SECTION("detected by the leader that ordered the run")
    {
        f.start_process({"w", 51'000});
        f.run_rounds();
        CHECK(f.leader.counts().workers_crashed == 1);
    }
    SECTION("detected by the next leader, from the replicated state")
    {
        f.leader.lead(f.now, 8, f.state);
        f.open_polls.clear();
        f.start_process({"w", 51'000});
        f.run_rounds();
    }
    SECTION("detected by the next leader, from a snapshot")
    {
        const std::string saved = f.state.save();
        REQUIRE(f.state.restore(saved));
        f.leader.lead(f.now, 8, f.state);
        f.open_polls.clear();
        f.start_process({"w", 51'000});
        f.run_rounds();
    }
    CHECK(first_task_of(f, "job").evidence.crashes == 1);
    CHECK(first_task_of(f, "job").last_attempt == 2);
    CHECK(f.running.size() == 1);
}

TEST_CASE("a start that may arrive late is stopped on the restarted worker before its task is granted again")
{
    restart_fixture f;
    f.start_process({"w", 50'000});
    f.run_rounds();
    f.submit({}, "job");
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1);
    const start_order late = f.sent<start_order>().at(0);
    f.leader.answered(f.now, {late, f.now}, {});
    f.start_process({"w", 51'000});
    f.run_rounds(1);
    if (f.stopped.empty())
    {
        CHECK(first_task_of(f, "job").last_attempt == 1); // the run isn't considered lost yet
    }
    f.run_rounds();
    REQUIRE_FALSE(f.stopped.empty());
    CHECK(f.stopped.front() == late.name);
    CHECK(first_task_of(f, "job").last_attempt == 2);
}

TEST_CASE(
    "a start that may arrive late is stopped on the restarted worker although a later attempt was answered")
{
    restart_fixture f;
    f.start_process({"w", 50'000});
    f.run_rounds();
    f.submit({}, "job");
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1);
    const start_order late = f.sent<start_order>().at(0);
    f.leader.answered(f.now, {late, f.now}, {});
    SECTION("by the answer to that attempt")
    {
        f.run_rounds();
        REQUIRE(f.started.size() == 1);
    }
    SECTION("by the list of its runs")
    {
        f.running.push_back({late.name, "", 10, 0});
        f.run_rounds(1);
    }
    REQUIRE(f.leader.runs().at(late.name).stage == run_stage::running);
    f.start_process({"w", 51'000});
    for (int i = 0; i < 8 && f.stopped.empty(); ++i)
    {
        CHECK(first_task_of(f, "job").last_attempt == 1);
        f.run_rounds(1);
    }
    f.run_rounds();
    REQUIRE_FALSE(f.stopped.empty());
    CHECK(f.stopped.front() == late.name);
    CHECK(first_task_of(f, "job").last_attempt == 2);
    CHECK(first_task_of(f, "job").evidence.crashes == 1);
}

TEST_CASE("a task is not granted again while the restarted worker may carry out an earlier leader's start")
{
    restart_fixture f;
    f.start_process({"w", 50'000});
    f.run_rounds();
    f.submit({}, "job");
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1);
    const jobs::run_name late = f.sent<start_order>().at(0).name;
    f.leader.lead(f.now, 8, f.state);
    f.open_polls.clear();
    f.start_process({"w", 51'000});
    f.decide();
    for (const poll_order& one : std::exchange(f.open_polls, {}))
    {
        if (!f.reaches(one.to, f.current_life))
        {
            f.reply_to(one);
        }
    }
    f.decide();
    for (const stop_order& one : f.sent<stop_order>())
    {
        f.answer(one, {});
    }
    f.commit();
    CHECK(first_task_of(f, "job").runs.size() == 1);
    SECTION("it has carried it out")
    {
        f.running.push_back({late, "", 10, 0});
        f.open_polls.push_back({{f.current_life, "address"}, 8, {}, 0, 0});
        f.run_rounds(20);
        REQUIRE_FALSE(f.stopped.empty());
        CHECK(f.stopped.front() == late);
    }
    SECTION("it answers without it, so that an older fencing token has no effect")
    {
        f.open_polls.push_back({{f.current_life, "address"}, 8, {}, 0, 0});
        f.run_rounds(20);
    }
    SECTION("it never answers")
    {
        const auto pass = [&f](int rounds)
        {
            for (int i = 0; i < rounds; ++i)
            {
                f.decide(milliseconds(50));
                f.commit();
            }
        };
        pass(400);
        CHECK(first_task_of(f, "job").runs.size() == 1); // a late start may still run
        pass(100);
        CHECK(first_task_of(f, "job").runs.empty());
        return;
    }
    CHECK(first_task_of(f, "job").last_attempt == 2);
    CHECK(first_task_of(f, "job").evidence.crashes == 1);
}

TEST_CASE("a stop that the previous process acknowledged doesn't count for the restarted worker")
{
    restart_fixture f;
    f.start_process({"w", 50'000});
    f.run_rounds();
    f.submit({}, "job");
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1);
    const start_order late = f.sent<start_order>().at(0);
    f.leader.answered(f.now, {late, f.now}, {});
    (void)f.state.apply(jobs::cancel{"job", day_ms});
    f.decide();
    REQUIRE(f.sent<stop_order>().size() == 1);
    const stop_order stop = f.sent<stop_order>().at(0);
    f.start_process({"w", 51'000});
    f.decide();
    worker_answer other;
    other.how = reply::other_life;
    other.born_ms = 51'000;
    f.leader.answered(f.now, {poll_order{late.to, 7, {}, 0, 0}, f.now}, other);
    REQUIRE(f.leader.runs().at(late.name).worker == f.current_life);

    worker_answer acknowledged;
    acknowledged.how = reply::done;
    f.leader.answered(f.now, {stop, f.now}, acknowledged); // delayed
    CHECK_FALSE(f.leader.runs().at(late.name).stop_acknowledged_at.has_value());
    f.run_rounds();
    REQUIRE_FALSE(f.stopped.empty());
    CHECK(f.stopped.front() == late.name);
    CHECK(f.leader.runs().empty());
}

TEST_CASE("a run recorded by an older release without the worker's time of birth continues")
{
    restart_fixture f;
    f.submit({}, "job");
    jobs::round recorded;
    recorded.starts.push_back({{{"job", 0, 0, 0}, 1}, {"w"}, "address"});
    REQUIRE(f.state.apply(recorded).starts_accepted.at(0));
    f.start_process({"w", 50'000});
    f.running.push_back({{{"job", 0, 0, 0}, 1}, "", 10, 0});
    f.leader.lead(f.now, 8, f.state);
    f.send_announcement();
    if (GENERATE(false, true))
    {
        // The poll with the time of birth is answered before the one with only the id.
        f.decide(milliseconds(50));
        std::reverse(f.open_polls.begin(), f.open_polls.end());
        for (const poll_order& one : std::exchange(f.open_polls, {}))
        {
            f.reply_to(one);
        }
    }
    f.run_rounds(20);
    CHECK(f.running.size() == 1);
    CHECK(f.stopped.empty());
    CHECK(f.leader.counts().workers_crashed == 0);
    f.finish_all(jobs::run_end::done);
    f.run_rounds(8);
    CHECK(f.state.find("job")->phase == jobs::job_phase::completed);
    CHECK(f.started.empty());
}

TEST_CASE("a delayed announcement of a previous process changes nothing")
{
    restart_fixture f;
    const fleet::worker_life earlier{"w", 51'000};
    f.start_process(earlier);
    f.run_rounds();
    f.start_process({"w", 50'000}, {2000, 64'000, 0});
    f.run_rounds();
    f.announce_life(earlier, 90, full_capacity);
    f.run_rounds();
    jobs::step_spec large;
    large.needs = {8000, 100, 0};
    f.submit(large, "large");
    f.run_rounds();
    CHECK(first_task_of(f, "large").runs.empty());
    f.submit({}, "small");
    f.run_rounds();
    CHECK(f.running.size() == 1);
    CHECK(f.leader.counts().workers_crashed <= 1);
}

TEST_CASE("a delayed answer of a previous process changes nothing")
{
    restart_fixture f;
    f.start_process({"w", 50'000});
    f.run_rounds();
    f.submit({}, "job");
    f.run_rounds();
    REQUIRE(f.running.size() == 1);
    worker_answer late;
    late.how = reply::done;
    late.born_ms = 50'000;
    late.clock_ms = 900'000;
    late.finished.push_back({40, f.running.front().name, jobs::run_end::failed, {}});
    const poll_order open{{{"w", 50'000}, "address"}, 7, {}, 0, 0};
    f.start_process({"w", 51'000});
    f.run_rounds(8);
    REQUIRE(f.running.size() == 1);
    REQUIRE(first_task_of(f, "job").last_attempt == 2);
    f.leader.answered(f.now, {open, f.now - milliseconds(400)}, late);
    f.run_rounds();
    CHECK(first_task_of(f, "job").failures == 0);
    f.finish_all(jobs::run_end::done);
    f.run_rounds(8);
    CHECK(f.state.find("job")->phase == jobs::job_phase::completed);
    CHECK(f.started.size() == 2);
}

TEST_CASE("a control VM relays the announcement of a restarted worker despite its lower sequence number")
{
    fleet::worker_registry registry;
    fleet::announcement first;
    first.life = {"w", 50'000};
    first.sequence = 90;
    REQUIRE(registry.receive(start, first));
    registry.mark_relayed(5, registry.changed_since_relay(5));
    fleet::announcement again = first;
    again.life.born_ms = 49'000;
    again.sequence = 1;
    again.room = {2000, 64'000, 0};
    CHECK(registry.receive(start, again));
    REQUIRE(registry.changed_since_relay(5).size() == 1);
    CHECK(registry.changed_since_relay(5)[0].room == again.room);
}
