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
    f.answer_polls();
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

TEST_CASE("a run on a silent worker gets one copy, also while the copy's record is in flight")
{
    fixture f;
    f.announce("w1");
    f.announce("w2");
    f.announce("w3");
    f.decide();
    f.answer_polls();
    jobs::step_spec step;
    step.copies_allowed = true;
    f.submit(step);
    f.decide();
    f.commit();
    f.decide();
    const start_order first = f.sent<start_order>().at(0);
    f.answer(first, {reply::done, {}, {}, {}});
    std::set<std::uint32_t> attempts;
    for (int i = 0; i < 60; ++i) // its worker stops answering
    {
        f.decide(milliseconds(50));
        f.answer_polls({}, first.to.worker.id);
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

TEST_CASE("a start that may still take effect is fenced before its task is started elsewhere")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    const start_order first = f.sent<start_order>().at(0);
    f.answer(first, {reply::none, {}, {}, {}});
    f.decide(milliseconds(200));
    REQUIRE(f.sent<start_order>().size() == 1); // the same run is ordered again
    CHECK(f.sent<start_order>()[0].name == first.name);
    f.answer(f.sent<start_order>()[0], {reply::no_room, {}, {}, {}});
    f.decide();
    CHECK(f.rounds.empty()); // the unanswered order may still be carried out, so no end is recorded
    REQUIRE(f.sent<stop_order>().size() == 1);
    f.answer(f.sent<stop_order>()[0], {reply::done, {}, {}, {}});
    for (int i = 0; i < 10 && f.rounds.empty(); ++i)
    {
        f.decide(milliseconds(50));
        f.answer_polls();
    }
    f.decide();
    REQUIRE(f.rounds.size() == 1);
    REQUIRE(f.rounds[0].command.ends.size() == 1);
    CHECK(f.rounds[0].command.ends[0].how == jobs::run_end::not_begun);
}

TEST_CASE("a silent worker's runs end when its lease has certainly lapsed, and not before")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    f.answer(f.sent<start_order>().at(0), {reply::done, {}, {}, {}});
    const time_point last_contact = f.now;
    const dispatch_options defaults;
    std::size_t begun_records = 0;
    while (f.rounds.empty() && f.now < last_contact + seconds(20))
    {
        f.decide(milliseconds(50));
        f.answer_polls({}, "w1");
        if (!f.rounds.empty() && !f.rounds[0].command.begun.empty())
        {
            ++begun_records;
            CHECK(f.rounds[0].command.ends.empty());
            CHECK(f.rounds[0].command.starts.empty());
            f.commit();
        }
    }
    CHECK(begun_records == 1); // the only other record: the worker has begun the job
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
    f.answer_polls();
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
        f.announce("w1"); // its announcements still arrive
        f.decide(milliseconds(50));
        f.commit();
        f.answer_polls({}, "w1");
    }
    REQUIRE(f.leader.runs().empty());
    for (int i = 0; i < 20 && f.starts_proposed() == 0; ++i)
    {
        f.announce("w1");
        f.decide(milliseconds(50));
        f.answer_polls();
    }
    CHECK(f.starts_proposed() == 1);
}

TEST_CASE("an end is recorded before its worker may forget it")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    const start_order sent = f.sent<start_order>().at(0);
    f.answer(sent, {reply::done, {}, {}, {}});
    f.decide();
    REQUIRE(f.open_polls.size() == 1);
    worker_answer response;
    response.how = reply::done;
    response.finished.push_back({1, sent.name, jobs::run_end::done, ""});
    f.answer_poll(response);
    f.decide();
    CHECK(f.open_polls.empty()); // no poll with `ends_recorded` before the commit
    CHECK(f.rounds.size() == 1);
    f.commit();
    CHECK(f.state.find("job")->phase == jobs::job_phase::completed);
    f.decide();
    CHECK(f.open_polls.empty()); // delayed, so that one poll covers ends that follow closely
    f.decide(milliseconds(50));
    REQUIRE(f.open_polls.size() == 1); // within 100 ms of the answer that listed it
    CHECK(f.open_polls[0].ends_recorded == 1);
}

TEST_CASE("a lasting task that lost its worker gets room under a constant supply of short tasks")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
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
    f.answer_polls();
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
    f.leader.departed(f.now, {"w1"});
    for (std::int64_t percent = 1; percent <= 50; ++percent) // until the leases of w1 have lapsed
    {
        f.announce("w2");
        f.decide(milliseconds(100));
        std::vector<running_row> rows;
        rows.reserve(on_second.size());
        for (const jobs::run_name& name : on_second)
        {
            rows.push_back({name, "", percent, 0});
        }
        f.answer_polls(rows, "w1");
        f.commit();
    }

    std::vector<jobs::run_name> started;
    for (std::uint64_t number = 1; number <= 8; ++number)
    {
        f.announce("w2");
        f.decide();
        for (const poll_order& one : std::exchange(f.open_polls, {}))
        {
            worker_answer response;
            response.how = one.to.worker.id == "w2" ? reply::done : reply::none;
            if (response.how == reply::done)
            {
                response.finished.push_back({number, on_second[number - 1], jobs::run_end::done, ""});
            }
            f.answer(one, response);
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

TEST_CASE("an unknown run that a worker lists is stopped")
{
    fixture f;
    f.announce("w1");
    f.decide();
    worker_answer response;
    response.how = reply::done;
    response.running.push_back({{{"unknown", 0, 0, 0}, 4}, "", 10, 0});
    f.answer_poll(response);
    f.decide();
    REQUIRE(f.sent<stop_order>().size() == 1);
    CHECK(f.sent<stop_order>()[0].name.task.job == "unknown");
}

TEST_CASE("three failures in a row by different jobs set a worker aside, two don't")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
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
        worker_answer response;
        response.how = reply::done;
        response.finished.push_back({++number, sent.name, jobs::run_end::failed, ""});
        f.answer_poll(response);
        f.decide();
        (void)f.state.apply(jobs::cancel{id, day_ms});
        f.commit();
        f.decide();
        f.answer_polls();
    };
    fail_one("a");
    fail_one("b");
    CHECK(f.leader.counts().workers_set_aside == 0);
    fail_one("c");
    CHECK(f.leader.counts().workers_set_aside == 1);
}

TEST_CASE("a lapse is reported with its cause and the state of the contact with its worker")
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
    const auto lapsed = [&f](lapse_detector found_by, lapse_cause cause)
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
    f.answer_polls();
    f.submit({});
    f.decide();
    f.commit();
    f.decide();
    f.answer(f.sent<start_order>().at(0), {reply::done, {}, {}, {}});

    SECTION("its worker left polls unanswered")
    {
        // The first round records that the job has begun; the one with the end follows.
        while (f.rounds.empty() || f.rounds.back().command.ends.empty())
        {
            f.decide(milliseconds(50));
            f.answer_polls({}, "w1");
        }
        const std::string line = lapsed_line();
        CAPTURE(line);
        CHECK(lapsed(lapse_detector::leader, lapse_cause::silent) == 1);
        CHECK(says(line, "\"how\":3"));
        CHECK(says(line, "\"cause\":\"silent\""));
        CHECK(says(line, "\"contacted\":1"));
        CHECK(says(line, "\"inherited\":0"));
        CHECK(says(line, "\"step_gap_ms\":50"));
    }

    SECTION("a poll was in flight, since no decision was made for 6 s")
    {
        REQUIRE_FALSE(f.open_polls.empty());
        f.decide(seconds(6));
        const std::string line = lapsed_line();
        CAPTURE(line);
        CHECK(lapsed(lapse_detector::leader, lapse_cause::poll_open) == 1);
        CHECK(says(line, "\"cause\":\"poll_open\""));
        CHECK(says(line, "\"lease_age_ms\":6000"));
        CHECK(says(line, "\"poll_in_flight\":1"));
        CHECK(says(line, "\"step_gap_ms\":6000"));
    }

    SECTION("no poll was in flight, since no decision was made for 6 s")
    {
        f.answer_polls({{f.sent<start_order>().at(0).name, {}, 10, 0}});
        f.decide(seconds(6));
        CHECK(lapsed(lapse_detector::leader, lapse_cause::not_asked) == 1);
        CHECK(says(lapsed_line(), "\"cause\":\"not_asked\""));
    }

    SECTION("its worker did not answer the next leader")
    {
        f.leader.lead(f.now, 8, f.state);
        f.open_polls.clear();
        while (f.rounds.empty())
        {
            f.decide(milliseconds(50));
        }
        const std::string line = lapsed_line();
        CAPTURE(line);
        CHECK(lapsed(lapse_detector::leader, lapse_cause::not_contacted) == 1);
        CHECK(says(line, "\"answer_age_ms\":-1"));
        CHECK(says(line, "\"lease_age_ms\":-1"));
        CHECK(says(line, "\"contacted\":0"));
        CHECK(says(line, "\"inherited\":1"));
    }
    const jobs::run_name run = f.leader.runs().begin()->first;
    const auto end_of_run = [&run]
    {
        worker_answer response;
        response.how = reply::done;
        response.finished.push_back({1, run, jobs::run_end::lapsed, {}});
        return response;
    };

    SECTION("its worker reports it: no lease was sent to it for 4.1 s")
    {
        f.answer_poll({reply::done, {}, {{run, {}, 10, 0}}, {}});
        f.decide(milliseconds(4100));
        f.answer_poll(end_of_run());
        f.decide();
        const std::string line = lapsed_line();
        CAPTURE(line);
        CHECK(lapsed(lapse_detector::worker, lapse_cause::asked_late) == 1);
        CHECK(says(line, "\"found_by\":\"worker\""));
        CHECK(says(line, "\"lease_gap_ms\":4100"));
        CHECK(says(line, "\"contacted\":1"));
    }

    SECTION("its worker reports it although leases were sent in time")
    {
        f.answer_poll({reply::done, {}, {{run, {}, 10, 0}}, {}});
        f.decide(milliseconds(1000));
        f.answer_poll(end_of_run());
        f.decide();
        CHECK(lapsed(lapse_detector::worker, lapse_cause::renewed) == 1);
    }

    SECTION("its worker reports it in its first answer to the next leader")
    {
        f.leader.lead(f.now, 8, f.state);
        f.open_polls.clear();
        f.decide(milliseconds(1500));
        f.answer_poll(end_of_run());
        f.decide();
        const std::string line = lapsed_line();
        CAPTURE(line);
        CHECK(lapsed(lapse_detector::worker, lapse_cause::not_contacted) == 1);
        CHECK(says(line, "\"contacted\":0"));
        CHECK(says(line, "\"inherited\":1"));
        CHECK(says(line, "\"term_age_ms\":1500"));
    }
}

TEST_CASE("a recorded run without a confirmation is counted with its age")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
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

TEST_CASE("the latency of a cancel is measured from its record to the end of its job's last run")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
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
        f.answer_polls();
        f.commit();
    }
    REQUIRE(f.cancels_stopped_ms.size() == 1);
    const auto passed_ms = std::chrono::duration_cast<milliseconds>(f.now - start).count();
    CHECK(f.cancels_stopped_ms[0] == passed_ms - 50);
    CHECK(f.state.ended_with_runs().empty());
    f.decide();
    CHECK(f.cancels_stopped_ms.empty()); // reported once
}

TEST_CASE("a delayed announcement of an ended life causes no starts on it")
{
    // A network partition may delay an announcement until its sender has crashed and another life answers at
    // the address.
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
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
    REQUIRE(f.open_polls.size() == 2); // one from before the end of the life, and a new one
    f.open_polls.erase(f.open_polls.begin());
    f.answer_poll({reply::other_life, {}, {}, {}});
    f.decide(milliseconds(200));
    CHECK(f.starts_proposed() == 0);
    CHECK(f.leader.workers().empty());
}

// Guards against short jobs that end 4 s after their submission although they have precedence: the delay of
// the poll after one with ends grows with the leader's lateness, and applied to each of their steps.
TEST_CASE("an overloaded leader polls for the end of a short task without additional delay")
{
    fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
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
    f.leader.record_lateness(f.now, milliseconds(100));
    f.decide();
    worker_answer one_done;
    one_done.how = reply::done;
    const jobs::run_name other = f.leader.runs().rbegin()->first;
    one_done.finished.push_back({1, f.leader.runs().begin()->first, jobs::run_end::done, {}});
    one_done.running.push_back({other, "", 50, 1000});
    f.answer_poll(one_done);
    f.decide();
    f.commit();
    REQUIRE(f.leader.runs().size() == 1);
    f.open_polls.clear();
    f.decide(milliseconds(80));
    CHECK(f.open_polls.empty() == step.filler);
    f.decide(milliseconds(500));
    CHECK(f.open_polls.size() == 1);
}
