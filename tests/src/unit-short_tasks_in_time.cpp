#include "busy_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::busy_fleet;
using test::busy_load;
using test::short_job_counts;

namespace
{

constexpr double min_worth = 0.26; // lowest accepted worth of short tasks in the users' workloads

busy_load large_fleet()
{
    busy_load load = busy_load::of_wide_steps(1800);
    load.short_objective_factor = 1.5;
    load.short_objective_extra_ms = 300;
    load.processor = 0.45;
    load.call_cost = std::chrono::microseconds(25);
    load.decision_cost = milliseconds(3);
    load.start_cost = std::chrono::microseconds(15);
    return load;
}

} // namespace

// Workers have free capacity throughout, so any late task was delayed by the leader.
TEST_CASE("batch work doesn't delay short tasks past their deadline after the loss of a leader")
{
    busy_fleet fleet(large_fleet());
    fleet.lose_leader(seconds(5), milliseconds(3500));
    const test::busy_outcome outcome = fleet.run(seconds(24));
    const short_job_counts jobs = fleet.count_short_jobs(seconds(4), seconds(18));
    INFO(jobs.in_time << " in time, " << jobs.late << " late, " << jobs.missed << " missed; " << outcome.done
                      << " tasks done");
    CHECK(jobs.worth() >= 2 * min_worth);
}
