/// @file
/// @brief Workers whose announcements are delayed although they answer their polls.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

/// @brief Advances the time by 50 ms steps without announcements; polls are answered with the run.
/// @param silent worker that answers no poll; none if empty
void advance_without_announcements(fixture& f,
                                   const jobs::run_name& running,
                                   duration span,
                                   const std::string& silent = {})
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

TEST_CASE("a worker that answers its polls is given tasks while its announcements are delayed")
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

    SECTION("while it answers")
    {
        advance_without_announcements(f, started.name, seconds(7));
        CHECK(starts_after_submit(f) == 1);
    }
    SECTION("but not after it stops answering")
    {
        advance_without_announcements(f, started.name, seconds(5));
        advance_without_announcements(f, started.name, seconds(2), "w1");
        CHECK(starts_after_submit(f) == 0);
    }
    SECTION("without any announcement it is not given tasks indefinitely")
    {
        advance_without_announcements(f, started.name, seconds(16));
        CHECK(starts_after_submit(f) == 0);
    }
    SECTION("a worker that announced that it drains is given no tasks")
    {
        fleet::announcement draining_announcement;
        draining_announcement.life.id = "w1";
        draining_announcement.service = "pool";
        draining_announcement.address = "address-w1";
        draining_announcement.room = {16'000, 64'000, 0};
        draining_announcement.state = fleet::worker_state::draining;
        draining_announcement.time_left_ms = 60'000;
        f.leader.announced(f.now, draining_announcement);
        advance_without_announcements(f, started.name, seconds(7));
        CHECK(starts_after_submit(f) == 0);
    }
}
