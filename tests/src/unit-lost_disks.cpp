/// @file
/// @brief A control VM whose disk was lost votes again within a second of its request, and nothing is lost.

#include "replica_world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace plumspoke;
using test::replica_load;
using test::replica_outcome;
using test::replica_world;

namespace
{

constexpr std::uint64_t seeds = 50;
constexpr auto vote_limit = seconds(1);

duration part_of(std::uint64_t seed, duration whole)
{
    std::mt19937_64 random(seed);
    return duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(whole.count())));
}

void check(const replica_outcome& seen, std::uint64_t seed)
{
    INFO("seed " << seed << ", " << seen.snapshots_sent << " snapshots, " << seen.committed << " committed");
    for (const std::string& one : seen.broken)
    {
        UNSCOPED_INFO(one);
    }
    CHECK(seen.broken.empty());
    CHECK(seen.votes_regained == seen.disks_lost);
}

void check_vote_delays(const replica_outcome& seen, std::uint64_t seed)
{
    INFO("seed " << seed << ", " << seen.snapshots_sent << " snapshots");
    for (const duration one : seen.vote_delays)
    {
        CHECK(one <= vote_limit);
    }
}

} // namespace

TEST_CASE("a lost disk votes again within a second")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        replica_world world(seed, {});
        world.lose_disk(seconds(4) + part_of(seed, seconds(3)),
                        seed % 5,
                        milliseconds(300) + part_of(seed + 1000, seconds(2)));
        const replica_outcome seen = world.run(seconds(14));
        check(seen, seed);
        check_vote_delays(seen, seed);
    }
}

TEST_CASE("two disks that are lost at once vote again within a second")
{
    for (std::uint64_t seed = 101; seed <= 100 + seeds; ++seed)
    {
        replica_world world(seed, {});
        const duration at = seconds(4) + part_of(seed, seconds(3));
        const duration down = milliseconds(300) + part_of(seed + 1000, seconds(2));
        world.lose_disk(at, seed % 5, down);
        world.lose_disk(at + part_of(seed + 2000, milliseconds(500)), (seed + 2) % 5, down);
        const replica_outcome seen = world.run(seconds(16));
        check(seen, seed);
        check_vote_delays(seen, seed);
    }
}

TEST_CASE("a leader that ends while a lost disk gets its snapshot costs nothing but time")
{
    for (std::uint64_t seed = 201; seed <= 200 + seeds; ++seed)
    {
        replica_world world(seed, {});
        const duration at = seconds(4) + part_of(seed, seconds(3));
        const duration down = milliseconds(300) + part_of(seed + 1000, seconds(1));
        world.lose_disk(at, seed % 5, down);
        world.kill_leader(at + down + part_of(seed + 2000, milliseconds(1200)), milliseconds(700));
        check(world.run(seconds(18)), seed);
    }
}

TEST_CASE("what is committed outlives a lost disk that votes again, and two more with a loss of all power")
{
    for (std::uint64_t seed = 301; seed <= 300 + seeds; ++seed)
    {
        replica_world world(seed, {});
        const duration at = seconds(4) + part_of(seed, seconds(3));
        world.lose_disk(at, seed % 5, milliseconds(300));
        const duration later = at + milliseconds(300) + milliseconds(900) + vote_limit;
        for (std::size_t i = 0; i < 5; ++i)
        {
            const std::size_t vm = (seed + i) % 5;
            if (i == 1 || i == 3)
            {
                world.lose_disk(later, vm, seconds(1) + part_of(seed + i, seconds(1)));
            }
            else if (i != 0)
            {
                world.lose_power(later, vm, seconds(1) + part_of(seed + i, seconds(1)));
            }
        }
        check(world.run(seconds(20)), seed);
    }
}

TEST_CASE("a lost disk votes again though links are slow")
{
    for (std::uint64_t seed = 401; seed <= 400 + seeds; ++seed)
    {
        replica_load load;
        load.transfer_time = milliseconds(1500);
        replica_world world(seed, load);
        const duration at = seconds(4) + part_of(seed, seconds(3));
        world.lose_disk(at, seed % 5, milliseconds(300));
        world.slow_down(at, (seed + 1) % 5, milliseconds(60), seconds(3));
        const replica_outcome seen = world.run(seconds(18));
        check(seen, seed);
        INFO("seed " << seed);
        CHECK(seen.snapshots_sent <= 2);
    }
}
