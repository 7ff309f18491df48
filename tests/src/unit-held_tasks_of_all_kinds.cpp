/// @file
/// @brief No job stands still beside free room, whatever kind of work it is and whatever happened before.
///
/// Guards against accepted tasks that could run and don't: fillers beside serving tasks near and over their
/// targets, gangs, lasting tasks, tasks with labels and limits, after series of disruptions.

#include "task_world.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

namespace
{

using test::disruption;

constexpr std::uint64_t seeds = 40;
// Waits of each kind on average in a simulation, in ticks, that the check has looked at.
constexpr std::size_t least_waits = 2;

struct armed_counts
{
    std::array<std::size_t, test::wait_kind_count> waits{};
    std::size_t harm = 0;

    void add(const test::task_outcome& out)
    {
        for (std::size_t kind = 0; kind < waits.size(); ++kind)
        {
            waits.at(kind) += out.waits_armed.at(kind);
        }
        harm += out.harm_armed;
    }

    void check_often_armed() const
    {
        for (std::size_t kind = 0; kind < waits.size(); ++kind)
        {
            CAPTURE(test::to_string(static_cast<test::wait_kind>(kind)));
            CHECK(waits.at(kind) >= least_waits * seeds);
        }
        CHECK(harm >= 100 * seeds);
    }
};

void check_seeds(std::uint64_t first,
                 const test::task_faults& faults,
                 const test::disruption_series& series,
                 test::running_means means)
{
    armed_counts armed;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        test::task_world world(seed, faults);
        world.mix_workers();
        world.report_held_jobs(means);
        world.submit_all_kinds(80, seconds(75));
        if (!series.kinds.empty())
        {
            world.disrupt(series);
        }
        const test::task_outcome out = world.run(seconds(100), 9);
        CAPTURE(seed, out.broken);
        CHECK(out.broken.empty());
        armed.add(out);
    }
    armed.check_often_armed();
}

test::task_faults few_failures()
{
    test::task_faults faults;
    faults.failures = 0.01;
    faults.same_id = 0.5;
    return faults;
}

} // namespace

TEST_CASE("no job of any kind stands still beside free room without disruptions")
{
    check_seeds(100, few_failures(), {}, test::running_means::listed);
}

TEST_CASE("no job of any kind makes no progress beside free room without disruptions")
{
    check_seeds(200, few_failures(), {}, test::running_means::makes_progress);
}

TEST_CASE("no job of any kind stands still beside free room after series of disruptions")
{
    test::task_faults faults = few_failures();
    test::disruption_series series;
    SECTION("crashes, cuts, leaving workers, shrinking room and changes of the leader")
    {
        faults.unanswered_goodbyes = 0.3;
        faults.one_way_cuts = 0.5;
        series.kinds = {disruption::crash,
                        disruption::brief_life,
                        disruption::cut,
                        disruption::drain,
                        disruption::shrinking,
                        disruption::leader_change,
                        disruption::lost_answers};
        check_seeds(300, faults, series, test::running_means::listed);
    }
    SECTION("losses of power of everything and steps of the time of day")
    {
        series.kinds = {disruption::loss_of_power, disruption::clock_step, disruption::leader_change};
        series.most = 3;
        check_seeds(400, faults, series, test::running_means::listed);
    }
    SECTION("a slow leader, leaving workers and brief lives")
    {
        faults.unanswered_goodbyes = 0.7;
        faults.max_delay = milliseconds(400);
        series.kinds = {
            disruption::drain, disruption::lost_answers, disruption::leader_change, disruption::brief_life};
        check_seeds(600, faults, series, test::running_means::listed);
    }
    SECTION("late orders among all of them")
    {
        faults.unanswered_goodbyes = 0.3;
        faults.one_way_cuts = 0.5;
        faults.inherited_orders = 0.2;
        series.kinds = {disruption::late_orders,
                        disruption::crash,
                        disruption::brief_life,
                        disruption::cut,
                        disruption::drain,
                        disruption::loss_of_power,
                        disruption::clock_step,
                        disruption::leader_change};
        series.interval = seconds(30);
        check_seeds(500, faults, series, test::running_means::listed);
    }
}
