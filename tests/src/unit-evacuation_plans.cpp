/// @file
/// @brief An operator's plan to evacuate an availability zone, and what follows from it for tasks and
/// requests.

#include "control_fixture.hpp"
#include "plumspoke/control/error.hpp"
#include "plumspoke/control/placement_index.hpp"
#include "plumspoke/entry/route_table.hpp"
#include "plumspoke/operator/intent.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::control;
using control_test::fixture;
using control_test::start;

namespace
{

intent_document evacuate(const std::string& zone)
{
    intent_document intent;
    intent.evacuate_zones.push_back(zone);
    return intent;
}

intent_document restore(const std::string& zone)
{
    intent_document intent;
    intent.restore_zones.push_back(zone);
    return intent;
}

std::string last_action(const command_answer& plan)
{
    return plan.detail.at("steps").back().at("action").get<std::string>();
}

std::vector<std::string> candidates(const control_state& state)
{
    placement_index index;
    index.rebuild(state,
                  [](const std::string& /*worker*/)
                  {
                      return true;
                  });
    std::vector<std::string> names;
    for (const placement_candidate& one : index.candidates())
    {
        names.push_back(one.worker->name);
    }
    return names;
}

} // namespace

TEST_CASE("a zone is evacuated and restored by confirmed plans")
{
    fixture f; // w1 is in nangang, w2 in neihu
    f.submit("running");
    REQUIRE(f.place("running").accepted());
    const command_answer plan = f.plan_of(evacuate("nangang"), "e1");
    CHECK(last_action(plan) == "evacuate");
    CHECK(plan.detail.at("steps").back().at("reason") == "1 workers get no new work, 1 tasks go on");
    CHECK(f.state.config.evacuated_zones.empty());
    REQUIRE(f.confirm(plan.id).accepted());
    CHECK(f.state.config.evacuated_zones == std::set<std::string>{"nangang"});
    CHECK(f.state.jobs.at("running").live.has_value());

    SECTION("no task is placed there, also by a decision made before")
    {
        CHECK(candidates(f.state) == std::vector<std::string>{"w2"});
        f.submit("late");
        CHECK(f.place("late", "w1").error == static_cast<std::int64_t>(errc::zone_evacuated));
        CHECK(f.place("late", "w2").accepted());
    }
    SECTION("it is part of a snapshot")
    {
        const control_state restored = nlohmann::json(f.state).get<control_state>();
        CHECK(restored.config.evacuated_zones == std::set<std::string>{"nangang"});
    }
    SECTION("the same plan again keeps it, and one of an older version conflicts")
    {
        CHECK(last_action(f.plan_of(evacuate("nangang"), "e2")) == "keep");
        CHECK(f.apply(make_plan{"e3", "bo", f.state.config.version - 1, evacuate("neihu")}).error ==
              static_cast<std::int64_t>(errc::version_conflict));
    }
    SECTION("work starts there again after it was restored")
    {
        const command_answer back = f.plan_of(restore("nangang"), "r1");
        CHECK(last_action(back) == "restore");
        REQUIRE(f.confirm(back.id).accepted());
        CHECK(candidates(f.state) == std::vector<std::string>{"w1", "w2"});
    }
    SECTION("evacuating every zone carries a warning")
    {
        CHECK(last_action(f.plan_of(evacuate("neihu"), "e4")) == "warn");
    }
}

TEST_CASE("a plan for a zone that can't be evacuated is refused")
{
    fixture f;
    const command_answer unknown = f.plan_of(evacuate("hsinchu"), "e1");
    CHECK(unknown.detail.at("refused") == true);
    CHECK(f.confirm(unknown.id).error == static_cast<std::int64_t>(errc::plan_refused));
    intent_document both = evacuate("nangang");
    both.restore_zones.push_back("nangang");
    CHECK(f.plan_of(both, "e2").detail.at("refused") == true);
    CHECK(last_action(f.plan_of(restore("nangang"), "e3")) == "keep");

    std::vector<settings::fault> faults;
    (void)operators::parse_intent(nlohmann::json::parse(R"({"evacuate_zones":["nangang",7]})"), faults);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "/evacuate_zones/1");
}

TEST_CASE("entries send no request to an evacuated zone, and keep the slots in use there")
{
    configuration config;
    service_config& service = config.services["quick"];
    service.name = "quick";
    service.endpoints = {{"w1", "nangang", "10.0.0.1:80"}, {"w2", "neihu", "10.0.0.2:80"}};
    const std::unique_ptr<entry::route_table> before = entry::make_table(config, nullptr, {}, start, {});
    REQUIRE(before->find("quick")->endpoints.size() == 2);
    config.evacuated_zones.insert("nangang");
    const std::unique_ptr<entry::route_table> during = entry::make_table(config, before.get(), {}, start, {});
    REQUIRE(during->find("quick")->endpoints.size() == 1);
    CHECK(during->find("quick")->endpoints[0]->slots().worker() == "w2");
    CHECK(during->slots.at("w1") == before->slots.at("w1"));
    config.evacuated_zones.clear();
    const std::unique_ptr<entry::route_table> after = entry::make_table(config, during.get(), {}, start, {});
    CHECK(after->find("quick")->endpoints.size() == 2);
    CHECK(after->slots.at("w1") == before->slots.at("w1"));
}
