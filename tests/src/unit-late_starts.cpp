/// @file
/// @brief Other uses of starts reserved for short tasks, and starts whose worker drains before they are sent.

#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

enum class job_kind
{
    brief,
    filler,
    lasting,
};

struct job_setup
{
    std::string id;
    job_kind kind = job_kind::brief;
    std::uint32_t tasks = 1;
    std::uint32_t priority = 0;
    std::int64_t age_ms = 0;
    std::uint32_t extra_ms = 1000;
    std::int64_t cpu_milli = 1000;
};

void submit_setup(fixture& f, const job_setup& setup)
{
    jobs::submit value;
    value.id = setup.id;
    value.source_queue.name = setup.kind == job_kind::filler ? "filler" : "queue";
    value.source_queue.service = "pool";
    value.source_queue.priority = setup.priority;
    value.source_queue.max_failures = 3;
    value.source_queue.objective_factor = 2;
    value.source_queue.objective_extra_ms = setup.extra_ms;
    jobs::step_spec step;
    step.task_count = setup.tasks;
    step.needs = {setup.cpu_milli, 100, 0};
    step.lasting = setup.kind == job_kind::lasting;
    step.filler = setup.kind == job_kind::filler;
    step.estimate_ms = 1000;
    value.spec.steps.push_back(step);
    const auto passed = std::chrono::duration_cast<milliseconds>(f.now - start).count();
    value.at_ms = day_ms + passed - setup.age_ms;
    (void)f.state.apply(value);
}

std::size_t count_starts(const fixture& f, const std::string& prefix)
{
    std::size_t out = 0;
    for (const planned_round& one : f.rounds)
    {
        out += static_cast<std::size_t>(std::count_if(one.command.starts.begin(),
                                                      one.command.starts.end(),
                                                      [&prefix](const jobs::run_started& of)
                                                      {
                                                          return of.name.task.job.view().starts_with(prefix);
                                                      }));
    }
    return out;
}

void announce_workers(fixture& f)
{
    for (int i = 0; i < 100; ++i)
    {
        f.announce("worker" + std::to_string(i));
    }
    f.decide();
    f.answer_polls();
}

} // namespace

TEST_CASE("fillers don't use the starts reserved for short tasks while lasting tasks wait")
{
    fixture f;
    announce_workers(f);
    submit_setup(f, {"lasting", job_kind::lasting, 100, 0});
    submit_setup(f, {"brief", job_kind::brief, 64, 1, 0, 1000, 20'000}); // needs more than any worker has
    submit_setup(f, {"filler", job_kind::filler, 100, 2});
    f.decide();
    REQUIRE(count_starts(f, "lasting") > 0);
    INFO(count_starts(f, "lasting") << " lasting, " << count_starts(f, "filler") << " fillers");
    CHECK(count_starts(f, "filler") == 0);
}

TEST_CASE("a start whose record commits slowly isn't sent to a worker that drains meanwhile")
{
    fixture f;
    f.announce("worker");
    f.decide();
    f.answer_polls();
    submit_setup(f, {"brief", job_kind::brief, 1, 0});
    f.decide();
    REQUIRE(count_starts(f, "brief") == 1);
    fleet::announcement draining_announcement;
    draining_announcement.life.id = "worker";
    draining_announcement.service = "pool";
    draining_announcement.address = "address-worker";
    draining_announcement.room = {16'000, 64'000, 0};
    draining_announcement.state = fleet::worker_state::draining;
    draining_announcement.time_left_ms = 20'000;
    draining_announcement.sequence = 1;
    f.leader.announced(f.now, draining_announcement);
    f.decide(milliseconds(1200));
    f.commit();
    f.decide();
    CHECK(f.sent<start_order>().empty());
}

TEST_CASE("a start that got no response isn't sent again to a worker that leaves")
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
    f.answer(f.orders.at(0), {reply::none, {}, {}, {}});
    fleet::announcement leaving = f.leader.workers().begin()->second.info;
    leaving.state = fleet::worker_state::draining;
    leaving.time_left_ms = 2000;
    f.leader.announced(f.now, leaving);
    std::size_t stops = 0;
    for (int i = 0; i < 20; ++i)
    {
        f.decide(milliseconds(100));
        CHECK(f.sent<start_order>().empty());
        stops += f.sent<stop_order>().size();
    }
    CHECK(stops > 0); // the unanswered start may still be carried out
}

TEST_CASE("a start that may still be queued for its connection is withdrawn when its worker leaves")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1); // and not answered
    fleet::announcement leaving = f.leader.workers().begin()->second.info;
    leaving.state = fleet::worker_state::draining;
    leaving.time_left_ms = 2000;
    f.leader.announced(f.now, leaving);
    std::size_t stops = 0;
    for (int i = 0; i < 4; ++i)
    {
        f.decide(milliseconds(25));
        stops += f.sent<stop_order>().size();
    }
    CHECK(stops == 1); // it removes the start from the queue
}
