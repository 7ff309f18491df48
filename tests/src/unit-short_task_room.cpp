/// @file
/// @brief How much room is kept for short tasks, and what counts as room: whole places.

#include "plumspoke/dispatch/short_task_room.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace plumspoke;
using namespace plumspoke::dispatch;

namespace
{

const time_point start{seconds(100)};
constexpr std::int64_t pool_milli = 4'900'000;

/// @brief Jobs of 2 to 10 tasks of 3 to 20 cores that come at random, each for a second.
/// @return how often, after a while, they wanted no more than what was kept
double share_of_time_enough(short_task_room& room, double jobs_a_second)
{
    struct burst
    {
        time_point until{};
        task_demand of;
    };
    std::mt19937_64 random(1);
    std::vector<burst> running;
    constexpr int looks = 1200;
    constexpr int learning = 200;
    int enough = 0;
    for (int i = 0; i < looks; ++i)
    {
        const time_point now = start + i * milliseconds(100);
        std::erase_if(running,
                      [now](const burst& one)
                      {
                          return one.until <= now;
                      });
        for (int come = std::poisson_distribution<int>(jobs_a_second / 10)(random); come > 0; --come)
        {
            const auto cpu = std::uniform_int_distribution<std::int64_t>(3000, 20'000)(random);
            const auto tasks = std::uniform_int_distribution<std::uint32_t>(2, 10)(random);
            running.push_back({now + seconds(1), {cpu, tasks}});
        }
        std::vector<task_demand> demands;
        std::int64_t wanted = 0;
        for (const burst& one : running)
        {
            demands.push_back(one.of);
            wanted += one.of.cpu_milli * one.of.tasks;
        }
        enough += i >= learning && wanted <= room.wanted_milli(pool_milli) ? 1 : 0;
        room.observe(now, demands);
    }
    return static_cast<double>(enough) / (looks - learning);
}

} // namespace

TEST_CASE("nothing is kept where no short task was seen")
{
    short_task_room room;
    CHECK(room.wanted_milli(pool_milli) == 0);
    CHECK(room.usable_milli(1) == 1);
    room.observe(start, {});
    CHECK(room.wanted_milli(pool_milli) == 0);
}

TEST_CASE("what is kept is enough for nearly all of the time, at any rate of jobs, and not much more")
{
    for (const double rate : {2.0, 5.0, 14.0})
    {
        short_task_room room;
        CHECK(share_of_time_enough(room, rate) > 0.9);
        const double mean_milli = rate * 6 * 11'500;
        CHECK(static_cast<double>(room.wanted_milli(pool_milli)) < 3 * mean_milli);
        CHECK(room.place_milli() >= 15'000); // nine of ten sizes fit
        CHECK(room.place_milli() <= 25'000);
    }
}

TEST_CASE("free processors count as room only where a task fits, and never for more than a part of the pool")
{
    short_task_room room;
    const std::vector<task_demand> large = {{11'000, 9}};
    for (int i = 0; i < 100; ++i)
    {
        room.observe(start + i * milliseconds(100), large);
    }
    CHECK(room.usable_milli(5000) == 0); // a share of each worker is not room for one task
    CHECK(room.usable_milli(30'000) == 30'000);
    CHECK(room.usable_milli(-1) == 0);
    CHECK(room.wanted_milli(pool_milli) >= 99'000);
    CHECK(room.wanted_milli(100'000) < 40'000);
}

TEST_CASE("what short tasks wanted long ago fades")
{
    short_task_room room;
    const std::vector<task_demand> many = {{10'000, 50}};
    for (int i = 0; i < 50; ++i)
    {
        room.observe(start + i * milliseconds(100), many);
    }
    REQUIRE(room.wanted_milli(pool_milli) >= 450'000);
    for (int i = 0; i < 1200; ++i)
    {
        room.observe(start + seconds(5) + i * milliseconds(100), {});
    }
    CHECK(room.wanted_milli(pool_milli) < 50'000);
}
