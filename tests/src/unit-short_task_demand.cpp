/// @file
/// @brief How much headroom is kept for short tasks, and what counts as headroom: slots.

#include "plumspoke/dispatch/short_task_demand.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace plumspoke;
using namespace plumspoke::dispatch;

namespace
{

const time_point start{seconds(100)};
constexpr std::int64_t pool_milli = 4'900'000;

/// @brief Observes jobs of 2 to 10 tasks of 3 to 20 cores that arrive at random and run for a second.
/// @return after a warm-up, the share of the time in which they needed no more than the headroom
double share_of_time_sufficient(short_task_demand& demand, double jobs_per_second)
{
    struct burst
    {
        time_point until{};
        task_demand demand;
    };
    std::mt19937_64 random(1);
    std::vector<burst> running;
    constexpr int observations = 1200;
    constexpr int warm_up = 200;
    int sufficient = 0;
    for (int i = 0; i < observations; ++i)
    {
        const time_point now = start + i * milliseconds(100);
        std::erase_if(running,
                      [now](const burst& entry)
                      {
                          return entry.until <= now;
                      });
        for (int arriving = std::poisson_distribution<int>(jobs_per_second / 10)(random); arriving > 0;
             --arriving)
        {
            const auto cpu = std::uniform_int_distribution<std::int64_t>(3000, 20'000)(random);
            const auto tasks = std::uniform_int_distribution<std::uint32_t>(2, 10)(random);
            running.push_back({now + seconds(1), {cpu, tasks}});
        }
        std::vector<task_demand> demands;
        std::int64_t needed = 0;
        for (const burst& entry : running)
        {
            demands.push_back(entry.demand);
            needed += entry.demand.cpu_milli * entry.demand.tasks;
        }
        sufficient += i >= warm_up && needed <= demand.target_milli(pool_milli) ? 1 : 0;
        demand.observe(now, demands);
    }
    return static_cast<double>(sufficient) / (observations - warm_up);
}

} // namespace

TEST_CASE("no headroom is kept if no short task has been observed")
{
    short_task_demand demand;
    CHECK(demand.target_milli(pool_milli) == 0);
    CHECK(demand.usable_milli(1) == 1);
    demand.observe(start, {});
    CHECK(demand.target_milli(pool_milli) == 0);
}

TEST_CASE("the headroom suffices nearly all of the time at any rate of jobs, and is not much larger")
{
    for (const double rate : {2.0, 5.0, 14.0})
    {
        short_task_demand demand;
        CHECK(share_of_time_sufficient(demand, rate) > 0.9);
        const double mean_milli = rate * 6 * 11'500;
        CHECK(static_cast<double>(demand.target_milli(pool_milli)) < 3 * mean_milli);
        CHECK(demand.slot_milli() >= 15'000); // nine of ten sizes fit
        CHECK(demand.slot_milli() <= 25'000);
    }
}

TEST_CASE("free processors count as headroom only where a task fits, up to a share of the pool")
{
    short_task_demand demand;
    const std::vector<task_demand> large = {{11'000, 9}};
    for (int i = 0; i < 100; ++i)
    {
        demand.observe(start + i * milliseconds(100), large);
    }
    CHECK(demand.usable_milli(5000) == 0); // too little for one task
    CHECK(demand.usable_milli(30'000) == 30'000);
    CHECK(demand.usable_milli(-1) == 0);
    CHECK(demand.target_milli(pool_milli) >= 99'000);
    CHECK(demand.target_milli(100'000) < 40'000);
}

TEST_CASE("past demand of short tasks decays")
{
    short_task_demand demand;
    const std::vector<task_demand> many = {{10'000, 50}};
    for (int i = 0; i < 50; ++i)
    {
        demand.observe(start + i * milliseconds(100), many);
    }
    REQUIRE(demand.target_milli(pool_milli) >= 450'000);
    for (int i = 0; i < 1200; ++i)
    {
        demand.observe(start + seconds(5) + i * milliseconds(100), {});
    }
    CHECK(demand.target_milli(pool_milli) < 50'000);
}
