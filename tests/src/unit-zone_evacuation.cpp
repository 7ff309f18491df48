/// @file
/// @brief No task starts in an evacuated availability zone, whatever happens to leaders, orders and answers.

#include "control_plane.hpp"
#include "dispatcher_fixture.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "task_world.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

/// @brief A leader with one worker in each of two zones.
struct two_zones : fixture
{
    two_zones()
    {
        announce_in("west", "w1");
        announce_in("east", "e1");
        decide();
        answer_polls();
    }

    void announce_in(const std::string& zone, const std::string& id, std::uint64_t sequence = 0)
    {
        fleet::announcement worker;
        worker.life.id = id;
        worker.service = "pool";
        worker.zone = zone;
        worker.address = "address-" + id;
        worker.room = {16'000, 64'000, 0};
        worker.sequence = sequence;
        leader.announced(now, worker);
    }

    void evacuate(const std::string& zone, bool evacuated = true)
    {
        (void)state.apply(jobs::set_evacuation{zone, evacuated});
    }

    void submit_tasks(std::uint32_t count, const std::string& id = "job")
    {
        jobs::step_spec step;
        step.task_count = count;
        submit(step, id);
    }

    /// @brief The number of proposed starts on a worker.
    [[nodiscard]] std::size_t starts_on(const std::string& id) const
    {
        std::size_t count = 0;
        for (const planned_round& one : rounds)
        {
            for (const jobs::run_started& start : one.command.starts)
            {
                count += start.worker.id == id ? 1 : 0;
            }
        }
        return count;
    }

    /// @brief Decides for a while; polls are answered, and nothing else is.
    void decide_for(duration span)
    {
        for (const time_point end = now + span; now < end;)
        {
            decide();
            answer_polls();
        }
    }
};

std::string encode_and_apply(jobs::store& state, const jobs::command& value)
{
    const std::optional<jobs::command> decoded = jobs::decode(jobs::encode(value));
    REQUIRE(decoded.has_value());
    return state.apply(*decoded).result == jobs::outcome::accepted ? "accepted" : "known";
}

http::request make_request(const std::string& method, const std::string& path)
{
    http::request request;
    request.method = method;
    request.path = path;
    return request;
}

} // namespace

// ---- the replicated state ----------------------------------------------------------------------

TEST_CASE("orders on an evacuation are idempotent and are part of the log and the snapshot")
{
    jobs::store state;
    CHECK(encode_and_apply(state, jobs::set_evacuation{"west", true}) == "accepted");
    CHECK(encode_and_apply(state, jobs::set_evacuation{"west", true}) == "known");
    CHECK(encode_and_apply(state, jobs::set_evacuation{"east", true}) == "accepted");
    CHECK(encode_and_apply(state, jobs::set_evacuation{"west", false}) == "accepted");
    CHECK(encode_and_apply(state, jobs::set_evacuation{"west", false}) == "known");
    CHECK(state.evacuated_zones() == std::set<std::string>{"east"});
    CHECK(state.evacuation_version() == 3);

    jobs::store restored;
    (void)restored.apply(jobs::set_evacuation{"north", true});
    REQUIRE(restored.restore(state.save()));
    CHECK(restored.evacuated_zones() == std::set<std::string>{"east"});
    CHECK(restored.evacuation_version() == 3);
}

// ---- the platform's requests -------------------------------------------------------------------

TEST_CASE("requests on an evacuation are parsed")
{
    const platform::control_plane translator;
    const protocol::control_call start = translator.read(make_request("POST", "/evacuate/west"));
    REQUIRE(std::holds_alternative<protocol::evacuation_call>(start));
    CHECK(std::get<protocol::evacuation_call>(start).value.availability_zone == "west");
    CHECK(std::get<protocol::evacuation_call>(start).value.evacuated);
    const protocol::control_call end = translator.read(make_request("DELETE", "/evacuate/west"));
    REQUIRE(std::holds_alternative<protocol::evacuation_call>(end));
    CHECK_FALSE(std::get<protocol::evacuation_call>(end).value.evacuated);
    CHECK(std::holds_alternative<protocol::bad_call>(translator.read(make_request("POST", "/evacuate/"))));
    CHECK(std::holds_alternative<protocol::bad_call>(translator.read(make_request("GET", "/evacuate/west"))));
}

// ---- decisions ---------------------------------------------------------------------------------

TEST_CASE("no task is placed in an evacuated zone until the evacuation is withdrawn")
{
    two_zones f;
    f.evacuate("west");
    f.submit_tasks(20); // more than fit into one worker
    f.decide();
    CHECK(f.starts_on("w1") == 0);
    CHECK(f.starts_on("e1") == 16);
    f.commit();
    f.decide_for(seconds(1));
    CHECK(f.starts_proposed() == 0);
    f.evacuate("west", false);
    f.decide();
    CHECK(f.starts_on("w1") == 4);
}

TEST_CASE("a worker that announces itself in an evacuated zone gets no task")
{
    two_zones f;
    f.evacuate("west");
    f.decide();
    f.announce_in("west", "w2");
    f.decide();
    f.answer_polls();
    f.submit_tasks(40);
    f.decide();
    CHECK(f.starts_on("w1") + f.starts_on("w2") == 0);
    CHECK(f.starts_on("e1") == 16);
}

TEST_CASE("with all zones evacuated nothing starts, and work goes on after a withdrawal")
{
    two_zones f;
    f.evacuate("west");
    f.evacuate("east");
    f.submit_tasks(4);
    f.decide_for(seconds(2));
    CHECK(f.starts_proposed() == 0);
    f.evacuate("east", false);
    f.decide();
    CHECK(f.starts_on("e1") == 4);
}

TEST_CASE("a recorded start is withdrawn if its zone is evacuated before the order is sent")
{
    two_zones f;
    f.submit_tasks(32);
    f.decide();
    REQUIRE(f.starts_on("w1") == 16);
    f.evacuate("west");
    f.commit();
    f.decide();
    for (const start_order& one : f.sent<start_order>())
    {
        CHECK(one.to.worker.id == "e1");
    }
    f.decide();
    REQUIRE(f.rounds.size() == 1);
    CHECK(f.rounds[0].command.ends.size() == 16);
    CHECK(f.rounds[0].command.ends[0].how == jobs::run_end::not_begun);
}

TEST_CASE("an unanswered start in a zone that is evacuated is fenced in place of being sent again")
{
    two_zones f;
    f.evacuate("east");
    f.submit_tasks(1);
    f.decide();
    f.commit();
    f.decide();
    const start_order first = f.sent<start_order>().at(0);
    REQUIRE(first.to.worker.id == "w1");
    f.answer(first, {reply::none, {}, {}, {}});
    f.evacuate("west");
    f.decide(milliseconds(200));
    f.decide();
    CHECK(f.sent<start_order>().empty());
    REQUIRE(f.sent<stop_order>().size() == 1);
    CHECK(f.sent<stop_order>()[0].name == first.name);
}

TEST_CASE("tasks that run in a zone go on while it is evacuated")
{
    two_zones f;
    f.evacuate("east");
    f.submit_tasks(1);
    f.decide();
    f.commit();
    f.decide();
    const start_order first = f.sent<start_order>().at(0);
    f.answer(first, {reply::done, {}, {}, {}});
    f.evacuate("west");
    for (int i = 0; i < 40; ++i)
    {
        f.decide(milliseconds(50));
        f.answer_polls({{first.name, {}, i, 0}});
        CHECK(f.sent<stop_order>().empty());
        for (const planned_round& one : f.rounds)
        {
            CHECK(one.command.ends.empty());
        }
        f.commit();
    }
    CHECK(f.leader.runs().size() == 1);
}

TEST_CASE("a new leader knows the evacuated zones from its first decision on")
{
    two_zones f;
    f.evacuate("west");
    f.leader.lead(f.now, 8, f.state);
    f.announce_in("west", "w1", 1);
    f.announce_in("east", "e1", 1);
    f.submit_tasks(40);
    f.decide();
    f.answer_polls();
    f.decide();
    CHECK(f.starts_on("w1") == 0);
    CHECK(f.starts_on("e1") == 16);
}

// ---- a whole fleet with faults -----------------------------------------------------------------

namespace
{

void check_seeds(std::uint64_t first, const test::task_faults& faults)
{
    constexpr std::uint64_t seeds = 8;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        test::task_world world(seed, faults);
        world.submit_random(80, seconds(18));
        // Two evacuations of each length, the second beside another zone's, with orders that are repeated.
        world.evacuate(seconds(2), "zone-1");
        world.evacuate(milliseconds(2700), "zone-1");
        world.evacuate(seconds(9), "zone-1", false);
        world.evacuate(milliseconds(9600), "zone-1", false);
        world.evacuate(seconds(8), "zone-2");
        world.evacuate(seconds(12), "zone-3");
        world.evacuate(seconds(17), "zone-2", false);
        world.evacuate(seconds(20), "zone-3", false);
        const test::task_outcome outcome = world.run(seconds(60));
        INFO("seed " << seed << ", " << outcome.starts << " starts, " << outcome.leaders << " leaders");
        for (const std::string& one : outcome.broken)
        {
            UNSCOPED_INFO(one);
        }
        CHECK(outcome.broken.empty());
        CHECK(outcome.open == 0);
        CHECK(outcome.completed > 0);
    }
}

} // namespace

TEST_CASE("no task starts in an evacuated zone under faults, and all work ends")
{
    test::task_faults faults;

    SECTION("without faults")
    {
        check_seeds(9000, faults);
    }
    SECTION("leaders change")
    {
        faults.leader_changes_per_s = 0.3;
        check_seeds(9100, faults);
    }
    SECTION("answers are lost and orders are carried out late")
    {
        faults.lost_answers = 0.15;
        faults.late_orders = 0.05;
        check_seeds(9200, faults);
    }
    SECTION("workers crash, drain and are cut off")
    {
        faults.crashes_per_s = 0.02;
        faults.cuts_per_s = 0.02;
        faults.drains_per_s = 0.02;
        check_seeds(9300, faults);
    }
    SECTION("records, orders and answers take tenths of a second while leaders change")
    {
        faults.min_delay = milliseconds(100);
        faults.max_delay = milliseconds(500);
        faults.leader_changes_per_s = 0.15;
        check_seeds(9400, faults);
    }
    SECTION("all of these")
    {
        faults.leader_changes_per_s = 0.2;
        faults.lost_answers = 0.1;
        faults.late_orders = 0.03;
        faults.crashes_per_s = 0.01;
        faults.cuts_per_s = 0.01;
        faults.drains_per_s = 0.01;
        check_seeds(9500, faults);
    }
}
