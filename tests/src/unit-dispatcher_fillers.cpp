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
    f.answer_polls();
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
    f.answer_polls(near_its_target);
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
        f.answer_polls(near_its_target);
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
    f.answer_polls();
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
            worker = round.command.starts.empty() ? worker : round.command.starts[0].worker.id;
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
    f.answer_polls();
    jobs::step_spec filler;
    filler.filler = true;
    filler.image = "filler";
    f.submit(filler, "filling");
    f.decide();
    f.commit();
    f.decide();
    const start_order sent = f.sent<start_order>().at(0);
    f.answer(sent, {reply::done, {}, {}, {}});
    f.open_polls.clear();

    f.leader.lead(f.now, 8, f.state);
    f.announce("w1");
    f.decide();
    f.answer_polls({{sent.name, "", 10, 0}});
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
    const std::vector<filler_beside> beside = {{next.number_of("filler"), 1}};
    next.observe(next.number_of("serving"), 1.5, false, beside);
    next.observe(next.number_of("serving"), 1.5, false, beside);
    REQUIRE(next.take_changed().size() == 1);
    CHECK(next.take_changed().empty());
}

namespace
{

/// @brief Two serving tasks of one job on two workers, and a filler beside one of them.
struct beside_serving
{
    beside_serving()
    {
        f.announce("w1");
        f.announce("w2");
        f.decide();
        f.answer_polls();
        jobs::step_spec serving;
        serving.lasting = true;
        serving.image = "serving";
        serving.tail_target_ms = target_ms;
        serving.task_count = 2;
        serving.max_per_worker = 1;
        f.submit(serving, "lasting");
        start_all();
        jobs::step_spec filler;
        filler.filler = true;
        filler.image = "filler";
        filler.saves_progress = true;
        f.submit(filler, "filling");
        report(calm_ms, calm_ms);
        start_all();
        report(calm_ms, calm_ms);
        REQUIRE(filling() != nullptr);
    }

    void start_all()
    {
        f.decide();
        f.commit();
        f.decide();
        for (const start_order& one : f.sent<start_order>())
        {
            f.answer(one, {reply::done, {}, {}, {}});
        }
    }

    const run_view* filling()
    {
        for (const auto& [name, run] : f.leader.runs())
        {
            if (run.filler)
            {
                return &run;
            }
        }
        return nullptr;
    }

    /// @brief One round of polls: the serving task beside the filler has this tail, the other that one.
    void report(std::int64_t beside_ms, std::int64_t other_ms)
    {
        const run_view* filler = filling();
        ++percent;
        std::vector<running_row> rows;
        for (const auto& [name, run] : f.leader.runs())
        {
            const bool beside = filler != nullptr && run.worker == filler->worker;
            rows.push_back({name,
                            "",
                            run.filler ? percent : 100,
                            run.filler ? 1000
                            : beside   ? beside_ms
                                       : other_ms});
        }
        f.announce("w1");
        f.announce("w2");
        f.decide(milliseconds(100));
        f.commit();
        f.answer_polls(rows);
        for (const pace_order& one : f.sent<pace_order>())
        {
            paces.push_back(one.percent);
            f.answer(one, {reply::done, {}, {}, {}});
        }
        for (const stop_order& one : f.sent<stop_order>())
        {
            stopped = stopped || one.name.task.job == "filling";
        }
    }

    static constexpr std::int64_t target_ms = 50;
    static constexpr std::int64_t calm_ms = 15;
    fixture f;
    std::int64_t percent = 0; // of the filler: it goes on
    std::vector<std::uint32_t> paces;
    bool stopped = false;
};

} // namespace

// Load: serving tasks that use two thirds of what they reserve, at the peak of their own load. A constant for
// the least slack that own load leaves took each such peak for harm done by the fillers, and nothing of them
// was done (0.05 of their worth in place of 0.2, on days with such a load).
TEST_CASE("a filler is not slowed for what the serving tasks' own load does")
{
    beside_serving beside;
    constexpr std::int64_t peak_ms = 45; // slack 1.1 on both workers
    for (std::int64_t tail_ms = beside_serving::calm_ms; tail_ms <= peak_ms; ++tail_ms)
    {
        beside.report(tail_ms, tail_ms);
    }
    for (int i = 0; i < 30; ++i)
    {
        beside.report(peak_ms, peak_ms);
    }
    CHECK(beside.paces.empty());
    CHECK_FALSE(beside.stopped);
}

TEST_CASE("a filler is slowed where its serving task lags behind a sibling that nothing disturbs")
{
    beside_serving beside;
    for (int i = 0; i < 30 && beside.paces.empty(); ++i)
    {
        beside.report(48, 20);
    }
    REQUIRE_FALSE(beside.paces.empty());
    CHECK(beside.paces.front() < 100);
}

// Load: 1,800 workers with fillers beside what serves. Asked twice a second each, whatever their slack was,
// they took two fifths of their leader's processor.
TEST_CASE("a worker is asked twice a second only while a serving task there is near its target")
{
    beside_serving beside;
    const auto next_wait_ms = [&beside]
    {
        beside.f.decide();
        const fleet::worker_life worker = beside.filling()->worker;
        const auto asked = std::find_if(beside.f.open_polls.begin(),
                                        beside.f.open_polls.end(),
                                        [&worker](const poll_order& one)
                                        {
                                            return one.to.worker == worker;
                                        });
        REQUIRE(asked != beside.f.open_polls.end());
        return asked->wait_ms;
    };
    const dispatch_options limits;
    CHECK(next_wait_ms() == limits.watched_poll_wait.count()); // what the filler does isn't known yet
    for (int i = 0; i < 10; ++i)
    {
        beside.report(beside_serving::calm_ms, beside_serving::calm_ms);
    }
    CHECK(next_wait_ms() == limits.poll_wait.count());
    beside.report(29, 29); // slack 1.72
    CHECK(next_wait_ms() == limits.poll_wait.count());
    beside.report(30, 30); // slack 1.67
    CHECK(next_wait_ms() == limits.watched_poll_wait.count());
}

// Symptom: a serving task was over its target for more than four seconds beside fillers. Sequence: its figure
// is rough, and now and then one report in a row of bad ones is just under the target. Cause: each of these
// began the count anew, so the fillers were never ended.
TEST_CASE("one report that is just under the target doesn't end a time over it")
{
    beside_serving beside;
    const time_point begun = beside.f.now;
    for (int i = 0; !beside.stopped && beside.f.now < begun + seconds(10); ++i)
    {
        beside.report(i % 8 == 7 ? 48 : 55, 20);
    }
    CHECK(beside.stopped);
    CHECK(beside.f.now < begun + milliseconds(3500));
}
