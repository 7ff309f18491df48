/// @file
/// @brief Single decisions of the dispatcher on fillers beside serving tasks: images, harm and pace.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

TEST_CASE("a filler that would harm wherever it goes waits for a while, not for ever")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    jobs::step_spec serving;
    serving.lasting = true;
    serving.image = "serving";
    serving.tail_target_ms = 50;
    f.submit(serving, "lasting");
    f.decide();
    f.commit();
    f.decide();
    const start_order sent = f.sent<start_order>().at(0);
    f.answer(sent, {reply::done, {}, {}, {}});
    f.decide();
    const std::vector<running_row> near_its_target = {{sent.name, "", 100, 45}};
    f.answer_holds(near_its_target);
    jobs::step_spec filler;
    filler.filler = true;
    filler.image = "filler";
    f.submit(filler, "filling");
    f.submit(filler, "filling too");
    const time_point submitted = f.now;
    while (f.starts_proposed() == 0 && f.now < submitted + seconds(10))
    {
        f.announce("w1");
        f.decide(milliseconds(100));
        f.answer_holds(near_its_target);
    }
    CHECK(f.starts_proposed() == 1); // one of the two: the other doesn't press on the same worker
    CHECK(f.now > submitted + milliseconds(7900));
}

TEST_CASE("serving tasks of one image share workers, those of others get workers of their own")
{
    fixture f;
    f.announce("w1");
    f.announce("w2");
    f.decide();
    f.answer_holds();
    const auto worker_of = [&f](const std::string& job, const std::string& image)
    {
        jobs::step_spec serving;
        serving.lasting = true;
        serving.image = image;
        serving.tail_target_ms = 50;
        f.submit(serving, job);
        f.decide();
        REQUIRE(f.starts_proposed() == 1);
        std::string worker;
        for (const planned_round& round : f.rounds)
        {
            worker = round.command.starts.empty() ? worker : round.command.starts[0].worker;
        }
        f.commit();
        return worker;
    };
    const std::string first = worker_of("a", "image");
    CHECK(worker_of("b", "image") == first);
    CHECK(worker_of("c", "other image") != first);
    CHECK(worker_of("d", "image") == first);
}

TEST_CASE("a new leader sets the pace of fillers that an earlier one may have slowed")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    jobs::step_spec filler;
    filler.filler = true;
    filler.image = "filler";
    f.submit(filler, "filling");
    f.decide();
    f.commit();
    f.decide();
    const start_order sent = f.sent<start_order>().at(0);
    f.answer(sent, {reply::done, {}, {}, {}});
    f.open_holds.clear();

    f.leader.lead(f.now, 8, f.state);
    f.announce("w1");
    f.decide();
    f.answer_holds({{sent.name, "", 10, 0}});
    f.decide();
    REQUIRE(f.sent<pace_order>().size() == 1);
    CHECK(f.sent<pace_order>()[0].name == sent.name);
    CHECK(f.sent<pace_order>()[0].percent >= 50);
    f.answer(f.sent<pace_order>()[0], {reply::done, {}, {}, {}});
    f.decide();
    CHECK(f.sent<pace_order>().empty());
}

TEST_CASE("what a leader learned of images is recorded, and the next one goes on with it")
{
    fixture f;
    jobs::round round;
    round.learned = {{{"serving", "filler"}, 900, 5000}};
    CHECK_FALSE(round.empty());
    (void)f.state.apply(round);
    jobs::store restored;
    REQUIRE(restored.restore(f.state.save()));
    CHECK(restored.learned() == f.state.learned());

    interference next;
    next.take_over(restored.learned());
    CHECK(next.effect("serving", "filler") > 0.85);
    CHECK(next.evidence("serving", "filler") == 5);
    CHECK(next.take_changed().empty()); // recorded already
    const std::vector<filler_beside> beside = {{"filler", 1}};
    next.observe("serving", 1.5, false, beside);
    next.observe("serving", 1.5, false, beside);
    REQUIRE(next.take_changed().size() == 1);
    CHECK(next.take_changed().empty());
}
