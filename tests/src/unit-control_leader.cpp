/// @file
/// @brief A leader's soft state: worker reports, slots, sizes and interference.

#include "control_fixture.hpp"
#include "plumspoke/control/policy.hpp"
#include "plumspoke/control/slot_allocator.hpp"
#include "plumspoke/worker/error.hpp"
#include "plumspoke/worker/lease_manager.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::control;
using control_test::fixture;
using control_test::start;

TEST_CASE("a leader's answers to worker reports")
{
    fixture f;
    (void)f.submit("j");
    const std::uint64_t token = f.place("j").id;
    worker::lease_manager lease_manager{worker::lease_manager_options{}};
    lease_manager.reset(start);
    worker::report report;
    report.worker = "w1";
    report.incarnation = "1";
    report.sequence = 1;
    report.capacity = {8'000, 32'000, 0};
    std::error_code error;

    SECTION("list the worker's tasks and its lease")
    {
        const worker::report_outcome output = lease_manager.receive(start, f.state, report, error);
        REQUIRE(output.reply.tasks.size() == 1);
        CHECK(output.reply.tasks[0].token == token);
        CHECK(output.reply.lease_ms == 3000);
    }
    SECTION("are given once per report")
    {
        (void)lease_manager.receive(start, f.state, report, error);
        const worker::report_outcome again =
            lease_manager.receive(start + milliseconds(1), f.state, report, error);
        CHECK(error == worker::errc::old_sequence);
        CHECK(again.reply.tasks.empty());
    }
    SECTION("stop tasks that the worker no longer holds and acknowledge ended tasks")
    {
        report.tasks.push_back({"j", token + 7, worker::task_state::running, "", "", "", {}});
        report.tasks.push_back({"k", token + 8, worker::task_state::finished, "", "", "", {}});
        const worker::report_outcome output = lease_manager.receive(start, f.state, report, error);
        CHECK(output.reply.tasks[0].order == task_order::stop);
        REQUIRE(output.reply.settled.size() == 1);
        CHECK(output.reply.settled[0].token == token + 8);
    }
    SECTION("let a lease expire that the previous leader may have renewed, before a task counts as lost")
    {
        CHECK(lease_manager.tick(start + milliseconds(3499), f.state).empty());
        const std::vector<command> lost = lease_manager.tick(start + milliseconds(3500), f.state);
        REQUIRE(lost.size() == 1);
        CHECK(std::get<report_task>(lost[0]).event == task_event::lost);
        CHECK(lease_manager.tick(start + milliseconds(3600), f.state).empty()); // proposed already
    }
}

TEST_CASE("the slot allocator")
{
    configuration config;
    config.version = 3;
    service_config service;
    service.name = "quick";
    for (const char* worker : {"w1", "w2", "w3"})
    {
        service.endpoints.push_back({worker, "", std::string(worker) + ":1"});
    }
    config.services["quick"] = service;
    slot_allocator allocator{slot_allocator_options{}};
    allocator.reset(start, configuration()); // these workers are new under this leader
    std::uint64_t sequence = 0;
    const auto report =
        [&](const std::string& entry, time_point now, std::vector<slot_share> held, std::int64_t wanted = 0)
    {
        entry_report sent;
        sent.entry = entry;
        sent.incarnation = "1";
        sent.sequence = ++sequence;
        sent.version_in_force = 3;
        sent.held = std::move(held);
        sent.demand.push_back({"quick", wanted});
        return allocator.receive(now, config, sent).granted;
    };

    SECTION("grants all slots to the only entry")
    {
        const std::vector<slot_share> granted = report("e1", start, {});
        CHECK(granted == std::vector<slot_share>{{"w1", 8}, {"w2", 8}, {"w3", 8}});
    }
    SECTION("reassigns an entry's slots only after the entry reports them free")
    {
        const std::vector<slot_share> all = report("e1", start, {});
        CHECK(report("e2", start + milliseconds(10), {}).empty());
        const std::vector<slot_share> lowered = report("e1", start + milliseconds(20), all);
        REQUIRE(lowered.size() == 3);
        CHECK(lowered[0].slots == 4);
        CHECK(report("e2", start + milliseconds(30), {}).empty()); // e1 hasn't reported the lower number yet
        (void)report("e1", start + milliseconds(40), lowered);
        CHECK(report("e2", start + milliseconds(50), {}) ==
              std::vector<slot_share>{{"w1", 4}, {"w2", 4}, {"w3", 4}});
        CHECK(allocator.outstanding_slots("w1") == 8);
    }
    SECTION("reclaims an unresponsive entry's slots after its lease and its longest request")
    {
        (void)report("e1", start, {});
        allocator.tick(start + milliseconds(4300), config);
        CHECK(allocator.outstanding_slots("w1") == 8);
        allocator.tick(start + milliseconds(4301), config);
        CHECK(allocator.outstanding_slots("w1") == 0);
    }
    SECTION("follows demand and leaves an idle entry some slots")
    {
        (void)report("e1", start, {}, 30);
        (void)report("e2", start, {}, 0);
        const std::vector<slot_share> busy = report("e1", start + seconds(2), {}, 30);
        const std::vector<slot_share> idle = report("e2", start + seconds(2), {}, 0);
        CHECK(busy[0].slots > idle[0].slots);
        CHECK(idle[0].slots >= 1);
    }
    SECTION("of a new leader doesn't grant slots that an entry without a report may hold")
    {
        allocator.reset(start, config);
        CHECK(report("e1", start, {{"w1", 3}}) == std::vector<slot_share>{{"w1", 3}});
        allocator.tick(start + milliseconds(4301), config);
        CHECK(report("e1", start + milliseconds(4301), {{"w1", 3}})[0].slots == 8);
    }
    SECTION("reports a version in force only when each entry that may be serving has it")
    {
        (void)report("e1", start + seconds(4), {});
        CHECK_FALSE(allocator.in_force(start + milliseconds(3200), 3)); // an entry without a report may serve
        CHECK(allocator.in_force(start + seconds(4), 3));
        CHECK_FALSE(allocator.in_force(start + seconds(4), 4));
        CHECK(allocator.in_force(start + milliseconds(7300), 4)); // its lease has expired
    }
}

TEST_CASE("size estimates rise quickly and fall slowly")
{
    size_model sizes;
    job_spec spec;
    spec.work_class = "build";
    spec.declared = {1'000, 1'000, 1};
    for (int i = 0; i < 7; ++i)
    {
        sizes.observe("build", {4'000, 3'000, 0});
    }
    CHECK(sizes.estimate(spec) == spec.declared); // too few reports
    sizes.observe("build", {4'000, 3'000, 0});
    CHECK(sizes.estimate(spec).millicores == 4'400);
    CHECK(sizes.estimate(spec).accelerators == 1);
    sizes.observe("build", {1'000, 1'000, 0});
    CHECK(sizes.estimate(spec).millicores > 4'200);
    sizes.observe("build", {20'000, 3'000, 0});
    CHECK(sizes.estimate(spec).millicores == 8'000); // at most eight times the declared size
}

TEST_CASE("interference is learnt per service and class, and decays to the prior")
{
    interference_model model(seconds(600));
    time_point now = start;
    for (int i = 0; i < 400; ++i)
    {
        now += seconds(10);
        const std::vector<class_share> noisy = {{"build", 0.25}};
        const std::vector<class_share> calm = {{"marking", 0.25}};
        model.observe(now, {"quick", 0.9, 100, {}});
        model.observe(now, {"quick", 0.9, 150, noisy});
        model.observe(now, {"quick", 0.9, 102, calm});
    }
    CHECK(model.baseline_p99_ms("quick", 0.9) == Approx(100).epsilon(0.05));
    CHECK(model.slowdown(now, "quick", "build", 0.9) == Approx(2).epsilon(0.15));
    CHECK(model.slowdown(now, "quick", "marking", 0.9) < 0.25);
    CHECK(model.slowdown(now, "quick", "build", 0.1) == Approx(0.35)); // no measurement at this load level
    CHECK(model.slowdown(now + seconds(36'000), "quick", "build", 0.9) == Approx(0.35).epsilon(0.05));
}
