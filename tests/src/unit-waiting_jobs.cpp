/// @file
/// @brief The number of waiting jobs includes those whose start order hasn't begun a task on a worker yet.
///
/// Guards against a queue that reports 8 waiting jobs while 23 have waited for five seconds. The leader
/// records a grant and then sends the start. If the worker doesn't respond, or the leader has no processor
/// time to send the order, nothing runs until the lease of 4 s expires, and the next grant may fail in the
/// same way. A job once counted as begun, for good, from the record of its first grant; neither a rejected
/// start nor one that expired without an answer reverted that. With 23 jobs and one worker with capacity for
/// 16 that answers polls but no starts, only 7 of the 23 counted as waiting, even after all 16 runs had ended
/// without beginning.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

constexpr std::size_t submitted_jobs = 23;
constexpr std::size_t initial_grants = 16; // number of cores of the worker

worker_answer successful_answer()
{
    worker_answer result;
    result.how = reply::done;
    return result;
}

std::uint32_t pending(const jobs::store& state)
{
    return state.pending(jobs::queue{}); // the jobs of the fixture have neither host nor path
}

/// @brief Announces a worker and answers its first poll.
void add_worker(fixture& f)
{
    f.announce("w1");
    f.decide();
    f.answer_polls();
}

/// @brief Submits one job and returns the start order for its task.
start_order submit_and_order_start(fixture& f, jobs::step_spec step = {})
{
    f.submit(std::move(step));
    f.decide();
    f.commit();
    f.decide();
    return f.sent<start_order>().at(0);
}

/// @brief Advances the time; polls are answered with these rows, starts and stops remain unanswered.
void advance_time(fixture& f, duration elapsed, const std::vector<running_row>& rows = {})
{
    for (const time_point end = f.now + elapsed; f.now < end;)
    {
        f.announce("w1");
        f.decide(milliseconds(50));
        f.answer_polls(rows);
        f.commit();
    }
}

} // namespace

TEST_CASE("jobs whose start orders don't take effect keep waiting")
{
    fixture f;
    add_worker(f);
    for (std::size_t i = 0; i < submitted_jobs; ++i)
    {
        f.submit({}, "job" + std::to_string(i));
    }
    f.decide();
    REQUIRE(f.starts_proposed() == initial_grants);
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == initial_grants);
    CHECK(pending(f.state) == submitted_jobs);

    SECTION("while the start orders are in flight")
    {
        advance_time(f, seconds(3));
        CHECK(pending(f.state) == submitted_jobs);
    }
    SECTION("when none was answered and their leases have expired")
    {
        for (const start_order& order_sent : f.sent<start_order>())
        {
            f.answer(order_sent, {reply::none, {}, {}, {}});
        }
        for (const time_point end = f.now + seconds(8); f.now < end;)
        {
            f.decide(milliseconds(50));
            f.answer_polls({}, "w1");
            f.commit();
        }
        REQUIRE(f.leader.counts().ends_lapsed == initial_grants);
        CHECK(pending(f.state) == submitted_jobs);
    }
    SECTION("when the worker rejects them")
    {
        for (const start_order& order_sent : f.sent<start_order>())
        {
            f.answer(order_sent, {reply::no_room, {}, {}, {}});
        }
        f.decide();
        f.commit();
        REQUIRE(f.leader.counts().ends_not_begun == initial_grants);
        CHECK(pending(f.state) == submitted_jobs);
    }
    SECTION("after the state is restored from a snapshot")
    {
        jobs::store copy;
        REQUIRE(copy.restore(f.state.save()));
        CHECK(pending(copy) == submitted_jobs);
    }
}

TEST_CASE("a job is reported as running only after a worker has begun one of its tasks")
{
    fixture f;
    add_worker(f);
    const start_order sent = submit_and_order_start(f);
    const auto phase = [&f]
    {
        return f.state.find("job")->phase;
    };
    CHECK(phase() == jobs::job_phase::queued);
    CHECK(pending(f.state) == 1);

    SECTION("the worker accepts the start")
    {
        f.answer(sent, successful_answer());
        advance_time(f, seconds(1), {{sent.name, "", 10, 0}});
        CHECK(phase() == jobs::job_phase::running);
        CHECK(pending(f.state) == 0);
    }
    SECTION("the worker lists the run although the answer to the start was lost")
    {
        f.answer(sent, {reply::none, {}, {}, {}});
        advance_time(f, seconds(1), {{sent.name, "", 10, 0}});
        CHECK(phase() == jobs::job_phase::running);
        CHECK(pending(f.state) == 0);
    }
    SECTION("the worker lists the run as finished although the answer to the start was lost")
    {
        f.answer(sent, {reply::none, {}, {}, {}});
        f.decide();
        worker_answer response = successful_answer();
        response.finished.push_back({1, sent.name, jobs::run_end::lapsed, ""});
        f.answer_poll(response);
        f.decide();
        f.commit();
        CHECK(phase() == jobs::job_phase::running);
        CHECK(pending(f.state) == 0);
    }
    SECTION("a stop that arrives before the start doesn't count as a begun task")
    {
        f.answer(sent, {reply::none, {}, {}, {}});
        f.decide();
        worker_answer response = successful_answer();
        response.finished.push_back({1, sent.name, jobs::run_end::stopped, ""});
        f.answer_poll(response);
        f.decide();
        f.commit();
        CHECK(phase() == jobs::job_phase::queued);
        CHECK(pending(f.state) == 1);
    }
    SECTION("a begun job doesn't return to waiting when its worker is lost")
    {
        f.answer(sent, successful_answer());
        advance_time(f, seconds(1), {{sent.name, "", 10, 0}});
        worker_answer another_process;
        another_process.how = reply::other_life; // at its address: it has ended
        f.answer(poll_order{sent.to, 7, 0, {}, 0}, another_process);
        f.decide(milliseconds(600));
        f.commit();
        REQUIRE(f.state.find(sent.name.task)->runs.empty());
        CHECK(pending(f.state) == 0);
    }
}

TEST_CASE("the tasks that a worker has begun are recorded for the next leader")
{
    fixture f;
    add_worker(f);
    const start_order sent = submit_and_order_start(f);
    f.answer(sent, successful_answer());
    f.decide();

    SECTION("within a second, even if nothing else has to be recorded")
    {
        advance_time(f, seconds(1), {{sent.name, "", 10, 0}});
        jobs::store copy;
        REQUIRE(copy.restore(f.state.save()));
        CHECK(pending(copy) == 0);
    }
    SECTION("again if the first record was lost")
    {
        for (int i = 0; i < 40; ++i)
        {
            f.decide(milliseconds(50));
            f.answer_polls({{sent.name, "", 10, 0}});
            for (const planned_round& lost_round : std::exchange(f.rounds, {}))
            {
                f.leader.round_ended(f.now, lost_round.id, std::nullopt);
            }
        }
        advance_time(f, seconds(1), {{sent.name, "", 10, 0}});
        CHECK(pending(f.state) == 0);
    }
    SECTION("or the next leader learns it from the worker")
    {
        f.rounds.clear();
        f.open_polls.clear();
        f.leader.lead(f.now, 8, f.state);
        advance_time(f, seconds(1), {{sent.name, "", 10, 0}});
        CHECK(pending(f.state) == 0);
    }
}
