/// @file
/// @brief How soon a cancelled job's runs are stopped: the decision, and the way to the worker.
///
/// Symptom: on a large fleet a lasting run went on for 5.3 s after its job's cancel was acknowledged; 4 s and
/// 0.9 s for the stop itself are allowed.
/// Sequence: a stop is decided after all else of a decision, waits for the answer to the run's start, and is
/// queued behind all other orders to its worker. Where the loop is late, an answer that is there is given up,
/// its connection closed, and the next order begins with connecting again.
/// Cause: what a stop waits for has nothing to do with it, and a call's limit counted the leader's own
/// lateness. The reported run's start had long been answered: of these ways the queue, the order of a
/// decision and the lateness are open to it, and its record doesn't tell them apart. Figures, measured before
/// the repair, stand at each test.

#include "dispatcher_fixture.hpp"
#include "slow_worker_fixture.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <thread>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;
using test::caller_fixture;
using test::slow_worker;

namespace
{

constexpr auto exchange_limit = milliseconds(700); // of an order, see worker_client.cpp

jobs::step_spec lasting_tasks(std::uint32_t count)
{
    jobs::step_spec step;
    step.task_count = count;
    step.lasting = true;
    step.needs = {500, 100, 0};
    return step;
}

/// @brief One run at work on w1.
start_order run_one(fixture& f)
{
    f.announce("w1");
    f.decide();
    f.answer_polls();
    f.submit(lasting_tasks(1));
    f.decide();
    f.commit();
    f.decide();
    return f.sent<start_order>().at(0);
}

} // namespace

// ---- the decision ------------------------------------------------------------------------------

// Before: no stop for as long as the start has no answer, 700 ms for each order queued before it.
TEST_CASE("a cancelled job's run is stopped while its start has no answer yet")
{
    fixture f;
    const start_order started = run_one(f);
    (void)f.state.apply(jobs::cancel{"job", day_ms});
    f.decide();
    REQUIRE(f.sent<stop_order>().size() == 1);
    CHECK(f.sent<stop_order>()[0].name == started.name);

    SECTION("and it is over once the stop is acknowledged and the worker doesn't list it")
    {
        f.answer(f.sent<stop_order>()[0], {reply::done, {}, {}, {}});
        f.answer(started, {reply::superseded, {}, {}, {}});
        for (int i = 0; i < 4; ++i)
        {
            f.decide();
            f.answer_polls();
        }
        f.commit();
        CHECK(f.leader.runs().empty());
        CHECK(f.state.ended_with_runs().empty());
    }
}

// Before: one stop, and none in the 5 s in which the worker lists the run as running.
TEST_CASE("a run that its worker still lists long after the stop is stopped again")
{
    fixture f;
    const start_order started = run_one(f);
    f.answer(started, {reply::done, {}, {}, {}});
    (void)f.state.apply(jobs::cancel{"job", day_ms});
    f.decide();
    REQUIRE(f.sent<stop_order>().size() == 1);
    f.answer(f.sent<stop_order>()[0], {reply::done, {}, {}, {}});
    const time_point acknowledged = f.now;
    std::optional<time_point> again;
    while (!again.has_value() && f.now < acknowledged + seconds(5))
    {
        f.decide(milliseconds(50));
        if (!f.sent<stop_order>().empty())
        {
            again = f.now;
        }
        f.answer_polls({{started.name, "", 100, 0}});
    }
    REQUIRE(again.has_value());
    CHECK(*again > acknowledged + milliseconds(900)); // a worker may take so long
    CHECK(*again < acknowledged + seconds(2));
}

TEST_CASE("a stop that was acknowledged is sent again where no poll tells of the run any more")
{
    fixture f;
    const start_order started = run_one(f);
    f.answer(started, {reply::done, {}, {}, {}});
    (void)f.state.apply(jobs::cancel{"job", day_ms});
    f.decide();
    REQUIRE(f.sent<stop_order>().size() == 1);
    f.answer(f.sent<stop_order>()[0], {reply::done, {}, {}, {}});
    const time_point acknowledged = f.now;
    std::size_t again = 0;
    while (f.now < acknowledged + seconds(4))
    {
        f.decide(milliseconds(50));
        again += f.sent<stop_order>().size();
        f.answer_polls({}, "w1");
    }
    CHECK(again > 0);
}

// Before: in the order of the runs' names, so behind the starts of earlier jobs.
TEST_CASE("stops go out before all other orders of a decision")
{
    fixture f;
    const start_order started = run_one(f);
    f.answer(started, {reply::done, {}, {}, {}});
    f.submit(lasting_tasks(4), "early");
    f.decide();
    f.commit();
    (void)f.state.apply(jobs::cancel{"job", day_ms});
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 4);
    REQUIRE(f.sent<stop_order>().size() == 1);
    CHECK(std::holds_alternative<stop_order>(f.orders.front()));
}

// Before: the retries of starts renew the lease of a worker that answers nothing, so that what is surely
// over after 6.2 s is written off after 18.5 s with ten starts.
TEST_CASE("retried starts don't put off the time at which a silent worker's runs have surely lapsed")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    f.submit(lasting_tasks(10));
    f.decide();
    f.commit();
    std::deque<order> unanswered; // one at a time, each for its whole limit
    const time_point silent_since = f.now;
    time_point next_answer = f.now + exchange_limit;
    time_point next_hold_answer = f.now + milliseconds(1900);
    std::size_t lapsed = 0;
    while (lapsed < 10 && f.now < silent_since + seconds(40))
    {
        f.decide();
        unanswered.insert(unanswered.end(), f.orders.begin(), f.orders.end());
        if (f.now >= next_answer && !unanswered.empty())
        {
            f.answer(unanswered.front(), {});
            unanswered.pop_front();
            next_answer = f.now + exchange_limit;
        }
        if (f.now >= next_hold_answer)
        {
            f.answer_polls({}, "w1");
            next_hold_answer = f.now + milliseconds(900);
        }
        for (const planned_round& one : f.rounds)
        {
            lapsed += one.command.ends.size();
        }
        f.commit();
    }
    const auto took = std::chrono::duration_cast<milliseconds>(f.now - silent_since).count();
    INFO("written off after " << took << " ms");
    CHECK(lapsed >= 10);
    // 1.9 s until the poll is given up, and the lease after the last order before.
    CHECK(took < 6500);
}

// Before: again at the next decision, so that a worker that refuses is called without a pause, and what else
// it is to be told waits behind that; also for a run that is being stopped.
TEST_CASE("a pace that a worker refuses is ordered again after a pause, and for no run that is to be stopped")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    jobs::step_spec step;
    step.filler = true;
    f.submit(step);
    f.decide();
    f.commit();
    f.decide();
    const start_order started = f.sent<start_order>().at(0);
    f.answer(started, {reply::done, {}, {}, {}});
    f.open_polls.clear();
    f.leader.lead(f.now, 8, f.state); // which doesn't know the run's pace
    f.decide();
    f.answer_polls({{started.name, "", 10, 0}});

    SECTION("refused")
    {
        f.decide();
        REQUIRE(f.sent<pace_order>().size() == 1);
        f.answer(f.sent<pace_order>()[0], {reply::unhealthy, {}, {}, {}});
        const time_point refused = f.now;
        std::size_t early = 0;
        std::size_t later = 0;
        while (f.now < refused + milliseconds(600))
        {
            f.decide();
            (f.now < refused + milliseconds(100) ? early : later) += f.sent<pace_order>().size();
        }
        CHECK(early == 0);
        CHECK(later == 1);
    }
    SECTION("of a cancelled job")
    {
        (void)f.state.apply(jobs::cancel{"job", day_ms});
        f.decide();
        CHECK(f.sent<stop_order>().size() == 1);
        CHECK(f.sent<pace_order>().empty());
    }
}

// ---- the way to the worker ---------------------------------------------------------------------

// Before: after 2.0 s, the twenty paces one after the other; with paces that aren't answered, 0.7 s for each.
TEST_CASE("a stop doesn't wait behind other orders to its worker")
{
    const slow_worker target(milliseconds(100));
    caller_fixture f(target);
    for (std::uint32_t i = 0; i < 20; ++i)
    {
        f.caller.send(pace_order{f.to, 1, caller_fixture::name(i), 50});
    }
    const time_point sent_at = std::chrono::steady_clock::now();
    f.caller.send(stop_order{f.to, 1, caller_fixture::name(20)});
    f.run_for(milliseconds(3500));
    const std::optional<time_point> arrived = target.arrival_of("/stop");
    REQUIRE(arrived.has_value());
    const auto waited = std::chrono::duration_cast<milliseconds>(*arrived - sent_at).count();
    INFO("it arrived after " << waited << " ms");
    CHECK(waited < 600); // the exchange under way, and something for a busy machine
    CHECK(f.answers.size() == 21);
}

// A kept connection that went silent costs one limit, and the next order goes out on a new one.
TEST_CASE("a connection that went silent delays a stop by one limit at most")
{
    const slow_worker target(milliseconds(5), 1);
    caller_fixture f(target);
    const time_point sent_at = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < 5; ++i)
    {
        f.caller.send(pace_order{f.to, 1, caller_fixture::name(i), 50});
    }
    f.caller.send(stop_order{f.to, 1, caller_fixture::name(20)});
    f.run_for(milliseconds(2500));
    const std::optional<time_point> arrived = target.arrival_of("/stop");
    REQUIRE(arrived.has_value());
    CHECK(*arrived - sent_at < exchange_limit + milliseconds(400));
}

// Before: no answer. The loop looks again 0.9 s later, when the answer could have been there for long,
// and the limit, counted from the hand-out, ends the exchange as soon as it is written.
TEST_CASE("a leader that looks late doesn't count its own lateness as a worker's silence")
{
    const slow_worker target(milliseconds(5));
    caller_fixture f(target);

    SECTION("on a new connection")
    {
    }
    SECTION("on a kept connection")
    {
        f.caller.send(pace_order{f.to, 1, caller_fixture::name(0), 50});
        f.run_for(milliseconds(200));
        REQUIRE(f.answers.size() == 1);
        f.answers.clear();
    }
    f.caller.send(stop_order{f.to, 1, caller_fixture::name(1)});
    std::this_thread::sleep_for(exchange_limit + milliseconds(200)); // the loop's thread does something else
    f.run_for(milliseconds(600));
    REQUIRE(f.answers.size() == 1);
    CHECK(f.answers[0] == reply::done);
}

// As after a change of leader: all connections are new. Before: no call of 400 was answered after one late
// look, and 102 after four.
TEST_CASE("a leader that looks late still gets the answers of a whole fleet")
{
    constexpr std::uint32_t workers = 400;
    const auto late_looks = GENERATE(1, 4);
    const slow_worker target(milliseconds(5));
    caller_fixture f(target);
    for (std::uint32_t i = 0; i < workers; ++i)
    {
        f.caller.send(stop_order{{{"w" + std::to_string(i)}, f.to.address}, 1, caller_fixture::name(i)});
    }
    for (int i = 0; i < late_looks; ++i)
    {
        std::this_thread::sleep_for(exchange_limit + milliseconds(200));
        f.context.restart();
        f.context.poll();
    }
    f.run_for(milliseconds(1500));
    INFO(late_looks << " late looks");
    CHECK(f.answers.size() == workers);
    CHECK(std::count(f.answers.begin(), f.answers.end(), reply::done) == workers);
}

// The leader's loop has timers of its own, and an io_context reads some 128 sockets a pass: a timer that is
// due lets all expired limits run before the other answers are read. Before: 127 of 490 answers were taken.
TEST_CASE("a late leader with timers of its own still gets the answers that are there")
{
    constexpr std::uint32_t workers = 490;
    const slow_worker target(milliseconds(150));
    caller_fixture f(target);
    boost::asio::steady_timer ticker(f.context);
    std::function<void()> tick = [&]
    {
        ticker.expires_after(milliseconds(25));
        ticker.async_wait(
            [&](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    tick();
                }
            });
    };
    tick();
    for (std::uint32_t i = 0; i < workers; ++i)
    {
        f.caller.send(stop_order{{{"w" + std::to_string(i)}, f.to.address}, 1, caller_fixture::name(i)});
    }
    f.run_for(milliseconds(100)); // all connected, all written
    std::this_thread::sleep_for(exchange_limit + milliseconds(100));
    f.run_for(milliseconds(1500));
    CHECK(f.answers.size() == workers);
    CHECK(std::count(f.answers.begin(), f.answers.end(), reply::done) == workers);
}
