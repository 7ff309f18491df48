/// @file
/// @brief Every wait of a run is bounded, so that no task is blocked forever.
///
/// Guards against tasks that stall despite free capacity: two of them did for two minutes, without a log line
/// that told why. The leader took each for running on a worker that kept listing its end under a sequence
/// number that the leader had already read. That came from another fault, but whatever the cause, no wait may
/// be unbounded.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

/// @brief A worker that answers all polls immediately.
struct wait_fixture : fixture
{
    wait_fixture()
    {
        announce("w1");
        decide();
        answer_polls();
    }

    /// @brief Advances the time by 100 ms steps; polls list only these finished runs.
    /// @param to_starts reply to each start
    /// @param to_stops reply to each stop
    void advance(duration time, const std::vector<finished_row>& ends, reply to_starts, reply to_stops)
    {
        for (duration passed{}; passed < time; passed += milliseconds(100))
        {
            announce("w1");
            decide(milliseconds(100));
            for (const poll_order& one : std::exchange(open_polls, {}))
            {
                worker_answer got;
                got.how = reply::done;
                got.finished = ends;
                answer(one, got);
            }
            for (const order& one : std::vector<order>(orders))
            {
                const bool stop = std::holds_alternative<stop_order>(one);
                answer(one, {stop ? to_stops : to_starts, {}, {}, {}});
            }
            commit();
        }
    }

    /// @brief Announces the goodbye of a worker.
    void depart(const std::string& id)
    {
        fleet::announcement goodbye;
        goodbye.life.id = id;
        goodbye.service = "pool";
        goodbye.address = "address-" + id;
        goodbye.state = fleet::worker_state::gone;
        leader.announced(now, goodbye);
    }

    /// @brief Advances the time; one worker answers nothing and another one, "w2", answers all orders.
    void advance_without(const std::string& silent, duration time)
    {
        for (duration passed{}; passed < time; passed += milliseconds(100))
        {
            announce("w2");
            decide(milliseconds(100));
            answer_polls({}, silent);
            for (const order& one : std::vector<order>(orders))
            {
                const recipient to = std::visit(
                    [](const auto& what)
                    {
                        return what.to;
                    },
                    one);
                answer(one, {to.worker.id == silent ? reply::none : reply::done, {}, {}, {}});
            }
            commit();
        }
    }

    [[nodiscard]] const jobs::task& task() const
    {
        return state.find("job")->occurrences.at(0).steps.at(0).tasks.at(0);
    }
};

} // namespace

TEST_CASE("an end is processed while its run is tracked, whatever its sequence number")
{
    wait_fixture f;
    f.submit({}, "before");
    f.decide();
    f.commit();
    f.decide();
    const std::vector<finished_row> before = {{7, {{"before", 0, 0, 0}, 1}, jobs::run_end::done, {}}};
    f.answer(f.orders.at(0), {reply::done, {}, {}, {}});
    f.advance(seconds(1), before, reply::done, reply::done);
    REQUIRE(f.state.find("before")->phase == jobs::job_phase::completed);
    f.submit({}, "job");
    f.advance(seconds(3), {{2, {{"job", 0, 0, 0}, 1}, jobs::run_end::done, {}}}, reply::done, reply::done);
    CHECK(f.state.find("job")->phase == jobs::job_phase::completed);
}

TEST_CASE("a start that its worker always reports as expired is abandoned there")
{
    wait_fixture f;
    f.submit({}, "job");
    f.advance(seconds(5), {}, reply::expired, reply::done);
    CHECK(f.task().last_attempt >= 2);
}

TEST_CASE("a recorded run that the leader doesn't track is adopted")
{
    wait_fixture f;
    f.submit({}, "job");
    jobs::round unseen; // recorded after the leader had read the state
    unseen.starts.push_back({{{"job", 0, 0, 0}, 1}, {"w1"}, "address-w1"});
    REQUIRE(f.state.apply(unseen).starts_accepted.at(0));
    f.advance(seconds(8), {}, reply::done, reply::done);
    CHECK(f.task().last_attempt >= 2);
}

// A stop has to reach the worker, which has ended, and a worker without a lease has no time of lapse.
TEST_CASE("a task whose start was never sent to a worker that has left runs elsewhere")
{
    wait_fixture f;
    f.submit({}, "job");
    f.decide();
    f.depart("w1");
    f.decide(seconds(1));
    f.commit(); // after the worker's departure
    f.advance_without("w1", seconds(3));
    CHECK(f.task().last_attempt >= 2);
}

// Its poll after the goodbye renews no lease, so this leader has sent none.
TEST_CASE("a run taken over lapses on a worker that leaves before its lease is renewed")
{
    wait_fixture f;
    f.submit({}, "job");
    const jobs::run_name run{{"job", 0, 0, 0}, 1};
    jobs::round earlier;
    earlier.starts.push_back({run, {"w1"}, "address-w1"});
    REQUIRE(f.state.apply(earlier).starts_accepted.at(0));
    f.leader.lead(f.now, 8, f.state);
    f.open_polls.clear();
    f.announce("w1");
    f.decide();
    f.answer_polls({{run, {}, 10, 0}});
    f.depart("w1");
    f.advance_without("w1", seconds(10));
    CHECK(f.task().last_attempt >= 2);
}

// That life was sent no lease, so only the longest delay of a start bounds the wait.
TEST_CASE("a run fenced on a worker's next life, which never answers, is given up")
{
    wait_fixture f;
    const fleet::worker_life first{"w", 1000};
    f.announce_life(first, 1, {16'000, 64'000, 0});
    f.depart("w1");
    f.decide(seconds(1));
    f.answer_polls();
    f.submit({}, "job");
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1);
    REQUIRE(f.sent<start_order>().at(0).to.worker == first);
    f.answer(f.orders.at(0), {reply::none, {}, {}, {}});
    worker_answer other;
    other.how = reply::other_life;
    other.born_ms = 2000;
    f.open_polls.clear();
    f.answer(poll_order{{first, "address"}, 7, 0, {}, 0}, other);
    f.advance_without("w", seconds(20));
    CHECK(f.task().last_attempt == 1); // a start may be carried out 12 s late and run for a lease of 10 s
    f.advance_without("w", seconds(5));
    CHECK(f.task().last_attempt >= 2);
}

// Otherwise its room would never be used again.
TEST_CASE("a worker whose life was taken for ended is used again once it answers")
{
    fixture f;
    const fleet::worker_life life{"w", 1000};
    f.announce_life(life, 1, {16'000, 64'000, 0});
    f.decide();
    f.answer_polls();
    worker_answer other;
    other.how = reply::other_life;
    f.answer(poll_order{{life, "address"}, 7, 0, {}, 0}, other);
    f.submit({}, "job");
    for (int i = 0; i < 20; ++i)
    {
        f.announce_life(life, static_cast<std::uint64_t>(i) + 2, {16'000, 64'000, 0});
        f.decide(milliseconds(100));
        f.answer_polls();
        f.commit();
    }
    CHECK(f.state.find("job")->granted);
}

// The proposed runs of its first members are no reason to wait: they start together with the others.
TEST_CASE("a lasting gang that needs the headroom for short tasks is started")
{
    wait_fixture f;
    jobs::step_spec short_tasks;
    short_tasks.task_count = 10;
    short_tasks.needs = {1000, 100, 0};
    short_tasks.required_label = "absent";
    f.submit(short_tasks, "short");
    f.advance(seconds(1), {}, reply::done, reply::done);
    jobs::step_spec gang;
    gang.task_count = 2;
    gang.needs = {6000, 100, 0};
    gang.lasting = true;
    gang.gang = true;
    f.submit(gang, "job");
    f.advance(seconds(5), {}, reply::done, reply::done);
    CHECK(f.state.find("job")->granted);
}

// Its step's other tasks run, so the job isn't urgent, and more than half of the pool is free.
TEST_CASE("a lasting task doesn't wait for good for headroom in a pool that is mostly free")
{
    wait_fixture f;
    for (const char* id : {"w3", "w4", "w5", "w6"})
    {
        f.announce(id);
    }
    f.decide();
    f.answer_polls();
    jobs::step_spec short_tasks;
    short_tasks.task_count = 10;
    short_tasks.needs = {12'000, 100, 0};
    short_tasks.required_label = "absent";
    f.submit(short_tasks, "short");
    f.advance(seconds(1), {}, reply::done, reply::done);
    jobs::step_spec lasting;
    lasting.task_count = 5;
    lasting.needs = {5000, 100, 0};
    lasting.lasting = true;
    lasting.max_per_worker = 1;
    f.submit(lasting, "job");
    for (int i = 0; i < 100; ++i)
    {
        for (const char* id : {"w1", "w3", "w4", "w5", "w6"})
        {
            f.announce(id);
        }
        f.decide(milliseconds(100));
        std::vector<running_row> rows;
        for (const auto& [name, run] : f.leader.runs())
        {
            rows.push_back({name, {}, 100, 0});
        }
        f.answer_polls(rows);
        for (const order& one : std::vector<order>(f.orders))
        {
            f.answer(one, {reply::done, {}, {}, {}});
        }
        f.commit();
    }
    std::size_t started = 0;
    for (const jobs::task& one : f.state.find("job")->occurrences.at(0).steps.at(0).tasks)
    {
        started += one.last_attempt > 0 ? 1 : 0;
    }
    CHECK(started == 5);
}

// A run that its worker doesn't list has ended even if no stop of it is acknowledged.
TEST_CASE("a run that its worker neither lists nor stops is given up")
{
    const reply to_stops = GENERATE(reply::none, reply::unhealthy, reply::superseded);
    wait_fixture f;
    f.submit({}, "job");
    f.advance(seconds(11), {}, reply::done, to_stops);
    CHECK(f.task().last_attempt == 1); // a start may still be carried out late
    f.advance(seconds(4), {}, reply::done, to_stops);
    CHECK(f.task().last_attempt >= 2);
}

TEST_CASE("a run ends when its worker has said goodbye and answers a new leader only once")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1);
    f.answer(f.sent<start_order>().at(0), {reply::done, {}, {}, {}});
    f.leader.lead(f.now, 8, f.state);
    f.open_polls.clear();
    fleet::announcement goodbye;
    goodbye.life.id = "w1";
    goodbye.service = "pool";
    goodbye.address = "address-w1";
    goodbye.state = fleet::worker_state::gone;
    f.leader.announced(f.now, goodbye);
    f.decide();
    f.answer_polls({{{{"job", 0, 0, 0}, 1}, "", 10, 0}});
    for (int i = 0; i < 200; ++i)
    {
        f.decide(milliseconds(50));
        f.answer_polls({}, "w1");
        for (const stop_order& one : f.sent<stop_order>())
        {
            f.answer(one, {});
        }
        f.commit();
    }
    CHECK(f.leader.runs().empty());
    CHECK(f.state.find("job")->occurrences.at(0).steps[0].tasks[0].runs.empty());
}

// Its orders would reach nobody, and the lease sent with the first one would have to lapse.
TEST_CASE("a task whose worker's life ends before the start is sent runs elsewhere")
{
    wait_fixture f;
    f.submit({}, "job");
    f.decide();
    REQUIRE(f.starts_proposed() == 1);
    worker_answer other;
    other.how = reply::other_life;
    f.answer(poll_order{{{"w1"}, "address-w1"}, 7, 0, {}, 0}, other);
    f.commit(); // after the end of the worker's life
    f.advance_without("w1", seconds(1));
    CHECK(f.task().last_attempt >= 2);
}
