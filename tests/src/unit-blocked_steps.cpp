/// @file
/// @brief The work of a placement for steps that no worker can take.
///
/// Guards against decisions that compare all workers of the fleet for each waiting step in every placement,
/// so that a backlog makes each decision late.

#include "dispatcher_fixture.hpp"

#include <string>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using dispatcher_test::fixture;

namespace
{

constexpr int fleet_size = 200;
constexpr int step_count = 10;
constexpr int change_count = 5;

void announce_changed(fixture& fleet, int number, std::int64_t memory_mb)
{
    fleet::announcement worker;
    worker.life.id = "w" + std::to_string(number);
    worker.service = "pool";
    worker.address = "address-" + worker.life.id;
    worker.room = {16'000, memory_mb, 0};
    worker.sequence = 1;
    fleet.leader.announced(fleet.now, worker);
}

/// @brief A fleet with steps that no worker can take, as of the last placement.
void block_steps(fixture& fleet, const jobs::step_spec& step)
{
    for (int number = 0; number < fleet_size; ++number)
    {
        fleet.announce("w" + std::to_string(number));
    }
    fleet.decide();
    fleet.answer_polls();
    for (int number = 0; number < step_count; ++number)
    {
        fleet.submit(step, "job" + std::to_string(number));
    }
    fleet.decide();
    REQUIRE(fleet.starts_proposed() == 0);
}

/// @brief The number of workers that were compared for the steps while one worker after another changed.
std::uint64_t compared_for_changes(fixture& fleet)
{
    const std::uint64_t before = fleet.leader.counts().workers_compared;
    for (int number = 0; number < change_count; ++number)
    {
        announce_changed(fleet, number, 32'000);
        fleet.decide();
    }
    CHECK(fleet.starts_proposed() == 0);
    return fleet.leader.counts().workers_compared - before;
}

} // namespace

TEST_CASE("steps that no worker can take are tried only on the workers that have changed since")
{
    jobs::step_spec step;
    step.task_count = 3;
    step.needs = {4000, 100'000, 0};
    SECTION("short tasks")
    {
    }
    SECTION("lasting tasks")
    {
        step.lasting = true;
        step.tail_target_ms = 10;
        step.image = "serve";
    }
    SECTION("fillers")
    {
        step.filler = true;
        step.image = "fill";
    }
    fixture fleet;
    block_steps(fleet, step);
    CHECK(compared_for_changes(fleet) <= std::uint64_t{step_count} * change_count);
}

TEST_CASE("blocked steps start on workers that have changed since, as far as these have room")
{
    jobs::step_spec step;
    step.needs = {4000, 100'000, 0};
    fixture fleet;
    block_steps(fleet, step);
    announce_changed(fleet, 7, 250'000);
    announce_changed(fleet, 9, 120'000);
    fleet.decide();
    REQUIRE(fleet.starts_proposed() == 3);
}
