/// @file
/// @brief Fillers that must start don't keep a serving task over its target.
///
/// Guards against fillers that go on beside a serving task whose own load no longer explains its tail.

#include "colocation_fixture.hpp"

#include <cmath>
#include <random>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// @brief Between `low_ms` and `high_ms`, with a period.
colocation_fixture::own_load swinging(double low_ms, double high_ms, double period_s)
{
    return [=](duration at)
    {
        constexpr double two_pi = 6.283185307179586;
        const double share = (1 + std::sin(two_pi * seconds_of(at) / period_s)) / 2;
        return low_ms + (high_ms - low_ms) * share;
    };
}

struct scenario
{
    int workers;
    int fillers;
    double effect_ms;
};

void check_no_harm(const scenario& of,
                   const colocation_fixture::own_load& own,
                   double max_error = 0,
                   unsigned seed = 1)
{
    const auto [workers, fillers, effect_ms] = of;
    CAPTURE(workers, fillers, effect_ms);
    colocation_fixture fleet(workers, own, effect_ms);
    fleet.set_report_error(
        [max_error, random = std::minstd_rand(seed)]() mutable
        {
            return std::uniform_real_distribution<double>(1 - max_error, 1 + max_error)(random);
        });
    fleet.submit_fillers(fillers);
    fleet.advance(seconds(90));
    CHECK(fleet.longest_harm() < colocation_fixture::harm_limit);
    CHECK(fleet.longest_first_wait() <= milliseconds(3200));
    CHECK(fleet.least_work_s() > 1);
}

const auto scenarios = {
    scenario{2, 2, 5}, scenario{2, 2, 15}, scenario{2, 4, 15}, scenario{4, 12, 15}, scenario{2, 2, 60}};

} // namespace

TEST_CASE("fillers are slowed when the own load beside them falls below the target")
{
    const scenario of = GENERATE(values(scenarios));
    const double falls_at_s = GENERATE(8.0, 8.4, 9.1, 9.7);
    CAPTURE(falls_at_s);
    check_no_harm(of,
                  [falls_at_s](duration at)
                  {
                      return seconds_of(at) < falls_at_s ? 60.0 : 44.0;
                  });
}

TEST_CASE("fillers don't keep a serving task over its target while its own load swings around it")
{
    const scenario of = GENERATE(values(scenarios));
    const double period_s = GENERATE(15.0, 17.0, 20.0);
    const double high_ms = GENERATE(55.0, 70.0);
    CAPTURE(period_s, high_ms);
    check_no_harm(of, swinging(35, high_ms, period_s));
}

TEST_CASE("fillers don't keep a serving task over its target when reports are noisy")
{
    const scenario of = GENERATE(values(scenarios));
    const double own_ms = GENERATE(30.0, 40.0, 45.0, 55.0);
    const double max_error = GENERATE(0.05, 0.1, 0.2);
    CAPTURE(own_ms, max_error);
    check_no_harm(
        of,
        [own_ms](duration)
        {
            return own_ms;
        },
        max_error);
}

TEST_CASE("fillers don't keep a serving task just over its target when reports are noisy")
{
    const scenario of = GENERATE(scenario{2, 2, 3.5}, scenario{2, 4, 2}, scenario{4, 8, 4});
    const unsigned seed = GENERATE(range(1U, 21U));
    constexpr double own_ms = 47;
    constexpr double max_error = 0.05;
    CAPTURE(seed);
    check_no_harm(
        of,
        [](duration)
        {
            return own_ms;
        },
        max_error,
        seed);
}
