/// @file
/// @brief A leader elected after an outage doesn't wait for leases that had lapsed before its term.
///
/// Guards against lasting tasks that stand still because their workers are gone: their runs had ended during
/// the outage, but the leader waited a whole lease from the start of its own term.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

constexpr auto longest_lease = milliseconds(4332); // 4 s on the slowest clock, and the margin
constexpr auto start_limit = milliseconds(3000);   // from the start of the term

/// @brief A lasting task runs on w1, which is gone when the next leader is elected; w2 has room for it.
struct outage_fixture : fixture
{
    outage_fixture()
    {
        announce("w1");
        decide();
        answer_polls();
        jobs::step_spec step;
        step.lasting = true;
        submit(step);
        decide();
        commit();
        decide();
        answer(sent<start_order>().at(0), {reply::done, {}, {}, {}});
        now += seconds(10);
    }

    /// @brief Begins a term.
    /// @return the time until a run of the task on w2 is ordered
    duration time_to_start(time_point earlier_lease_end)
    {
        rounds.clear();
        open_polls.clear();
        leader.lead(now, 8, state, {earlier_lease_end});
        announce("w2");
        const time_point led_at = now;
        while (now < led_at + seconds(10))
        {
            decide(milliseconds(50));
            answer_polls({}, "w1");
            commit();
            for (const start_order& one : sent<start_order>())
            {
                if (one.to.worker.id == "w2")
                {
                    return std::chrono::duration_cast<duration>(now - led_at);
                }
            }
        }
        return duration::max();
    }
};

} // namespace

TEST_CASE("a lasting task whose worker is gone starts elsewhere soon after an outage")
{
    outage_fixture f;
    CHECK(f.time_to_start(f.now - longest_lease) <= start_limit);
}

TEST_CASE("a lease that an earlier leader may have sent is waited for")
{
    outage_fixture f;
    SECTION("if nothing is known of its end")
    {
        CHECK(f.time_to_start(time_point::max()) >= longest_lease);
    }
    SECTION("if it was sent shortly before the term")
    {
        CHECK(f.time_to_start(f.now - milliseconds(500)) >= longest_lease - milliseconds(500));
    }
}

TEST_CASE("a worker whose lease has lapsed has time to tell how its runs ended")
{
    outage_fixture f;
    const jobs::run_name run = f.leader.runs().begin()->first;
    f.leader.lead(f.now, 8, f.state, {f.now - seconds(10)});
    f.open_polls.clear();
    f.decide();
    REQUIRE_FALSE(f.open_polls.empty());
    for (int i = 0; i < 20; ++i)
    {
        f.decide(milliseconds(100));
    }
    REQUIRE(f.leader.runs().contains(run));
    CHECK(f.leader.runs().at(run).stage == run_stage::inherited);
}
