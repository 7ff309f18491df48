/// @file
/// @brief A crash by the start of a task counts against it also where its worker had announced that it
/// leaves.
///
/// Guards against a task that crashes more workers than its budget allows, since some crashes aren't counted.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

const jobs::task_name task{"job", 0, 0, 0};

/// @brief A worker that runs one task and has announced that it leaves.
struct leaver_fixture : fixture
{
    /// @param listed for how long the worker lists the run before it falls silent
    explicit leaver_fixture(duration listed)
    {
        announce("w1");
        decide();
        answer_polls();
        submit({});
        decide();
        commit();
        decide();
        REQUIRE(sent<start_order>().size() == 1);
        answer(orders.at(0), {reply::done, {}, {}, {}});
        for (const time_point end = now + listed; now < end;)
        {
            decide(milliseconds(100));
            answer_polls({{{task, 1}, "", 10, 0}});
        }
        fleet::announcement leaving = leader.workers().at({"w1"}).info;
        leaving.state = fleet::worker_state::draining;
        leaving.time_left_ms = 30'000;
        ++leaving.sequence;
        leader.announced(now, leaving);
    }

    void say_goodbye()
    {
        fleet::announcement leaving = leader.workers().at({"w1"}).info;
        leaving.state = fleet::worker_state::gone;
        ++leaving.sequence;
        leader.announced(now, leaving);
    }

    void run_silently(duration time)
    {
        for (const time_point end = now + time; now < end;)
        {
            decide(milliseconds(50));
            answer_polls({}, "w1");
            commit();
        }
    }

    void answer_as_other_life()
    {
        poll_order asked;
        asked.to = {{"w1"}, "address-w1"};
        answer(asked, {reply::other_life, {}, {}, {}});
        decide();
        commit();
    }

    [[nodiscard]] jobs::crash_evidence evidence() const
    {
        return state.find(task)->evidence;
    }
};

} // namespace

TEST_CASE("a leaving worker that falls silent right after a start counts as crashed by it")
{
    leaver_fixture f(duration{});
    SECTION("once its lease has lapsed")
    {
        f.run_silently(seconds(15));
    }
    SECTION("once another life answers in its place")
    {
        f.answer_as_other_life();
    }
    CHECK(f.evidence() == jobs::crash_evidence{1, 0});
}

TEST_CASE("a leaving worker that has run a task for long doesn't count as crashed by it")
{
    leaver_fixture f(seconds(2));
    SECTION("once its lease has lapsed")
    {
        f.run_silently(seconds(15));
    }
    SECTION("once another life answers in its place")
    {
        f.answer_as_other_life();
    }
    CHECK(f.evidence() == jobs::crash_evidence{});
}

TEST_CASE("a leaving worker that has said goodbye doesn't count as crashed")
{
    leaver_fixture f(duration{});
    f.say_goodbye();
    SECTION("once its lease has lapsed")
    {
        f.run_silently(seconds(15));
    }
    SECTION("once another life answers in its place")
    {
        f.answer_as_other_life();
    }
    CHECK(f.evidence() == jobs::crash_evidence{});
}

TEST_CASE("a crash by an unanswered start still counts once the lease of the next life has lapsed")
{
    fixture f;
    const fleet::worker_life first{"w", 1000};
    const fleet::worker_life next{"w", 2000};
    f.announce_life(first, 1, {16'000, 64'000, 0});
    f.decide();
    f.answer_polls();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1);
    f.answer(f.orders.at(0), {reply::none, {}, {}, {}});
    f.open_polls.clear();
    worker_answer other;
    other.how = reply::other_life;
    other.born_ms = next.born_ms;
    f.answer(poll_order{{first, "address"}, 7, 0, {}, 0}, other);
    std::uint64_t sequence = 0;
    for (const time_point end = f.now + seconds(25); f.now < end;)
    {
        f.announce_life(next, ++sequence, {16'000, 64'000, 0});
        f.decide(milliseconds(100));
        f.answer_polls({}, "w");
        for (const order& one : std::vector<order>(f.orders))
        {
            f.answer(one, {reply::none, {}, {}, {}});
        }
        f.commit();
    }
    CHECK(f.state.find(task)->evidence == jobs::crash_evidence{1, 0});
}
