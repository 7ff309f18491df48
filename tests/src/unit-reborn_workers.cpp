/// @file
/// @brief Work among workers that crash and start again under their id: all of it runs once, and ends.
///
/// A new life of a worker counts its ends, its announcements and its clock anew. A leader that held them
/// against those of the life before left ends unread, and started tasks again that were done
/// (unit-worker_lives). Here lives follow each other within the gap between two polls and after it, with a
/// time of birth that may be before that of the earlier life, as another kind and at another address, while
/// starts come seconds late.

#include "task_world.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::task_faults;
using test::task_outcome;
using test::task_world;

namespace
{

task_faults reborn()
{
    task_faults faults;
    faults.same_id = 1;
    faults.flapping = 0.5;
    faults.failures = 0;
    return faults;
}

void check(std::uint64_t seed, const task_faults& faults)
{
    task_world world(seed, faults);
    world.submit_random(60, seconds(18));
    const task_outcome seen = world.run(seconds(60), 8);
    INFO("seed " << seed << ", " << seen.starts << " starts, " << seen.workers_crashed << " lives ended, "
                 << seen.leaders << " leaders");
    for (const std::string& one : seen.broken)
    {
        UNSCOPED_INFO(one);
    }
    CHECK(seen.broken.empty());
    CHECK(seen.open == 0);
    CHECK(seen.completed > 0);
    CHECK(seen.workers_crashed > 0);
}

void check_seeds(std::uint64_t first, const task_faults& faults)
{
    constexpr std::uint64_t seeds = 8;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        check(seed, faults);
    }
}

} // namespace

TEST_CASE("work runs once and ends where workers start again under their id")
{
    task_faults faults = reborn();

    SECTION("after some seconds")
    {
        check_seeds(1100, faults);
    }
    SECTION("within the gap between two polls")
    {
        faults.down_least = milliseconds(1);
        faults.down_most = milliseconds(300);
        check_seeds(1200, faults);
    }
    SECTION("while orders are carried out late and answers are lost")
    {
        faults.down_least = milliseconds(1);
        faults.late_orders = 0.08;
        faults.lost_answers = 0.05;
        check_seeds(1300, faults);
    }
    SECTION("while workers are cut off and run on")
    {
        faults.cuts_per_s = 0.05;
        check_seeds(1400, faults);
    }
    SECTION("while leaders change")
    {
        faults.down_least = milliseconds(1);
        faults.leader_changes_per_s = 0.2;
        check_seeds(1500, faults);
    }
    SECTION("some of them, while the others come back under another id")
    {
        faults.same_id = 0.5;
        check_seeds(1600, faults);
    }
    SECTION("while everything goes wrong at once")
    {
        faults.down_least = milliseconds(1);
        faults.late_orders = 0.04;
        faults.lost_answers = 0.04;
        faults.cuts_per_s = 0.02;
        faults.drains_per_s = 0.02;
        faults.leader_changes_per_s = 0.1;
        faults.failures = 0.03;
        faults.cancels = 0.2;
        check_seeds(1700, faults);
    }
}

TEST_CASE("a task that crashes its workers is given up where they start again under their id")
{
    task_faults faults;
    faults.same_id = 1;
    faults.failures = 0;
    const bool leaders_change = GENERATE(false, true);
    faults.leader_changes_per_s = leaders_change ? 0.1 : 0;
    faults.down_least = leaders_change ? milliseconds(2000) : milliseconds(20);
    for (std::uint64_t seed = 1800; seed < 1808; ++seed)
    {
        task_world world(seed, faults);
        jobs::job_spec sound;
        sound.steps.emplace_back();
        sound.steps[0].task_count = 8;
        sound.steps[0].needs = {1600, 1000, 0};
        for (int i = 0; i < 60; ++i)
        {
            world.submit(milliseconds(300) * i, sound, "sound" + std::to_string(i));
        }
        world.submit(seconds(2), sound, "guilty");
        world.make_crashing({"guilty", 0, 0, 0});
        const task_outcome seen = world.run(seconds(90), 12);
        INFO("seed " << seed << ", " << seen.workers_crashed << " lives ended");
        for (const std::string& one : seen.broken)
        {
            UNSCOPED_INFO(one);
        }
        CHECK(seen.broken.empty());
        CHECK(world.state().find("guilty")->phase == jobs::job_phase::failed);
        CHECK(seen.sound_failed == 0);
        CHECK(seen.open == 0);
    }
}
