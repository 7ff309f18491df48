/// @file
/// @brief Decisions of the dispatcher when there is more work than room: who goes first, what is kept free.

#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

constexpr std::int64_t worker_milli = 16'000; // as the fixture announces them

/// @brief A job of one step whose objective is twice its length and a second more.
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

/// @brief Decides and commits until nothing more is granted; answers starts and polls.
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
        f.answer_holds(rows);
    }
}

/// @brief Ends all runs of a job, as their workers list them.
void finish(fixture& f, const std::string& job)
{
    f.decide(milliseconds(100)); // polls go out
    for (const hold_order& one : std::exchange(f.open_holds, {}))
    {
        worker_answer got;
        got.how = reply::done;
        for (const auto& [name, run] : f.leader.runs())
        {
            if (run.worker == one.to.worker && name.task.job == job)
            {
                got.finished.push_back({got.finished.size() + 1, name, jobs::run_end::done, ""});
            }
        }
        f.answer(one, got);
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

// Load: jobs of a whole outage wait, more than can ever be in time. Served by age, each one is just too late,
// and so are all that come after.
TEST_CASE("a job that is past its worth gives way to one that can still be in time")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    const jobs::step_spec whole_worker = step_of(1, worker_milli);
    (void)f.state.apply(job_of("a past its worth", day_ms - 20'000, whole_worker));
    (void)f.state.apply(job_of("b too late", day_ms - 2500, whole_worker)); // due in 0.5 s, runs for 1 s
    (void)f.state.apply(job_of("c in time", day_ms - 500, whole_worker));
    f.decide();
    REQUIRE(starts_of(f).size() == 1);
    CHECK(starts_of(f)[0].name.task.job == "c in time");
}

// Load: lasting tasks that come until all workers are full, and short tasks that are large against a worker.
// With a share of each worker kept free a short task of 12 cores found no room on any of them.
TEST_CASE("lasting tasks leave whole places for the short tasks that were seen")
{
    fixture f;
    for (int i = 0; i < 10; ++i)
    {
        f.announce("w" + std::to_string(i));
    }
    f.decide();
    f.answer_holds();
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
    CHECK(places <= 4); // and no more than are needed
}

TEST_CASE("a lasting job that has nothing running gets a place, whatever is kept for short ones")
{
    fixture f;
    f.announce("w1");
    f.announce("w2");
    f.decide();
    f.answer_holds();
    std::vector<running_row> rows;
    (void)f.state.apply(job_of("short", day_ms, step_of(2, 12'000)));
    settle(f, rows);
    rows.clear();
    finish(f, "short");
    const std::int64_t now_ms = day_ms + std::chrono::duration_cast<milliseconds>(f.now - start).count();
    (void)f.state.apply(job_of("lasting", now_ms, step_of(6, 5000, true)));
    settle(f, rows);
    CHECK(runs_of(f, "lasting") <= 3); // one worker is kept
    (void)f.state.apply(job_of("other", now_ms, step_of(6, 5000, true)));
    settle(f, rows);
    CHECK(runs_of(f, "other") >= 1); // after 2 s it isn't left with nothing
}
