/// @file
/// @brief A lost term doesn't prolong the wait for workers to which its leader sent no lease.
///
/// Guards against lasting tasks that stand still because the first leader after an outage lost its term: the
/// next one waited for leases that the first one might have sent to workers that it never reached.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

constexpr auto recovery_limit = milliseconds(7000); // from the end of the outage to the start elsewhere
constexpr auto election = milliseconds(1200);       // from the end of the outage, or of a term

/// @brief A lasting task runs on w1, which is gone when the first leader after an outage begins; w2 has room
///        for it.
struct lost_term_fixture : fixture
{
    lost_term_fixture()
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
        outage_ended_at = now;
        now += election;
    }

    /// @brief Lets the leader decide while w1 is silent, until the task is started on w2.
    /// @return whether it was
    bool run(duration span)
    {
        const time_point until = now + span;
        while (now < until)
        {
            announce("w2");
            decide(milliseconds(50));
            answer_polls({}, "w1");
            commit();
            for (const start_order& one : sent<start_order>())
            {
                if (one.to.worker.id == "w2")
                {
                    return true;
                }
            }
        }
        return false;
    }

    void lead(std::uint64_t term, time_point earlier_lease_end)
    {
        rounds.clear();
        open_polls.clear();
        leader.lead(now, term, state, earlier_lease_end);
    }

    time_point outage_ended_at;
};

} // namespace

TEST_CASE("a lasting task whose worker is gone starts elsewhere in time although a term was lost")
{
    lost_term_fixture f;
    f.lead(8, f.outage_ended_at + milliseconds(600));
    CHECK_FALSE(f.run(milliseconds(2000)));
    const time_point lost_at = f.now;
    f.now += election;
    f.lead(9, lost_at);
    CHECK(f.run(seconds(10)));
    CHECK(std::chrono::duration_cast<duration>(f.now - f.outage_ended_at) <= recovery_limit);
}
