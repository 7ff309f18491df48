/// @file
/// @brief Workers whose announcements are held up on their way, though they answer their polls.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

/// @brief Lets time pass; polls are answered with the run, and nothing is announced.
void pass(fixture& f, const jobs::run_name& running, duration span, const std::string& silent = {})
{
    for (const time_point end = f.now + span; f.now < end;)
    {
        f.decide(milliseconds(50));
        f.answer_polls({{running, "", 100, 0}}, silent);
        f.commit();
    }
}

std::size_t starts_after_submit(fixture& f)
{
    f.submit({}, "next");
    f.decide();
    return f.starts_proposed();
}

} // namespace

TEST_CASE("a worker that answers its polls takes tasks while its announcements are late")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    jobs::step_spec step;
    step.lasting = true;
    f.submit(step);
    f.decide();
    f.commit();
    f.decide();
    const start_order started = f.sent<start_order>().at(0);
    f.answer(started, {reply::done, {}, {}, {}});

    SECTION("as long as it answers")
    {
        pass(f, started.name, seconds(7));
        CHECK(starts_after_submit(f) == 1);
    }
    SECTION("and not once it answers nothing")
    {
        pass(f, started.name, seconds(5));
        pass(f, started.name, seconds(2), "w1");
        CHECK(starts_after_submit(f) == 0);
    }
    SECTION("without any announcement it isn't taken for ever")
    {
        pass(f, started.name, seconds(16));
        CHECK(starts_after_submit(f) == 0);
    }
    SECTION("one that has said that it leaves is not taken")
    {
        fleet::announcement leaving;
        leaving.life.id = "w1";
        leaving.service = "pool";
        leaving.address = "address-w1";
        leaving.room = {16'000, 64'000, 0};
        leaving.state = fleet::worker_state::draining;
        leaving.time_left_ms = 60'000;
        f.leader.announced(f.now, leaving);
        pass(f, started.name, seconds(7));
        CHECK(starts_after_submit(f) == 0);
    }
}
