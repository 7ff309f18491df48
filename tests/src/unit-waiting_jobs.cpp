/// @file
/// @brief How many jobs wait: an order on its way to a worker is not yet a task that has begun.
///
/// Symptom: on a large fleet a queue said that 8 jobs wait, while 23 had waited for five seconds.
/// Sequence: the leader records a grant, then sends the start. Where the worker is silent, or the leader has
/// no processor time for the order, nothing begins until its lease of 4 s has lapsed. The next grant of the
/// task goes the same way. Cause: a job counted as begun, for good, from the record of its first grant;
/// neither a start that was rejected nor one that lapsed without an answer took that back. What settled it:
/// 23 jobs and one worker with room for 16, which answers polls and no start. The record of the grants alone
/// made 7 of the 23 count as waiting, and so it stayed when all 16 runs had ended unbegun.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

constexpr std::size_t jobs_handed_in = 23;
constexpr std::size_t granted_at_once = 16; // the worker's cores

worker_answer done()
{
    worker_answer out;
    out.how = reply::done;
    return out;
}

std::uint32_t pending(const jobs::store& state)
{
    return state.pending(jobs::queue{}); // the fixture's jobs name neither host nor path
}

/// @brief A worker that is known and has answered once.
void prepare(fixture& f)
{
    f.announce("w1");
    f.decide();
    f.answer_polls();
}

/// @brief Hands in one job, and has its start ordered.
start_order order_one(fixture& f, jobs::step_spec step = {})
{
    f.submit(std::move(step));
    f.decide();
    f.commit();
    f.decide();
    return f.sent<start_order>().at(0);
}

/// @brief Lets time pass; polls are answered with these rows, starts and stops by nobody.
void pass(fixture& f, duration span, const std::vector<running_row>& rows = {})
{
    for (const time_point end = f.now + span; f.now < end;)
    {
        f.announce("w1");
        f.decide(milliseconds(50));
        f.answer_polls(rows);
        f.commit();
    }
}

} // namespace

TEST_CASE("jobs whose starts reach nobody wait on")
{
    fixture f;
    prepare(f);
    for (std::size_t i = 0; i < jobs_handed_in; ++i)
    {
        f.submit({}, "job" + std::to_string(i));
    }
    f.decide();
    REQUIRE(f.starts_proposed() == granted_at_once);
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == granted_at_once);
    CHECK(pending(f.state) == jobs_handed_in);

    SECTION("while the starts are on their way")
    {
        pass(f, seconds(3));
        CHECK(pending(f.state) == jobs_handed_in);
    }
    SECTION("when none of them got an answer and their lease has lapsed")
    {
        for (const start_order& one : f.sent<start_order>())
        {
            f.answer(one, {reply::none, {}, {}, {}});
        }
        for (const time_point end = f.now + seconds(8); f.now < end;)
        {
            f.decide(milliseconds(50));
            f.answer_polls({}, "w1");
            f.commit();
        }
        REQUIRE(f.leader.counts().ends_lapsed == granted_at_once);
        CHECK(pending(f.state) == jobs_handed_in);
    }
    SECTION("when the worker has rejected them")
    {
        for (const start_order& one : f.sent<start_order>())
        {
            f.answer(one, {reply::no_room, {}, {}, {}});
        }
        f.decide();
        f.commit();
        REQUIRE(f.leader.counts().ends_not_begun == granted_at_once);
        CHECK(pending(f.state) == jobs_handed_in);
    }
    SECTION("also for a leader that takes over from a snapshot")
    {
        jobs::store copy;
        REQUIRE(copy.restore(f.state.save()));
        CHECK(pending(copy) == jobs_handed_in);
    }
}

TEST_CASE("a job is said to run once a worker has begun one of its tasks, and not before")
{
    fixture f;
    prepare(f);
    const start_order sent = order_one(f);
    const auto phase = [&f]
    {
        return f.state.find("job")->phase;
    };
    CHECK(phase() == jobs::job_phase::queued);
    CHECK(pending(f.state) == 1);

    SECTION("the worker has answered the start")
    {
        f.answer(sent, done());
        pass(f, seconds(1), {{sent.name, "", 10, 0}});
        CHECK(phase() == jobs::job_phase::running);
        CHECK(pending(f.state) == 0);
    }
    SECTION("the worker lists the run, and the answer to the start was lost")
    {
        f.answer(sent, {reply::none, {}, {}, {}});
        pass(f, seconds(1), {{sent.name, "", 10, 0}});
        CHECK(phase() == jobs::job_phase::running);
        CHECK(pending(f.state) == 0);
    }
    SECTION("the worker lists an end of the run, and the answer to the start was lost")
    {
        f.answer(sent, {reply::none, {}, {}, {}});
        f.decide();
        worker_answer got = done();
        got.finished.push_back({1, sent.name, jobs::run_end::lapsed, ""});
        f.answer_poll(got);
        f.decide();
        f.commit();
        CHECK(phase() == jobs::job_phase::running);
        CHECK(pending(f.state) == 0);
    }
    SECTION("a stop that came before the start is not a task that has begun")
    {
        f.answer(sent, {reply::none, {}, {}, {}});
        f.decide();
        worker_answer got = done();
        got.finished.push_back({1, sent.name, jobs::run_end::stopped, ""});
        f.answer_poll(got);
        f.decide();
        f.commit();
        CHECK(phase() == jobs::job_phase::queued);
        CHECK(pending(f.state) == 1);
    }
    SECTION("and it stays begun when its worker is lost")
    {
        f.answer(sent, done());
        pass(f, seconds(1), {{sent.name, "", 10, 0}});
        f.leader.departed(f.now, {"w1"});
        f.decide(milliseconds(600));
        f.commit();
        REQUIRE(f.state.find(sent.name.task)->runs.empty());
        CHECK(pending(f.state) == 0);
    }
}

TEST_CASE("what a worker has begun is recorded, so that the next leader knows it")
{
    fixture f;
    prepare(f);
    const start_order sent = order_one(f);
    f.answer(sent, done());
    f.decide();

    SECTION("within a second, though nothing else is to be recorded")
    {
        pass(f, seconds(1), {{sent.name, "", 10, 0}});
        jobs::store copy;
        REQUIRE(copy.restore(f.state.save()));
        CHECK(pending(copy) == 0);
    }
    SECTION("again where the record of it was lost")
    {
        for (int i = 0; i < 40; ++i)
        {
            f.decide(milliseconds(50));
            f.answer_polls({{sent.name, "", 10, 0}});
            for (const planned_round& one : std::exchange(f.rounds, {}))
            {
                f.leader.round_ended(f.now, one.id, std::nullopt);
            }
        }
        pass(f, seconds(1), {{sent.name, "", 10, 0}});
        CHECK(pending(f.state) == 0);
    }
    SECTION("or learned from the worker by the next leader")
    {
        f.rounds.clear();
        f.open_polls.clear();
        f.leader.lead(f.now, 8, f.state);
        pass(f, seconds(1), {{sent.name, "", 10, 0}});
        CHECK(pending(f.state) == 0);
    }
}
