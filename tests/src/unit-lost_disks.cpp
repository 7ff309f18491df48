/// @file
/// @brief A control VM whose disk was lost is a voter again within a second of its join request, and no
///        committed entry is lost.

#include "replica_simulation.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace plumspoke;
using test::replica_simulation;
using test::simulation_load;
using test::simulation_result;

namespace
{

constexpr std::uint64_t seeds = 50;
constexpr auto vote_limit = seconds(1);

duration random_part(std::uint64_t seed, duration whole)
{
    std::mt19937_64 random(seed);
    return duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(whole.count())));
}

void check(const simulation_result& result, std::uint64_t seed)
{
    INFO("seed " << seed << ", " << result.snapshots_sent << " snapshots, " << result.committed
                 << " committed");
    for (const std::string& violation : result.violations)
    {
        UNSCOPED_INFO(violation);
    }
    CHECK(result.violations.empty());
    CHECK(result.votes_regained == result.disks_lost);
}

void check_vote_delays(const simulation_result& result, std::uint64_t seed)
{
    INFO("seed " << seed << ", " << result.snapshots_sent << " snapshots");
    for (const duration delay : result.vote_delays)
    {
        CHECK(delay <= vote_limit);
    }
}

} // namespace

TEST_CASE("a replaced disk becomes a voter within a second")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        replica_simulation simulation(seed, {});
        simulation.lose_disk(seconds(4) + random_part(seed, seconds(3)),
                             seed % 5,
                             milliseconds(300) + random_part(seed + 1000, seconds(2)));
        const simulation_result result = simulation.run(seconds(14));
        check(result, seed);
        check_vote_delays(result, seed);
    }
}

TEST_CASE("two disks that are replaced at once become voters within a second")
{
    for (std::uint64_t seed = 101; seed <= 100 + seeds; ++seed)
    {
        replica_simulation simulation(seed, {});
        const duration at = seconds(4) + random_part(seed, seconds(3));
        const duration down = milliseconds(300) + random_part(seed + 1000, seconds(2));
        simulation.lose_disk(at, seed % 5, down);
        simulation.lose_disk(at + random_part(seed + 2000, milliseconds(500)), (seed + 2) % 5, down);
        const simulation_result result = simulation.run(seconds(16));
        check(result, seed);
        check_vote_delays(result, seed);
    }
}

TEST_CASE("no entry is lost when the leader crashes while a replaced disk gets its snapshot")
{
    for (std::uint64_t seed = 201; seed <= 200 + seeds; ++seed)
    {
        replica_simulation simulation(seed, {});
        const duration at = seconds(4) + random_part(seed, seconds(3));
        const duration down = milliseconds(300) + random_part(seed + 1000, seconds(1));
        simulation.lose_disk(at, seed % 5, down);
        simulation.kill_leader(at + down + random_part(seed + 2000, milliseconds(1200)), milliseconds(700));
        check(simulation.run(seconds(18)), seed);
    }
}

TEST_CASE(
    "committed entries survive a replaced disk, then two more lost disks and a power loss of all other VMs")
{
    for (std::uint64_t seed = 301; seed <= 300 + seeds; ++seed)
    {
        replica_simulation simulation(seed, {});
        const duration at = seconds(4) + random_part(seed, seconds(3));
        simulation.lose_disk(at, seed % 5, milliseconds(300));
        const duration later = at + milliseconds(300) + milliseconds(900) + vote_limit;
        for (std::size_t i = 0; i < 5; ++i)
        {
            const std::size_t vm = (seed + i) % 5;
            if (i == 1 || i == 3)
            {
                simulation.lose_disk(later, vm, seconds(1) + random_part(seed + i, seconds(1)));
            }
            else if (i != 0)
            {
                simulation.lose_power(later, vm, seconds(1) + random_part(seed + i, seconds(1)));
            }
        }
        check(simulation.run(seconds(20)), seed);
    }
}

TEST_CASE("a replaced disk becomes a voter although links are slow")
{
    for (std::uint64_t seed = 401; seed <= 400 + seeds; ++seed)
    {
        simulation_load load;
        load.transfer_time = milliseconds(1500);
        replica_simulation simulation(seed, load);
        const duration at = seconds(4) + random_part(seed, seconds(3));
        simulation.lose_disk(at, seed % 5, milliseconds(300));
        simulation.add_delay(at, (seed + 1) % 5, milliseconds(60), seconds(3));
        const simulation_result result = simulation.run(seconds(18));
        check(result, seed);
        INFO("seed " << seed);
        CHECK(result.snapshots_sent <= 2);
    }
}

TEST_CASE("two disks that are replaced at once become voters within a second although connections had failed")
{
    for (std::uint64_t seed = 501; seed <= 500 + seeds; ++seed)
    {
        simulation_load load;
        load.round_time = milliseconds(25);
        load.save_time = milliseconds(120);
        load.install_time = milliseconds(75);
        load.transfer_time = milliseconds(200);
        load.max_reconnect_delay = milliseconds(500);
        replica_simulation simulation(seed, load);
        const duration at = seconds(4) + random_part(seed, seconds(3));
        const duration down = milliseconds(300) + random_part(seed + 1000, seconds(2));
        simulation.lose_disk(at, seed % 5, down);
        simulation.lose_disk(at, (seed + 2) % 5, down);
        const simulation_result result = simulation.run(seconds(16));
        check(result, seed);
        check_vote_delays(result, seed);
    }
}
