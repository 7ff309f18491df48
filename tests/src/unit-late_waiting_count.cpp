/// @file
/// @brief The count of waiting jobs when a leader's records, orders and responses take 0.1 to 0.5 s each.

#include "task_world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace plumspoke;
using test::task_faults;
using test::task_outcome;
using test::task_world;

namespace
{

constexpr std::size_t workers = 490;
constexpr std::size_t submitted_jobs = 1500;

task_faults delayed_leader()
{
    task_faults faults;
    faults.min_delay = milliseconds(100);
    faults.max_delay = milliseconds(500);
    faults.decision_interval = milliseconds(100);
    faults.reports_unstarted_stops = true;
    return faults;
}

void check_counts(std::uint64_t seed, const task_faults& faults)
{
    task_world world(seed, faults);
    world.submit_random(submitted_jobs, seconds(18));
    const task_outcome seen = world.run(seconds(40), workers);
    std::ptrdiff_t wrong_counts = 0;
    for (const std::string& one : seen.broken)
    {
        if (one.find("are said to wait") != std::string::npos)
        {
            ++wrong_counts;
            UNSCOPED_INFO(one);
        }
    }
    INFO("seed " << seed << ", " << seen.starts << " starts, " << seen.leaders << " leaders");
    CHECK(wrong_counts == 0);
    CHECK(seen.starts > submitted_jobs);
}

} // namespace

TEST_CASE("a delayed leader's count omits jobs that no worker has begun, or is more than 2 s old")
{
    task_faults faults = delayed_leader();

    SECTION("without other faults")
    {
        check_counts(1, faults);
    }
    SECTION("where leaders change")
    {
        faults.leader_changes_per_s = 0.4;
        check_counts(3, faults);
    }
    SECTION("where starts are executed late or responses are lost, and stops arrive first")
    {
        faults.late_orders = 0.5;
        faults.lost_answers = 0.1;
        check_counts(4, faults);
    }
    SECTION("with all faults combined")
    {
        faults.late_orders = 0.05;
        faults.lost_answers = 0.05;
        faults.crashes_per_s = 0.02;
        faults.cuts_per_s = 0.03;
        faults.drains_per_s = 0.02;
        faults.leader_changes_per_s = 0.2;
        faults.cancels = 0.2;
        check_counts(5, faults);
    }
}
