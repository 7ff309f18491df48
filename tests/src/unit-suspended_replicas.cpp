/// @file
/// @brief Control VMs that are suspended, cut off, without power or without their disks, in series and at the
///        same time, never answer a read from an old state.

#include "replica_simulation.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using test::replica_simulation;
using test::simulation_load;
using test::simulation_result;

namespace
{

constexpr std::uint64_t seeds = 60;
constexpr auto first_fault = seconds(3);
constexpr auto last_fault = seconds(33);
constexpr auto end = seconds(45);

simulation_load small_load()
{
    simulation_load load;
    load.entries_per_s = 60;
    load.snapshot_interval = 900;
    return load;
}

/// @brief Schedules faults that overlap: one about each second, of up to 6 s.
void schedule_faults(replica_simulation& simulation, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto random_part = [&random](duration whole)
    {
        return duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(whole.count())));
    };
    for (duration at = first_fault; at < last_fault; at += random_part(seconds(2)))
    {
        const std::size_t vm = random() % 5;
        const duration length = milliseconds(100) + random_part(seconds(6));
        switch (random() % 8)
        {
        case 0:
        case 1:
        case 2:
            simulation.suspend_leader(at, length);
            break;
        case 3:
            simulation.suspend(at, vm, length);
            break;
        case 4:
            simulation.cut_off(at, vm, length);
            break;
        case 5:
            simulation.lose_power(at, vm, length / 4);
            break;
        case 6:
            simulation.kill_leader(at, milliseconds(700));
            break;
        default:
            simulation.lose_disk_if_all_vote(at, vm, length / 4);
            break;
        }
    }
}

simulation_result play(std::uint64_t seed, bool clock_stops)
{
    simulation_load load = small_load();
    load.clock_stops_while_suspended = clock_stops;
    replica_simulation simulation(seed, load);
    schedule_faults(simulation, seed);
    return simulation.run(end);
}

} // namespace

TEST_CASE("replicas that are suspended among other faults answer no read from an old state")
{
    std::size_t suspensions = 0;
    std::size_t leaderships = 0;
    std::size_t disks_lost = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const simulation_result result = play(seed, false);
        INFO("seed " << seed << ", " << result.suspensions << " suspensions, " << result.leaderships
                     << " leaders, " << result.disks_lost << " lost disks");
        for (const std::string& violation : result.violations)
        {
            UNSCOPED_INFO(violation);
        }
        CHECK(result.violations.empty());
        CHECK(result.stale_reads == 0);
        CHECK(result.committed > 0);
        CHECK(result.votes_regained == result.disks_lost);
        suspensions += result.suspensions;
        leaderships += result.leaderships;
        disks_lost += result.disks_lost;
    }
    CHECK(suspensions > 4 * seeds);
    CHECK(leaderships > 4 * seeds);
    CHECK(disks_lost > seeds);
}

TEST_CASE("a clock that stops while a replica is suspended makes it answer reads from an old state")
{
    std::size_t stale_reads = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        stale_reads += play(seed, true).stale_reads;
    }
    CHECK(stale_reads > 0);
}
