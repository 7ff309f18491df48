/// @file
/// @brief Headroom for short tasks when lasting tasks that lost their worker are restarted.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

jobs::step_spec lasting_step(std::int64_t cpu_milli, const std::string& image)
{
    jobs::step_spec out;
    out.task_count = 1;
    out.needs = {cpu_milli, 100, 0};
    out.lasting = true;
    out.image = image;
    out.tail_target_ms = 10;
    return out;
}

/// @brief Submits one lasting task and starts it.
/// @return the worker that runs it
std::string
start_lasting(fixture& f, const std::string& job, std::int64_t cpu_milli, const std::string& image)
{
    f.submit(lasting_step(cpu_milli, image), job, 1);
    f.decide();
    f.commit();
    f.decide();
    const std::vector<start_order> sent = f.sent<start_order>();
    REQUIRE(sent.size() == 1);
    f.answer(sent[0], {reply::done, {}, {}, {}});
    return sent[0].to.worker.id;
}

/// @brief Answers all polls: the runs of this job have ended, all others continue.
void end_job(fixture& f, const jobs::job_id& job)
{
    for (const poll_order& one : std::exchange(f.open_polls, {}))
    {
        worker_answer got;
        got.how = reply::done;
        for (const auto& [name, run] : f.leader.runs())
        {
            if (run.worker != one.to.worker)
            {
                continue;
            }
            if (name.task.job == job)
            {
                got.finished.push_back({got.finished.size() + 1, name, jobs::run_end::done, ""});
                continue;
            }
            got.running.push_back({name, "", 100, 0});
        }
        f.answer(one, got);
    }
    f.decide();
    f.commit();
}

} // namespace

TEST_CASE("a restarted lasting task leaves a slot for short tasks free if another worker has capacity")
{
    fixture f;
    const auto add_worker = [&f](const std::string& id)
    {
        f.announce(id);
        f.decide();
        f.answer_polls();
    };
    add_worker("lost");
    REQUIRE(start_lasting(f, "full one", 13'000, "three") == "lost");
    add_worker("kept");
    REQUIRE(start_lasting(f, "full other", 13'000, "four") == "kept");
    jobs::step_spec restarted = lasting_step(2500, "one");
    restarted.task_count = 2;
    restarted.max_per_worker = 1;
    f.submit(restarted, "back", 1);
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 2);
    for (const start_order& one : f.sent<start_order>())
    {
        f.answer(one, {reply::done, {}, {}, {}});
    }
    add_worker("with place");
    REQUIRE(start_lasting(f, "a", 7000, "one") == "with place");
    add_worker("with rest");
    REQUIRE(start_lasting(f, "b", 13'000, "two") == "with rest");
    jobs::step_spec short_task;
    short_task.task_count = 1;
    short_task.needs = {8000, 100, 0};
    f.submit(short_task, "short", 0);
    f.decide();
    f.commit();
    f.decide();
    for (const start_order& one : f.sent<start_order>())
    {
        f.answer(one, {reply::done, {}, {}, {}});
    }
    for (int i = 0; i < 20 && f.state.find("short")->phase != jobs::job_phase::completed; ++i)
    {
        f.decide(milliseconds(100));
        end_job(f, "short");
    }
    REQUIRE(f.state.find("short")->phase == jobs::job_phase::completed);
    fleet::announcement leaving = f.leader.workers().at({"lost"}).info;
    leaving.state = fleet::worker_state::draining;
    f.leader.announced(f.now, leaving);
    worker_answer another_process;
    another_process.how = reply::other_life; // at its address: it has ended
    f.answer(poll_order{{leaving.life, leaving.address}, 7, 0, {}, 0}, another_process);
    std::string restarted_on;
    for (int i = 0; i < 60 && restarted_on.empty(); ++i)
    {
        f.decide(milliseconds(50));
        f.commit();
        for (const start_order& one : f.sent<start_order>())
        {
            restarted_on = one.name.task.job == jobs::job_id("back") ? one.to.worker.id : restarted_on;
        }
    }
    CHECK(restarted_on == "with rest");
}
