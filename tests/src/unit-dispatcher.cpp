/// @file
/// @brief Single decisions of the dispatcher, step by step.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

TEST_CASE("a start is recorded before it is ordered")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    f.submit({});
    f.decide();
    CHECK(f.starts_proposed() == 1);
    CHECK(f.sent<start_order>().empty());
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1);
    CHECK(f.sent<start_order>()[0].fencing_token == 7);
    CHECK(f.sent<start_order>()[0].lease_until_ms > 5000);
}

TEST_CASE("a straggler gets one copy, also while the copy's record is on its way")
{
    fixture f;
    f.announce("w1");
    f.announce("w2");
    f.announce("w3");
    f.decide();
    f.answer_holds();
    jobs::step_spec step;
    step.copies_allowed = true;
    f.submit(step);
    f.decide();
    f.commit();
    f.decide();
    const start_order first = f.sent<start_order>().at(0);
    f.answer(first, {reply::done, {}, {}, {}});
    std::set<std::uint32_t> attempts;
    for (int i = 0; i < 60; ++i) // its worker falls silent
    {
        f.decide(milliseconds(50));
        f.answer_holds({}, first.to.worker.id);
        for (const planned_round& one : f.rounds)
        {
            for (const jobs::run_started& grant : one.command.starts)
            {
                attempts.insert(grant.name.attempt);
            }
        }
    }
    CHECK(f.starts_proposed() == 1);
    CHECK(attempts == std::set<std::uint32_t>{2});
    f.commit();
    CHECK(f.leader.runs().size() == 2);
}

TEST_CASE("a start that may still take effect is shut out before the task goes elsewhere")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    const start_order first = f.sent<start_order>().at(0);
    f.answer(first, {reply::none, {}, {}, {}});
    f.decide(milliseconds(200));
    REQUIRE(f.sent<start_order>().size() == 1); // the same run again
    CHECK(f.sent<start_order>()[0].name == first.name);
    f.answer(f.sent<start_order>()[0], {reply::no_room, {}, {}, {}});
    f.decide();
    CHECK(f.rounds.empty()); // the unanswered order may be carried out yet: nothing is written off
    REQUIRE(f.sent<stop_order>().size() == 1);
    f.answer(f.sent<stop_order>()[0], {reply::done, {}, {}, {}});
    for (int i = 0; i < 10 && f.rounds.empty(); ++i)
    {
        f.decide(milliseconds(50));
        f.answer_holds();
    }
    f.decide();
    REQUIRE(f.rounds.size() == 1);
    REQUIRE(f.rounds[0].command.ends.size() == 1);
    CHECK(f.rounds[0].command.ends[0].how == jobs::run_end::not_begun);
}

TEST_CASE("a silent worker's runs end when its lease has surely lapsed, and not before")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    f.answer(f.sent<start_order>().at(0), {reply::done, {}, {}, {}});
    const time_point last_contact = f.now;
    const dispatch_options defaults;
    std::size_t told_begun = 0;
    while (f.rounds.empty() && f.now < last_contact + seconds(20))
    {
        f.decide(milliseconds(50));
        f.answer_holds({}, "w1");
        if (!f.rounds.empty() && !f.rounds[0].command.begun.empty())
        {
            ++told_begun;
            CHECK(f.rounds[0].command.ends.empty());
            CHECK(f.rounds[0].command.starts.empty());
            f.commit();
        }
    }
    CHECK(told_begun == 1); // the one other thing to record: the worker had begun it
    REQUIRE_FALSE(f.rounds.empty());
    REQUIRE(f.rounds[0].command.ends.size() == 1);
    CHECK(f.rounds[0].command.ends[0].how == jobs::run_end::lapsed);
    CHECK(f.now > last_contact + defaults.lease);
    CHECK(f.now < last_contact + defaults.lease + seconds(3));
}

TEST_CASE("a worker that was silent until its lease lapsed is used again once it answers")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    jobs::step_spec lasting;
    lasting.lasting = true;
    f.submit(lasting, "lasting");
    f.decide();
    f.commit();
    f.decide();
    f.answer(f.sent<start_order>().at(0), {reply::done, {}, {}, {}});
    const time_point silent_until = f.now + seconds(7);
    while (f.now < silent_until)
    {
        f.announce("w1"); // its own way to us is open
        f.decide(milliseconds(50));
        f.commit();
        f.answer_holds({}, "w1");
    }
    REQUIRE(f.leader.runs().empty());
    for (int i = 0; i < 20 && f.starts_proposed() == 0; ++i)
    {
        f.announce("w1");
        f.decide(milliseconds(50));
        f.answer_holds();
    }
    CHECK(f.starts_proposed() == 1);
}

TEST_CASE("an end is recorded before its worker may forget it")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    const start_order sent = f.sent<start_order>().at(0);
    f.answer(sent, {reply::done, {}, {}, {}});
    f.decide();
    REQUIRE(f.open_holds.size() == 1);
    worker_answer got;
    got.how = reply::done;
    got.finished.push_back({1, sent.name, jobs::run_end::done, ""});
    f.answer_hold(got);
    f.decide();
    CHECK(f.open_holds.empty()); // no poll that would say so yet
    CHECK(f.rounds.size() == 1);
    f.commit();
    CHECK(f.state.find("job")->phase == jobs::job_phase::completed);
    f.decide();
    CHECK(f.open_holds.empty()); // more ends may follow at once: one poll for all of them
    f.decide(milliseconds(50));
    REQUIRE(f.open_holds.size() == 1); // within 100 ms of the answer that listed it
    CHECK(f.open_holds[0].ends_noted == 1);
}

TEST_CASE("a lasting task that lost its worker gets room though short tasks never stop coming")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    jobs::step_spec lasting;
    lasting.lasting = true;
    lasting.needs = {8000, 100, 0};
    f.submit(lasting, "lasting");
    f.decide();
    f.commit();
    f.decide();
    f.answer(f.sent<start_order>().at(0), {reply::done, {}, {}, {}});
    f.announce("w2");
    f.decide();
    f.answer_holds();
    jobs::step_spec many;
    many.task_count = 60;
    f.submit(many, "short");
    f.decide();
    f.commit();
    f.decide();
    std::vector<jobs::run_name> on_second;
    for (const start_order& one : f.sent<start_order>())
    {
        f.answer(one, {reply::done, {}, {}, {}});
        if (one.to.worker.id == "w2")
        {
            on_second.push_back(one.name);
        }
    }
    REQUIRE(on_second.size() == 16);
    f.leader.said_goodbye(f.now, {"w1"});
    f.decide(milliseconds(600));
    f.commit();

    std::vector<jobs::run_name> started;
    for (std::uint64_t number = 1; number <= 8; ++number)
    {
        f.announce("w2");
        f.decide();
        for (const hold_order& one : std::exchange(f.open_holds, {}))
        {
            worker_answer got;
            got.how = one.to.worker.id == "w2" ? reply::done : reply::none;
            if (got.how == reply::done)
            {
                got.finished.push_back({number, on_second[number - 1], jobs::run_end::done, ""});
            }
            f.answer(one, got);
        }
        for (int i = 0; i < 3; ++i)
        {
            f.decide();
            for (const planned_round& round : f.rounds)
            {
                for (const jobs::run_started& one : round.command.starts)
                {
                    started.push_back(one.name);
                }
            }
            f.commit();
        }
    }
    REQUIRE(started.size() == 1);
    CHECK(started[0].task.job == "lasting");
}

TEST_CASE("a run that nobody asked for is stopped")
{
    fixture f;
    f.announce("w1");
    f.decide();
    worker_answer got;
    got.how = reply::done;
    got.running.push_back({{{"unknown", 0, 0, 0}, 4}, "", 10, 0});
    f.answer_hold(got);
    f.decide();
    REQUIRE(f.sent<stop_order>().size() == 1);
    CHECK(f.sent<stop_order>()[0].name.task.job == "unknown");
}

TEST_CASE("three failures in a row by different jobs set a worker aside, two don't")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    std::uint64_t number = 0;
    const auto fail_one = [&](const std::string& id)
    {
        f.submit({}, id);
        f.decide(milliseconds(200));
        f.commit();
        f.decide();
        const start_order sent = f.sent<start_order>().at(0);
        f.answer(sent, {reply::done, {}, {}, {}});
        f.decide();
        worker_answer got;
        got.how = reply::done;
        got.finished.push_back({++number, sent.name, jobs::run_end::failed, ""});
        f.answer_hold(got);
        f.decide();
        (void)f.state.apply(jobs::cancel{id, day_ms});
        f.commit();
        f.decide();
        f.answer_holds();
    };
    fail_one("a");
    fail_one("b");
    CHECK(f.leader.counts().workers_set_aside == 0);
    fail_one("c");
    CHECK(f.leader.counts().workers_set_aside == 1);
}

TEST_CASE("a lapse says what was open with its worker")
{
    fixture f;
    const auto lapsed_line = [&f]
    {
        std::string found;
        for (const logging::event& one : f.events)
        {
            found = one.name() == "run_lost" ? one.to_json(0) : found;
        }
        return found;
    };
    const auto lapsed = [&f](lapse_finder found_by, lapse_cause cause)
    {
        return f.leader.counts()
            .runs_lapsed.at(static_cast<std::size_t>(found_by))
            .at(static_cast<std::size_t>(cause));
    };
    const auto says = [](const std::string& line, const std::string& field)
    {
        return line.find(field) != std::string::npos;
    };
    f.announce("w1");
    f.decide();
    f.answer_holds();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    f.answer(f.sent<start_order>().at(0), {reply::done, {}, {}, {}});

    SECTION("it left calls unanswered")
    {
        // The first round says that the worker had begun the run; the one with its end follows.
        while (f.rounds.empty() || f.rounds.back().command.ends.empty())
        {
            f.decide(milliseconds(50));
            f.answer_holds({}, "w1");
        }
        const std::string line = lapsed_line();
        CAPTURE(line);
        CHECK(lapsed(lapse_finder::leader, lapse_cause::silent) == 1);
        CHECK(says(line, "\"how\":3"));
        CHECK(says(line, "\"cause\":\"silent\""));
        CHECK(says(line, "\"contacted\":1"));
        CHECK(says(line, "\"inherited\":0"));
        CHECK(says(line, "\"step_gap_ms\":50"));
    }

    SECTION("its poll was open, since nothing was decided for long")
    {
        REQUIRE_FALSE(f.open_holds.empty());
        f.decide(seconds(6));
        const std::string line = lapsed_line();
        CAPTURE(line);
        CHECK(lapsed(lapse_finder::leader, lapse_cause::poll_open) == 1);
        CHECK(says(line, "\"cause\":\"poll_open\""));
        CHECK(says(line, "\"lease_age_ms\":6000"));
        CHECK(says(line, "\"poll_in_flight\":1"));
        CHECK(says(line, "\"step_gap_ms\":6000"));
    }

    SECTION("it was not asked, since nothing was decided for long")
    {
        f.answer_holds({{f.sent<start_order>().at(0).name, {}, 10, 0}});
        f.decide(seconds(6));
        CHECK(lapsed(lapse_finder::leader, lapse_cause::not_asked) == 1);
        CHECK(says(lapsed_line(), "\"cause\":\"not_asked\""));
    }

    SECTION("it did not answer the next leader")
    {
        f.leader.lead(f.now, 8, f.state);
        f.open_holds.clear();
        while (f.rounds.empty())
        {
            f.decide(milliseconds(50));
        }
        const std::string line = lapsed_line();
        CAPTURE(line);
        CHECK(lapsed(lapse_finder::leader, lapse_cause::not_contacted) == 1);
        CHECK(says(line, "\"answer_age_ms\":-1"));
        CHECK(says(line, "\"lease_age_ms\":-1"));
        CHECK(says(line, "\"contacted\":0"));
        CHECK(says(line, "\"inherited\":1"));
    }
    const jobs::run_name run = f.leader.runs().begin()->first;
    const auto end_of_run = [&run]
    {
        worker_answer got;
        got.how = reply::done;
        got.finished.push_back({1, run, jobs::run_end::lapsed, {}});
        return got;
    };

    SECTION("its worker says so: no lease was sent to it for long")
    {
        f.answer_hold({reply::done, {}, {{run, {}, 10, 0}}, {}});
        f.decide(milliseconds(4100));
        f.answer_hold(end_of_run());
        f.decide();
        const std::string line = lapsed_line();
        CAPTURE(line);
        CHECK(lapsed(lapse_finder::worker, lapse_cause::asked_late) == 1);
        CHECK(says(line, "\"found_by\":\"worker\""));
        CHECK(says(line, "\"lease_gap_ms\":4100"));
        CHECK(says(line, "\"contacted\":1"));
    }

    SECTION("its worker says so, though leases were sent in time")
    {
        f.answer_hold({reply::done, {}, {{run, {}, 10, 0}}, {}});
        f.decide(milliseconds(1000));
        f.answer_hold(end_of_run());
        f.decide();
        CHECK(lapsed(lapse_finder::worker, lapse_cause::renewed) == 1);
    }

    SECTION("its worker says so in its first answer to the next leader")
    {
        f.leader.lead(f.now, 8, f.state);
        f.open_holds.clear();
        f.decide(milliseconds(1500));
        f.answer_hold(end_of_run());
        f.decide();
        const std::string line = lapsed_line();
        CAPTURE(line);
        CHECK(lapsed(lapse_finder::worker, lapse_cause::not_contacted) == 1);
        CHECK(says(line, "\"contacted\":0"));
        CHECK(says(line, "\"inherited\":1"));
        CHECK(says(line, "\"term_age_ms\":1500"));
    }
}

TEST_CASE("a run that is recorded and not confirmed is counted with its age")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    f.submit({});
    f.decide();
    CHECK(f.leader.count_unconfirmed(f.now).own == 0); // not recorded yet
    f.commit();
    f.decide(milliseconds(300));
    const unconfirmed_runs open = f.leader.count_unconfirmed(f.now);
    CHECK(open.own == 1);
    CHECK(open.inherited == 0);
    CHECK(open.jobs == 1);
    CHECK(open.oldest == milliseconds(300));

    SECTION("until its worker confirms it")
    {
        f.answer(f.sent<start_order>().at(0), {reply::done, {}, {}, {}});
        CHECK(f.leader.count_unconfirmed(f.now).own == 0);
        CHECK(f.leader.count_unconfirmed(f.now).jobs == 0);
        CHECK(f.leader.count_unconfirmed(f.now).oldest == duration(0));
    }

    SECTION("the next leader counts it as inherited")
    {
        f.leader.lead(f.now, 8, f.state);
        CHECK(f.leader.count_unconfirmed(f.now).own == 0);
        CHECK(f.leader.count_unconfirmed(f.now).inherited == 1);
        CHECK(f.leader.count_unconfirmed(f.now).jobs == 1);
    }
}

TEST_CASE("a cancel is timed from its record to the end of its job's last run")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    f.answer(f.sent<start_order>().at(0), {reply::done, {}, {}, {}});
    (void)f.state.apply(jobs::cancel{"job", day_ms + 50});
    f.decide(milliseconds(1000));
    CHECK(f.cancels_stopped_ms.empty());
    f.answer(f.sent<stop_order>().at(0), {reply::done, {}, {}, {}});
    for (int i = 0; i < 10 && f.cancels_stopped_ms.empty(); ++i)
    {
        f.decide(milliseconds(25));
        f.answer_holds();
        f.commit();
    }
    REQUIRE(f.cancels_stopped_ms.size() == 1);
    const auto passed_ms = std::chrono::duration_cast<milliseconds>(f.now - start).count();
    CHECK(f.cancels_stopped_ms[0] == passed_ms - 50);
    CHECK(f.state.ended_with_runs().empty());
    f.decide();
    CHECK(f.cancels_stopped_ms.empty()); // once
}

TEST_CASE("a late announcement of a life that is over brings it no work")
{
    // A cut may hold an announcement back until its sender has crashed and another life answers at the
    // address.
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    f.submit({}, "first");
    f.decide();
    f.commit();
    f.decide();
    f.answer(f.sent<start_order>().at(0), {reply::other_life, {}, {}, {}});
    f.announce("w1");
    f.submit({}, "second");
    f.decide();
    CHECK(f.starts_proposed() == 0);
    f.commit();
    REQUIRE(f.open_holds.size() == 2); // the one from before the end of the life, and a new one that asks
    f.open_holds.erase(f.open_holds.begin());
    f.answer_hold({reply::other_life, {}, {}, {}});
    f.decide(milliseconds(200));
    CHECK(f.starts_proposed() == 0);
    CHECK(f.leader.workers().empty());
}

// Symptom: half of the short jobs ended 4 s after they were handed in, though they go first. Cause: the pause
// after a poll that brought ends grows with the leader's lateness, for each of their steps.
TEST_CASE("a late leader hears of a short task's end as soon as one that has time")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_holds();
    jobs::step_spec step;
    step.task_count = 2;
    step.filler = GENERATE(false, true);
    step.image = "image";
    f.submit(step);
    f.decide();
    f.commit();
    f.decide();
    for (const start_order& one : f.sent<start_order>())
    {
        f.answer(one, {reply::done, {}, {}, {}});
    }
    f.leader.note_late(f.now, milliseconds(100));
    f.decide();
    worker_answer one_done;
    one_done.how = reply::done;
    const jobs::run_name other = f.leader.runs().rbegin()->first;
    one_done.finished.push_back({1, f.leader.runs().begin()->first, jobs::run_end::done, {}});
    one_done.running.push_back({other, "", 50, 1000});
    f.answer_hold(one_done);
    f.decide();
    f.commit();
    REQUIRE(f.leader.runs().size() == 1);
    f.open_holds.clear();
    f.decide(milliseconds(80));
    CHECK(f.open_holds.empty() == step.filler);
    f.decide(milliseconds(500));
    CHECK(f.open_holds.size() == 1);
}
