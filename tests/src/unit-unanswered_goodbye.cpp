/// @file
/// @brief A worker that has said goodbye may still run its tasks: they don't start elsewhere until it has
/// ended them.

#include "dispatcher_fixture.hpp"
#include "task_world.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

TEST_CASE("the tasks of a worker whose goodbye got no response don't run twice at once")
{
    test::task_faults faults;
    faults.drains_per_s = 0.05;
    faults.unanswered_goodbyes = 0.5;
    std::size_t completed = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        test::task_world world(seed, faults);
        world.submit_random(30, seconds(18));
        const test::task_outcome out = world.run(seconds(45));
        CAPTURE(seed, out.broken);
        CHECK(out.broken.empty());
        CHECK(out.open == 0);
        completed += out.completed;
    }
    CHECK(completed > 1000);
}

TEST_CASE("the tasks of a leaving worker don't run twice at once when the leader changes")
{
    test::task_faults faults;
    faults.drains_per_s = 0.08;
    faults.unanswered_goodbyes = 1;
    faults.reachable_leavers = GENERATE(0.0, 0.5);
    faults.leader_changes_per_s = 0.2;
    for (std::uint64_t seed = 1; seed <= 110; ++seed)
    {
        test::task_world world(seed, faults);
        world.submit_random(50, seconds(18));
        const test::task_outcome out = world.run(seconds(60), 8);
        CAPTURE(seed, out.broken);
        CHECK(out.broken.empty());
        CHECK(out.open == 0);
    }
}

// The lease of a leaving worker is shorter than the one that it may hold from the previous leader.
TEST_CASE("a run doesn't lapse before the lease that the previous leader gave its worker")
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
    const time_point leased_at = f.now;

    f.leader.lead(f.now, 8, f.state);
    f.open_polls.clear();
    fleet::announcement leaving;
    leaving.life.id = "w1";
    leaving.service = "pool";
    leaving.address = "address-w1";
    leaving.state = fleet::worker_state::draining;
    f.leader.announced(f.now, leaving);
    f.decide();
    f.answer_polls({{{{"job", 0, 0, 0}, 1}, "", 10, 0}});
    const auto has_ended = [&f]
    {
        return std::any_of(f.rounds.begin(),
                           f.rounds.end(),
                           [](const planned_round& one)
                           {
                               return !one.command.ends.empty();
                           });
    };
    while (!has_ended() && f.now < leased_at + seconds(20))
    {
        f.commit();
        f.decide(milliseconds(50));
        f.answer_polls({}, "w1");
    }
    CHECK(f.now > leased_at + dispatch_options{}.lease);
    CHECK(f.now < leased_at + dispatch_options{}.lease + seconds(1));
}
