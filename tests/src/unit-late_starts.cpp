/// @file
/// @brief What else may use starts that are kept for short tasks, and starts whose worker leaves meanwhile.

#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

enum class kind
{
    brief,
    filler,
    lasting,
};

struct job_setup
{
    std::string id;
    kind of = kind::brief;
    std::uint32_t tasks = 1;
    std::uint32_t priority = 0;
    std::int64_t age_ms = 0;
    std::uint32_t extra_ms = 1000;
    std::int64_t cpu_milli = 1000;
};

void hand_in(fixture& f, const job_setup& from)
{
    jobs::submit value;
    value.id = from.id;
    value.source_queue.name = from.of == kind::filler ? "filler" : "queue";
    value.source_queue.service = "pool";
    value.source_queue.priority = from.priority;
    value.source_queue.max_failures = 3;
    value.source_queue.objective_factor = 2;
    value.source_queue.objective_extra_ms = from.extra_ms;
    jobs::step_spec step;
    step.task_count = from.tasks;
    step.needs = {from.cpu_milli, 100, 0};
    step.lasting = from.of == kind::lasting;
    step.filler = from.of == kind::filler;
    step.estimate_ms = 1000;
    value.spec.steps.push_back(step);
    const auto passed = std::chrono::duration_cast<milliseconds>(f.now - start).count();
    value.at_ms = day_ms + passed - from.age_ms;
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

TEST_CASE("fillers don't take the starts that are kept for short tasks while lasting ones wait")
{
    fixture f;
    announce_workers(f);
    hand_in(f, {"lasting", kind::lasting, 100, 0});
    hand_in(f, {"brief", kind::brief, 64, 1, 0, 1000, 20'000}); // fits nowhere
    hand_in(f, {"filler", kind::filler, 100, 2});
    f.decide();
    REQUIRE(count_starts(f, "lasting") > 0);
    INFO(count_starts(f, "lasting") << " lasting, " << count_starts(f, "filler") << " fillers");
    CHECK(count_starts(f, "filler") == 0);
}

TEST_CASE("a start whose record was slow isn't ordered from a worker that drains by then")
{
    fixture f;
    f.announce("worker");
    f.decide();
    f.answer_polls();
    hand_in(f, {"brief", kind::brief, 1, 0});
    f.decide();
    REQUIRE(count_starts(f, "brief") == 1);
    fleet::announcement leaving;
    leaving.life.id = "worker";
    leaving.service = "pool";
    leaving.address = "address-worker";
    leaving.room = {16'000, 64'000, 0};
    leaving.state = fleet::worker_state::draining;
    leaving.time_left_ms = 20'000;
    leaving.sequence = 1;
    f.leader.announced(f.now, leaving);
    f.decide(milliseconds(1200));
    f.commit();
    f.decide();
    CHECK(f.sent<start_order>().empty());
}
