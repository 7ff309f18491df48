/// @file
/// @brief The replicated job store: the effects of commands, and snapshots.

#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/jobs/store.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke::jobs;

namespace
{

step_spec step_of(std::uint32_t tasks)
{
    step_spec step;
    step.task_count = tasks;
    step.needs = {1000, 100, 0};
    return step;
}

job_spec two_steps()
{
    job_spec spec;
    spec.payload = "payload";
    spec.steps = {step_of(2), step_of(1)};
    spec.steps[1].after = {0};
    return spec;
}

submit submit_of(const std::string& id, job_spec spec)
{
    submit value;
    value.id = id;
    value.source_queue.host = "h";
    value.source_queue.path_prefix = "/q/";
    value.source_queue.max_failures = 2;
    value.spec = std::move(spec);
    value.at_ms = 1000;
    return value;
}

bool start(store& state, const task_name& task, std::uint32_t attempt, const std::string& worker = "w")
{
    plumspoke::jobs::round value;
    value.starts.push_back({{task, attempt}, {worker}, "address"});
    return state.apply(value).starts_accepted.at(0);
}

void end(
    store& state, const task_name& task, std::uint32_t attempt, run_end how, const std::string& saved = {})
{
    plumspoke::jobs::round value;
    value.ends.push_back({{task, attempt}, how, saved});
    value.at_ms = 5000;
    (void)state.apply(value);
}

void begin(store& state, const std::string& job)
{
    plumspoke::jobs::round value;
    value.begun = {job};
    (void)state.apply(value);
}

const task_name first{"a", 0, 0, 0};
const task_name second{"a", 0, 0, 1};
const task_name last{"a", 0, 1, 0};

} // namespace

TEST_CASE("the store keeps one job per id")
{
    store state;
    CHECK(state.apply(submit_of("a", two_steps())).result == outcome::accepted);
    CHECK(state.apply(submit_of("a", two_steps())).result == outcome::known);
    CHECK(state.all().size() == 1);

    SECTION("and rejects steps with cyclic dependencies")
    {
        job_spec loop = two_steps();
        loop.steps[0].after = {1};
        CHECK(state.apply(submit_of("b", loop)).result == outcome::invalid);
        CHECK(state.find("b") == nullptr);
    }
    SECTION("and counts it as pending until a worker has begun a task")
    {
        queue at;
        at.host = "h";
        at.path_prefix = "/q/";
        CHECK(state.pending(at) == 1);
        REQUIRE(start(state, first, 1));
        CHECK(state.pending(at) == 1);
        end(state, first, 1, run_end::not_begun);
        CHECK(state.pending(at) == 1);
        REQUIRE(start(state, first, 2));
        begin(state, "a");
        CHECK(state.pending(at) == 0);
        end(state, first, 2, run_end::lapsed);
        CHECK(state.pending(at) == 0);
    }
    SECTION("and counts it as pending until a run ends in a way that implies it had begun")
    {
        queue at;
        at.host = "h";
        at.path_prefix = "/q/";
        const auto [how, left] = GENERATE(table<run_end, std::uint32_t>({{run_end::done, 0},
                                                                         {run_end::failed, 0},
                                                                         {run_end::broken, 0},
                                                                         {run_end::alone, 0},
                                                                         {run_end::stopped, 1},
                                                                         {run_end::lapsed, 1},
                                                                         {run_end::lost, 1},
                                                                         {run_end::not_begun, 1}}));
        REQUIRE(start(state, first, 1));
        end(state, first, 1, how);
        CHECK(state.pending(at) == left);
    }
}

TEST_CASE("the store allows one run of a task at a time")
{
    store state;
    (void)state.apply(submit_of("a", two_steps()));
    REQUIRE(start(state, first, 1));

    SECTION("a second run is rejected while the first may be in progress")
    {
        CHECK_FALSE(start(state, first, 2));
    }
    SECTION("an attempt number is not reused")
    {
        end(state, first, 1, run_end::lapsed);
        CHECK_FALSE(start(state, first, 1));
        CHECK(start(state, first, 2));
    }
    SECTION("a task is not started before its dependencies are done")
    {
        CHECK_FALSE(start(state, last, 1));
        end(state, first, 1, run_end::done);
        CHECK_FALSE(start(state, last, 1));
        REQUIRE(start(state, second, 1));
        end(state, second, 1, run_end::done);
        CHECK(start(state, last, 1));
    }
    SECTION("a task is not started again once it is done")
    {
        end(state, first, 1, run_end::done);
        CHECK_FALSE(start(state, first, 2));
    }
    SECTION("two runs are allowed with copies, and no third")
    {
        job_spec spec;
        spec.steps = {step_of(1)};
        spec.steps[0].copies_allowed = true;
        (void)state.apply(submit_of("c", spec));
        const task_name copied{"c", 0, 0, 0};
        CHECK(start(state, copied, 1));
        CHECK(start(state, copied, 2));
        CHECK_FALSE(start(state, copied, 3));
    }
}

TEST_CASE("the phase of a job follows its tasks")
{
    store state;
    (void)state.apply(submit_of("a", two_steps()));
    const auto phase = [&state]
    {
        return state.find("a")->phase;
    };
    CHECK(phase() == job_phase::queued);
    REQUIRE(start(state, first, 1));
    CHECK(phase() == job_phase::queued); // the order may not reach a worker
    begin(state, "a");
    CHECK(phase() == job_phase::running);

    SECTION("it completes only when all tasks are done")
    {
        REQUIRE(start(state, second, 1));
        end(state, first, 1, run_end::done);
        end(state, second, 1, run_end::done);
        CHECK(phase() == job_phase::running);
        REQUIRE(start(state, last, 1));
        end(state, last, 1, run_end::done);
        CHECK(phase() == job_phase::completed);
        CHECK(state.live().empty());
    }
    SECTION("it fails at the maximum number of failures of a task; other ends do not count")
    {
        end(state, first, 1, run_end::failed);
        REQUIRE(start(state, first, 2));
        end(state, first, 2, run_end::lapsed);
        REQUIRE(start(state, first, 3));
        end(state, first, 3, run_end::stopped);
        CHECK(phase() == job_phase::running);
        REQUIRE(start(state, first, 4));
        end(state, first, 4, run_end::failed);
        CHECK(phase() == job_phase::failed);
        CHECK_FALSE(start(state, second, 1));
    }
    SECTION("it is cancelled at once, and its open runs are kept until they end")
    {
        CHECK(state.apply(cancel{"a", 2000}).result == outcome::accepted);
        CHECK(phase() == job_phase::cancelled);
        CHECK(state.ended_with_runs().contains("a"));
        begin(state, "a"); // reported late
        CHECK(phase() == job_phase::cancelled);
        end(state, first, 1, run_end::stopped);
        CHECK(state.ended_with_runs().empty());
    }
    SECTION("an end that is reported twice counts once")
    {
        end(state, first, 1, run_end::failed);
        end(state, first, 1, run_end::failed);
        CHECK(state.find(first)->failures == 1);
    }
}

TEST_CASE("a job fails if one of its tasks keeps crashing workers")
{
    store state;
    job_spec spec = two_steps();
    spec.steps[0].lasting = GENERATE(false, true);
    (void)state.apply(submit_of("a", spec));
    std::uint32_t attempt = 0;
    const auto report_end = [&](run_end how, crash_sign sign)
    {
        plumspoke::jobs::round ends;
        ends.ends.push_back({{first, attempt}, how, {}, sign});
        (void)state.apply(ends);
    };
    const auto run_and_end = [&](run_end how, crash_sign sign)
    {
        ++attempt;
        REQUIRE(start(state, first, attempt));
        report_end(how, sign);
    };
    const auto has_failed = [&state]
    {
        return state.find("a")->phase == job_phase::failed;
    };

    SECTION("after three crashes blamed on the task")
    {
        run_and_end(run_end::crashed, crash_sign::blamed);
        run_and_end(run_end::crashed, crash_sign::blamed);
        CHECK_FALSE(has_failed());
        run_and_end(run_end::crashed, crash_sign::blamed);
        CHECK(has_failed());
    }
    SECTION("after five crashes of any cause")
    {
        run_and_end(run_end::crashed, crash_sign::counted);
        run_and_end(run_end::lapsed, crash_sign::counted);
        run_and_end(run_end::crashed, crash_sign::counted);
        run_and_end(run_end::crashed, crash_sign::blamed);
        CHECK_FALSE(has_failed());
        run_and_end(run_end::lapsed, crash_sign::counted);
        CHECK(has_failed());
    }
    SECTION("also if the state is saved and restored in between")
    {
        run_and_end(run_end::crashed, crash_sign::blamed);
        run_and_end(run_end::crashed, crash_sign::blamed);
        const std::string saved = state.save();
        state = store();
        REQUIRE(state.restore(saved));
        CHECK(state.find(first)->evidence == crash_evidence{2, 2});
        run_and_end(run_end::crashed, crash_sign::blamed);
        CHECK(has_failed());
    }
    SECTION("but not after any number of ends without a sign of a crash")
    {
        for (int i = 0; i < 4; ++i)
        {
            run_and_end(run_end::crashed, crash_sign::none);
            run_and_end(run_end::lost, crash_sign::none);
            run_and_end(run_end::lapsed, crash_sign::none);
            run_and_end(run_end::stopped, crash_sign::none);
        }
        CHECK_FALSE(has_failed());
    }
    SECTION("but not if a run in between clears the task")
    {
        run_and_end(run_end::crashed, crash_sign::blamed);
        run_and_end(run_end::crashed, crash_sign::blamed);
        run_and_end(run_end::crashed, crash_sign::cleared);
        CHECK(state.find(first)->evidence == crash_evidence{});
        CHECK_FALSE(has_failed());
    }
    SECTION("and a crash that is reported twice counts once")
    {
        run_and_end(run_end::crashed, crash_sign::blamed);
        report_end(run_end::crashed, crash_sign::blamed);
        CHECK(state.find(first)->evidence == crash_evidence{1, 1});
    }
}

TEST_CASE("the progress of a task is kept for its next run")
{
    store state;
    (void)state.apply(submit_of("a", two_steps()));
    REQUIRE(start(state, first, 1));
    end(state, first, 1, run_end::stopped, "saved");
    CHECK(state.find(first)->saved == "saved");
    REQUIRE(start(state, first, 2));
    end(state, first, 2, run_end::lost);
    CHECK(state.find(first)->saved == "saved");
}

TEST_CASE("a gang fails and succeeds as a whole")
{
    job_spec spec;
    spec.steps = {step_of(3)};
    spec.steps[0].gang = true;
    store state;
    (void)state.apply(submit_of("a", spec));
    const auto start_all = [&state](std::uint32_t attempt)
    {
        for (std::uint32_t i = 0; i < 3; ++i)
        {
            REQUIRE(start(state, {"a", 0, 0, i}, attempt));
        }
    };
    start_all(1);

    SECTION("all members are done when one is")
    {
        end(state, {"a", 0, 0, 1}, 1, run_end::done);
        CHECK(state.find("a")->phase == job_phase::completed);
        CHECK(state.ended_with_runs().contains("a"));
    }
    SECTION("failures of several members in one attempt count as one")
    {
        end(state, {"a", 0, 0, 0}, 1, run_end::failed);
        end(state, {"a", 0, 0, 1}, 1, run_end::failed);
        end(state, {"a", 0, 0, 2}, 1, run_end::broken);
        CHECK(state.find("a")->phase == job_phase::running);
        start_all(2);
        end(state, {"a", 0, 0, 2}, 2, run_end::failed);
        CHECK(state.find("a")->phase == job_phase::failed);
    }
}

TEST_CASE("a lasting task may be started again after any end")
{
    job_spec spec;
    spec.steps = {step_of(1)};
    spec.steps[0].lasting = true;
    store state;
    (void)state.apply(submit_of("a", spec));
    for (std::uint32_t attempt = 1; attempt < 6; ++attempt)
    {
        REQUIRE(start(state, first, attempt));
        end(state, first, attempt, attempt % 2 == 0 ? run_end::done : run_end::failed);
    }
    CHECK(state.find("a")->phase == job_phase::running);
}

TEST_CASE("a repeated job runs once per due occurrence")
{
    job_spec spec;
    spec.steps = {step_of(1)};
    spec.repeat_count = 2;
    store state;
    (void)state.apply(submit_of("a", spec));
    CHECK_FALSE(start(state, first, 1));
    plumspoke::jobs::round due;
    due.due = {{"a", 0}, {"a", 1}, {"a", 2}};
    (void)state.apply(due);
    CHECK(state.find("a")->occurrences.size() == 2);
    for (const std::uint32_t time : {1U, 0U})
    {
        CHECK(state.find("a")->phase != job_phase::completed);
        REQUIRE(start(state, {"a", time, 0, 0}, 1));
        end(state, {"a", time, 0, 0}, 1, run_end::done);
    }
    CHECK(state.find("a")->phase == job_phase::completed);
}

TEST_CASE("the highest version of a configuration is in force")
{
    store state;
    configuration config;
    config.version = 7;
    config.document = "seven";
    CHECK(state.apply(configure{config}).result == outcome::accepted);
    config.document = "other content";
    CHECK(state.apply(configure{config}).result == outcome::known);
    config.version = 6;
    CHECK(state.apply(configure{config}).result == outcome::known);
    CHECK(state.current().document == "seven");
    config.version = 9;
    CHECK(state.apply(configure{config}).result == outcome::accepted);
    CHECK(state.current().version == 9);
}

TEST_CASE("a queue is found by its host and the longest matching path prefix")
{
    configuration config;
    queue one;
    one.name = "short";
    one.host = "h";
    one.path_prefix = "/a/";
    config.queues.push_back(one);
    one.name = "long";
    one.path_prefix = "/a/b/";
    config.queues.push_back(one);
    CHECK(config.find_queue("h", "/a/b/id")->name == "long");
    CHECK(config.find_queue("h", "/a/id")->name == "short");
    CHECK(config.find_queue("h", "/c/id") == nullptr);
    CHECK(config.find_queue("other", "/a/id") == nullptr);
}

// Guards against a slow recovery of a control VM that lost its disk: under load, nine tenths of the snapshot
// it had to receive were the specifications of ended jobs.
TEST_CASE("an ended job without runs is reduced to its state")
{
    store state;
    for (int i = 0; i < 100; ++i)
    {
        job_spec spec = two_steps();
        spec.payload.assign(2000, 'x');
        (void)state.apply(submit_of("job" + std::to_string(i), spec));
    }
    const std::size_t live_bytes = state.save().size();
    for (int i = 0; i < 99; ++i)
    {
        (void)state.apply(cancel{"job" + std::to_string(i), 2000});
    }
    CHECK(state.save().size() < live_bytes / 10);
    CHECK(state.find("job0")->phase == job_phase::cancelled);
    CHECK(state.apply(submit_of("job0", two_steps())).result == outcome::known);

    SECTION("it is kept completely while a run may be in progress")
    {
        CHECK(start(state, {"job99", 0, 0, 0}, 1));
        (void)state.apply(cancel{"job99", 2000});
        CHECK(state.find({"job99", 0, 0, 0}) != nullptr);
        end(state, {"job99", 0, 0, 0}, 1, run_end::stopped);
        CHECK(state.find({"job99", 0, 0, 0}) == nullptr);
    }
}

TEST_CASE("a snapshot contains the effects of all commands")
{
    store state;
    configuration config;
    config.version = 3;
    config.document = "text";
    (void)state.apply(configure{config});
    (void)state.apply(submit_of("a", two_steps()));
    (void)state.apply(submit_of("b", two_steps()));
    REQUIRE(start(state, first, 1, "w1"));
    REQUIRE(start(state, second, 1, "w2"));
    end(state, first, 1, run_end::failed, "saved");
    (void)state.apply(cancel{"b", 1});

    store restored;
    REQUIRE(restored.restore(state.save()));
    CHECK(restored.save() == state.save());
    CHECK(restored.current().document == "text");
    CHECK(restored.find(first)->failures == 1);
    CHECK(restored.find(first)->saved == "saved");
    REQUIRE(restored.find(second)->runs.size() == 1);
    CHECK(restored.find(second)->runs[0].worker.id == "w2");
    CHECK(restored.live().size() == 1);
    CHECK(restored.find("a")->granted);
    CHECK(restored.find("a")->begun);
    CHECK_FALSE(restored.find("b")->begun);
    CHECK_FALSE(restored.restore("not a snapshot \xff\xff\xff"));
}

TEST_CASE("a run records the birth time of its worker, and records without one are readable")
{
    store state;
    (void)state.apply(submit_of("a", two_steps()));
    plumspoke::jobs::round value;
    value.starts.push_back({{first, 1}, {"w", 1700000000123}, "address"});
    REQUIRE(state.apply(value).starts_accepted.at(0));
    store restored;
    REQUIRE(restored.restore(state.save()));
    CHECK(restored.find(first)->runs.at(0).worker == plumspoke::fleet::worker_life{"w", 1700000000123});

    plumspoke::wire::JobCommand without_birth;
    plumspoke::wire::RunStart& start = *without_birth.mutable_round()->add_starts();
    start.mutable_task()->set_job("a");
    start.set_attempt(1);
    start.set_worker("w");
    start.set_address("address");
    const std::optional<command> read = decode(without_birth.SerializeAsString());
    REQUIRE(read.has_value());
    CHECK(std::get<plumspoke::jobs::round>(*read).starts.at(0).worker ==
          plumspoke::fleet::worker_life{"w", 0});
}

TEST_CASE("a command is unchanged after encoding and decoding")
{
    plumspoke::jobs::round value;
    value.starts.push_back({{first, 3}, {"w", 1700000000123}, "address"});
    value.ends.push_back({{second, 2}, run_end::stopped, "saved"});
    value.due.push_back({"a", 4});
    value.forgotten = {"old"};
    value.begun = {"a"};
    value.at_ms = 77;
    const std::optional<command> read = decode(encode(value));
    REQUIRE(read.has_value());
    const plumspoke::jobs::round& got = std::get<plumspoke::jobs::round>(*read);
    CHECK(got.starts.at(0).name.attempt == 3);
    CHECK(got.starts.at(0).worker == plumspoke::fleet::worker_life{"w", 1700000000123});
    CHECK(got.ends.at(0).how == run_end::stopped);
    CHECK(got.ends.at(0).saved == "saved");
    CHECK(got.due.at(0).number == 4);
    CHECK(got.forgotten.at(0) == "old");
    CHECK(got.begun == std::vector<plumspoke::jobs::job_id>{"a"});
    CHECK(got.at_ms == 77);
    CHECK_FALSE(decode("\xff\xff").has_value());
}
