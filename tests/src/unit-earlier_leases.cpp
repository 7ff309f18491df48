/// @file
/// @brief A new leader knows when the leases of earlier leaders had expired.
///
/// Guards against a leader that waits for leases that ended long before its term, and against one that takes
/// a lease for expired while its holder may still give orders.

#include "replica_simulation.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace plumspoke;
using test::replica_simulation;
using test::simulation_load;
using test::simulation_result;

namespace
{

constexpr std::uint64_t seeds = 60;
constexpr auto last_fault = seconds(33);
constexpr auto end = seconds(45);
constexpr auto outage = seconds(6);

simulation_load small_load(double entries_per_s = 60)
{
    simulation_load load;
    load.entries_per_s = entries_per_s;
    load.snapshot_interval = 900;
    return load;
}

/// @brief The time for which a leader elected after an outage knows at least that there was no lease.
duration least_known(duration down_for)
{
    const replica::node_options options;
    const double slowest_rate =
        1 - std::chrono::duration<double>(options.drift_margin) / options.election_timeout;
    return std::chrono::duration_cast<duration>(slowest_rate * (down_for - options.acknowledgement_window)) -
           options.election_timeout;
}

void check(const simulation_result& result, std::uint64_t seed)
{
    INFO("seed " << seed << ", " << result.leaderships << " terms");
    for (const std::string& violation : result.violations)
    {
        UNSCOPED_INFO(violation);
    }
    CHECK(result.violations.empty());
    CHECK(result.leaderships > 1);
}

/// @brief Stops all VMs at once; some of them without their disks.
void stop_all(replica_simulation& simulation, duration at, duration down_for, std::size_t lost_disks)
{
    for (std::size_t vm = 0; vm < simulation_load{}.vms; ++vm)
    {
        if (vm < lost_disks)
        {
            simulation.lose_disk(at, vm, down_for);
        }
        else
        {
            simulation.lose_power(at, vm, down_for);
        }
    }
}

} // namespace

TEST_CASE("the first leader after an outage knows that earlier leases ended long before")
{
    const std::size_t lost_disks = GENERATE(0u, 1u, 2u);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        replica_simulation simulation(seed, small_load());
        stop_all(simulation, seconds(4), outage, lost_disks);
        const simulation_result result = simulation.run(seconds(16));
        check(result, seed);
        CHECK(*std::max_element(result.times_since_lease.begin(), result.times_since_lease.end()) >=
              least_known(outage));
    }
}

TEST_CASE("a leader that was cut off from the one before takes no lease for expired too early")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        replica_simulation simulation(seed, small_load(0));
        simulation.cut_off(seconds(3), seed % 5, seconds(3));
        simulation.kill_leader(milliseconds(6050), seconds(3));
        check(simulation.run(seconds(12)), seed);
    }
}

TEST_CASE("no lease is taken for expired while its holder may use it")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        // With few entries, a voter that has not heard from the leader for long may win an election.
        replica_simulation simulation(seed, small_load(seed % 2 == 0 ? 60 : 1));
        std::mt19937_64 random(seed);
        const auto random_part = [&random](duration whole)
        {
            return duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(whole.count())));
        };
        for (duration at = seconds(3); at < last_fault; at += random_part(seconds(2)))
        {
            const std::size_t vm = random() % 5;
            const duration length = milliseconds(20) + random_part(seconds(4));
            switch (random() % 8)
            {
            case 0:
                simulation.suspend_leader(at, length);
                break;
            case 1:
                simulation.suspend(at, vm, length);
                break;
            case 2:
                simulation.cut_off(at, vm, length);
                break;
            case 3:
                simulation.lose_power(at, vm, length / 40);
                break;
            case 4:
                simulation.kill_leader(at, length / 20);
                break;
            case 5:
                simulation.add_delay(at, vm, random_part(milliseconds(300)), length);
                break;
            case 6:
                stop_all(simulation, at, length / 10, 0);
                break;
            default:
                simulation.lose_disk_if_all_vote(at, vm, length / 4);
                break;
            }
        }
        check(simulation.run(end), seed);
    }
}
