/// @file
/// @brief A worker that starts again under its id: its ends are read, what it says holds, and what ran on its
///        earlier life is over.
///
/// Two tasks were started again a second after they had ended. Their worker had crashed and come back under
/// the id that it had; it numbered its ends from 1 again, while the leader had read ends up to 11 of its
/// earlier life. So the first ends of the new life were passed over as read, and listed again and again,
/// until their numbers had passed the old one; then the worker was told to forget them, its tasks were on
/// neither list any more, and were taken for lost:
///
///      7.212  the task ends as done on the new life
///     10.566 run_lost      index 16 attempt 1 how 6 begun 1 age_ms 4677 percent 67
///     10.585 tasks_granted            attempt 2
///
/// Three runs that had ended at different times vanished in the same millisecond. On another day the new
/// life's count never reached the old one: its ends stayed listed and unread, and two tasks waited until the
/// end of the day, with no run unconfirmed and nobody said to wait for room. A life of a worker is its id
/// together with the time at which it was born, which says nothing of the order of two lives, since clocks
/// step.

#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

const jobs::resources whole{16'000, 64'000, 0};

/// @brief A leader, and a worker whose process comes and goes at one address.
struct lives_fixture : fixture
{
    /// @brief Another process answers as the worker from now on.
    void live(const fleet::worker_life& life, jobs::resources room = whole)
    {
        alive = life;
        clock_ms = 3000;
        sequence = 0;
        running.clear();
        finished.clear();
        said = room;
        beat();
    }

    void beat()
    {
        announce_life(alive, ++sequence, said);
    }

    /// @brief Lets time pass; the worker answers what reaches it, and starts what it is told to.
    void turn(int times = 4)
    {
        for (int i = 0; i < times; ++i)
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
        worker_answer got;
        got.how = reply::done;
        const recipient& to = std::visit(
            [](const auto& one) -> const recipient&
            {
                return one.to;
            },
            what);
        if (!reaches(to, alive))
        {
            got.how = reply::other_life;
            got.born_ms = alive.born_ms;
            leader.answered(now, {what, now}, got);
            return;
        }
        got.clock_ms = clock_ms;
        if (const auto* start_of = std::get_if<start_order>(&what))
        {
            last_start = *start_of;
            started.push_back(start_of->name);
            running.push_back({start_of->name, "", 10, 0});
        }
        if (const auto* stop_of = std::get_if<stop_order>(&what))
        {
            stopped.push_back(stop_of->name);
            end(stop_of->name, jobs::run_end::stopped);
        }
        if (const auto* hold = std::get_if<poll_order>(&what))
        {
            got.born_ms = alive.born_ms;
            std::erase_if(finished,
                          [hold](const finished_row& row)
                          {
                              return row.number <= hold->ends_recorded;
                          });
            got.running = running;
            got.finished = finished;
        }
        leader.answered(now, {what, now}, got);
    }

    void end(const jobs::run_name& name, jobs::run_end how)
    {
        const auto removed = std::erase_if(running,
                                           [&name](const running_row& row)
                                           {
                                               return row.name == name;
                                           });
        if (removed > 0)
        {
            finished.push_back({++ends, name, how, {}});
        }
    }

    void end_all(jobs::run_end how)
    {
        for (const running_row& row : std::vector<running_row>(running))
        {
            end(row.name, how);
        }
    }

    /// @brief Runs a job of so many tasks to its end on the present life.
    void run_job(const std::string& id, std::uint32_t tasks)
    {
        jobs::step_spec step;
        step.task_count = tasks;
        submit(step, id);
        turn();
        REQUIRE(running.size() == tasks);
        end_all(jobs::run_end::done);
        turn(8);
        REQUIRE(state.find(id)->phase == jobs::job_phase::completed);
    }

    fleet::worker_life alive;
    jobs::resources said;
    std::int64_t clock_ms = 900'000;
    std::uint64_t sequence = 0;
    std::uint64_t ends = 0;
    std::vector<running_row> running;
    std::vector<finished_row> finished;
    std::vector<jobs::run_name> started;
    std::vector<jobs::run_name> stopped;
    start_order last_start;
};

const jobs::task& task_of(const lives_fixture& f, const std::string& job)
{
    return f.state.find(job)->occurrences.at(0).steps.at(0).tasks.at(0);
}

} // namespace

TEST_CASE("the first ends of a worker that started again are read, and its tasks are not started once more")
{
    lives_fixture f;
    f.live({"w", 50'000});
    f.clock_ms = 900'000;
    f.turn();
    f.run_job("before", 5);
    const std::int64_t born_ms = GENERATE(50'900, 49'000); // its clock may have been put back meanwhile
    f.ends = 0;
    f.live({"w", born_ms});
    f.turn();
    f.run_job("after", 2); // ends 1 and 2, below the 5 that were read of the earlier life
    f.turn(40);
    CHECK(f.started.size() == 7); // each once
    CHECK(f.finished.empty());    // the worker was told that they are noted
}

TEST_CASE("what a worker says after it has started again holds at once")
{
    lives_fixture f;
    f.live({"w", 50'000});
    for (int i = 0; i < 30; ++i)
    {
        f.beat();
    }
    f.turn();
    f.live({"w", 49'000}, {2000, 64'000, 0}); // another kind
    f.turn();
    jobs::step_spec large;
    large.needs = {8000, 100, 0};
    f.submit(large, "large");
    jobs::step_spec small;
    f.submit(small, "small");
    f.turn();
    CHECK(task_of(f, "large").runs.empty());
    CHECK(task_of(f, "small").runs.size() == 1);
}

TEST_CASE("leases are given on the clock of the life that lives")
{
    lives_fixture f;
    f.live({"w", 50'000});
    f.clock_ms = 900'000;
    f.turn();
    f.live({"w", 51'000});
    f.turn();
    f.submit({}, "job");
    f.turn();
    REQUIRE(f.running.size() == 1);
    CHECK(f.last_start.lease_until_ms < f.clock_ms + 5000);
}

TEST_CASE("a worker that has started again has crashed: what ran there is over, and counted")
{
    lives_fixture f;
    f.live({"w", 50'000});
    f.turn();
    f.submit({}, "job");
    f.turn();
    REQUIRE(f.running.size() == 1);
    SECTION("seen by the leader that ordered it")
    {
        f.live({"w", 51'000});
        f.turn();
        CHECK(f.leader.counts().workers_crashed == 1);
    }
    SECTION("seen by the next leader, from the record")
    {
        f.leader.lead(f.now, 8, f.state);
        f.open_polls.clear();
        f.live({"w", 51'000});
        f.turn();
    }
    SECTION("seen by the next leader, after a snapshot")
    {
        const std::string saved = f.state.save();
        REQUIRE(f.state.restore(saved));
        f.leader.lead(f.now, 8, f.state);
        f.open_polls.clear();
        f.live({"w", 51'000});
        f.turn();
    }
    CHECK(task_of(f, "job").evidence.crashes == 1);
    CHECK(task_of(f, "job").last_attempt == 2);
    CHECK(f.running.size() == 1);
}

TEST_CASE("a start that may come late is shut out at the next life before its task goes elsewhere")
{
    lives_fixture f;
    f.live({"w", 50'000});
    f.turn();
    f.submit({}, "job");
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1);
    const start_order late = f.sent<start_order>().at(0);
    f.leader.answered(f.now, {late, f.now}, {});
    f.live({"w", 51'000});
    f.turn(1);
    if (f.stopped.empty())
    {
        CHECK(task_of(f, "job").last_attempt == 1); // nothing is written off yet
    }
    f.turn();
    REQUIRE_FALSE(f.stopped.empty());
    CHECK(f.stopped.front() == late.name);
    CHECK(task_of(f, "job").last_attempt == 2);
}

TEST_CASE("a run that an older release recorded, without its worker's time of birth, goes on")
{
    lives_fixture f;
    f.submit({}, "job");
    jobs::round recorded;
    recorded.starts.push_back({{{"job", 0, 0, 0}, 1}, {"w"}, "address"});
    REQUIRE(f.state.apply(recorded).starts_accepted.at(0));
    f.live({"w", 50'000});
    f.running.push_back({{{"job", 0, 0, 0}, 1}, "", 10, 0});
    f.leader.lead(f.now, 8, f.state);
    f.beat();
    if (GENERATE(false, true))
    {
        // The poll that names the life is answered before the one that names the id alone.
        f.decide(milliseconds(50));
        std::reverse(f.open_polls.begin(), f.open_polls.end());
        for (const poll_order& one : std::exchange(f.open_polls, {}))
        {
            f.reply_to(one);
        }
    }
    f.turn(20);
    CHECK(f.running.size() == 1);
    CHECK(f.stopped.empty());
    CHECK(f.leader.counts().workers_crashed == 0);
    f.end_all(jobs::run_end::done);
    f.turn(8);
    CHECK(f.state.find("job")->phase == jobs::job_phase::completed);
    CHECK(f.started.empty());
}

TEST_CASE("what is told late by a life that is over changes nothing")
{
    lives_fixture f;
    const fleet::worker_life earlier{"w", 51'000};
    f.live(earlier);
    f.turn();
    f.live({"w", 50'000}, {2000, 64'000, 0});
    f.turn();
    f.announce_life(earlier, 90, whole);
    f.turn();
    jobs::step_spec large;
    large.needs = {8000, 100, 0};
    f.submit(large, "large");
    f.turn();
    CHECK(task_of(f, "large").runs.empty());
    f.submit({}, "small");
    f.turn();
    CHECK(f.running.size() == 1);
    CHECK(f.leader.counts().workers_crashed <= 1);
}

TEST_CASE("an answer of a life that is over, read after the next one's, changes nothing")
{
    lives_fixture f;
    f.live({"w", 50'000});
    f.turn();
    f.submit({}, "job");
    f.turn();
    REQUIRE(f.running.size() == 1);
    worker_answer late;
    late.how = reply::done;
    late.born_ms = 50'000;
    late.clock_ms = 900'000;
    late.finished.push_back({40, f.running.front().name, jobs::run_end::failed, {}});
    const poll_order open{{{"w", 50'000}, "address"}, 7, {}, 0, 0};
    f.live({"w", 51'000});
    f.turn(8);
    REQUIRE(f.running.size() == 1);
    REQUIRE(task_of(f, "job").last_attempt == 2);
    f.leader.answered(f.now, {open, f.now - milliseconds(400)}, late);
    f.turn();
    CHECK(task_of(f, "job").failures == 0);
    f.end_all(jobs::run_end::done);
    f.turn(8);
    CHECK(f.state.find("job")->phase == jobs::job_phase::completed);
    CHECK(f.started.size() == 2);
}

TEST_CASE("a control VM relays a worker that has started again, though its count is lower")
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
