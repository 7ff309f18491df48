/// @file
/// @brief Decisions of the dispatcher with more work than room: order of jobs and reserved room.

#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

constexpr std::int64_t worker_milli = 16'000; // as announced by the fixture

/// @brief A job of one step with an objective of twice its duration plus one second.
jobs::submit job_of(const std::string& id, std::int64_t accepted_at_ms, jobs::step_spec step)
{
    jobs::submit value;
    value.id = id;
    value.source_queue.name = "queue";
    value.source_queue.service = "pool";
    value.source_queue.max_failures = 3;
    value.source_queue.objective_factor = 2;
    value.source_queue.objective_extra_ms = 1000;
    step.estimate_ms = 1000;
    value.spec.steps.push_back(std::move(step));
    value.at_ms = accepted_at_ms;
    return value;
}

jobs::step_spec step_of(std::uint32_t tasks, std::int64_t cpu_milli, bool lasting = false)
{
    jobs::step_spec step;
    step.task_count = tasks;
    step.needs = {cpu_milli, 100, 0};
    step.lasting = lasting;
    return step;
}

std::vector<jobs::run_started> starts_of(const fixture& f)
{
    std::vector<jobs::run_started> out;
    for (const planned_round& one : f.rounds)
    {
        out.insert(out.end(), one.command.starts.begin(), one.command.starts.end());
    }
    return out;
}

/// @brief Decides and commits for 1.5 s, and answers starts and polls.
void settle(fixture& f, std::vector<running_row>& rows)
{
    for (int i = 0; i < 20; ++i) // 1.5 s
    {
        f.decide(milliseconds(50));
        f.commit();
        f.decide();
        for (const start_order& one : f.sent<start_order>())
        {
            f.answer(one, {reply::done, {}, {}, {}});
            rows.push_back({one.name, "", 100, 0});
        }
        f.answer_polls(rows);
    }
}

/// @brief Ends all runs of a job by their workers' answers to polls.
void finish(fixture& f, const std::string& job)
{
    f.decide(milliseconds(100)); // sends polls
    for (const poll_order& one : std::exchange(f.open_polls, {}))
    {
        worker_answer response;
        response.how = reply::done;
        for (const auto& [name, run] : f.leader.runs())
        {
            if (run.worker == one.to.worker && name.task.job == job)
            {
                response.finished.push_back({response.finished.size() + 1, name, jobs::run_end::done, ""});
            }
        }
        f.answer(one, response);
    }
    f.decide();
    f.commit();
}

std::ptrdiff_t runs_of(const fixture& f, const std::string& job)
{
    return std::count_if(f.leader.runs().begin(),
                         f.leader.runs().end(),
                         [&job](const auto& entry)
                         {
                             return entry.first.task.job == job;
                         });
}

} // namespace

// After an outage more jobs wait than can end in time. In order of age each of them would end just too late,
// and so would all later ones.
TEST_CASE("a hopelessly late job yields to one that can still end in time")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    const jobs::step_spec whole_worker = step_of(1, worker_milli);
    (void)f.state.apply(job_of("a past its worth", day_ms - 20'000, whole_worker));
    (void)f.state.apply(job_of("b too late", day_ms - 2500, whole_worker)); // due in 0.5 s, runs for 1 s
    (void)f.state.apply(job_of("c in time", day_ms - 500, whole_worker));
    f.decide();
    REQUIRE(starts_of(f).size() == 1);
    CHECK(starts_of(f)[0].name.task.job == "c in time");
}

// Lasting tasks fill all workers, and short tasks need most of a worker. If a share of each worker were
// reserved instead of whole places, a short task of 12 cores would fit on none of them.
TEST_CASE("lasting tasks leave whole places for short tasks like those seen before")
{
    fixture f;
    for (int i = 0; i < 10; ++i)
    {
        f.announce("w" + std::to_string(i));
    }
    f.decide();
    f.answer_polls();
    std::vector<running_row> rows;
    constexpr std::int64_t short_milli = 12'000;
    (void)f.state.apply(job_of("short", day_ms, step_of(2, short_milli)));
    settle(f, rows);
    rows.clear();
    finish(f, "short");
    REQUIRE(runs_of(f, "short") == 0);
    (void)f.state.apply(job_of("lasting", day_ms, step_of(60, 3000, true)));
    settle(f, rows);
    const auto free_for_short = [](const auto& entry)
    {
        return entry.second.info.room.cpu_milli - entry.second.lasting_cpu_milli >= short_milli;
    };
    const auto places = std::count_if(f.leader.workers().begin(), f.leader.workers().end(), free_for_short);
    CHECK(places >= 2);
    CHECK(places <= 4); // no more than needed
}

TEST_CASE("a lasting job without running tasks gets a place despite the room reserved for short tasks")
{
    fixture f;
    f.announce("w1");
    f.announce("w2");
    f.decide();
    f.answer_polls();
    std::vector<running_row> rows;
    (void)f.state.apply(job_of("short", day_ms, step_of(2, 12'000)));
    settle(f, rows);
    rows.clear();
    finish(f, "short");
    const std::int64_t now_ms = day_ms + std::chrono::duration_cast<milliseconds>(f.now - start).count();
    (void)f.state.apply(job_of("lasting", now_ms, step_of(6, 5000, true)));
    settle(f, rows);
    CHECK(runs_of(f, "lasting") <= 3); // one worker is reserved
    (void)f.state.apply(job_of("other", now_ms, step_of(6, 5000, true)));
    settle(f, rows);
    CHECK(runs_of(f, "other") >= 1); // urgent after 2 s without a running task
}
