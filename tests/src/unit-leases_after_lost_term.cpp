/// @file
/// @brief A lost term doesn't prolong the wait for workers to which its leader sent no lease.
///
/// Guards against lasting tasks that stand still because the first leader after an outage lost its term: the
/// next one waited for leases that the first one might have sent to workers that it never reached.

#include "dispatcher_fixture.hpp"

#include <algorithm>

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
        announce_named("w1");
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

    /// @brief Announces a worker that tells its time of birth, as current releases do.
    void announce_named(const std::string& id, std::int64_t born_ms = 1)
    {
        fleet::announcement worker;
        worker.life = {id, born_ms};
        worker.service = "pool";
        worker.address = "address-" + id;
        worker.room = {16'000, 64'000, 0};
        leader.announced(now, worker);
    }

    /// @brief Lets the leader decide while w1 is silent, until the task is started on w2.
    /// @return whether it was
    bool run(duration span)
    {
        const time_point until = now + span;
        while (now < until)
        {
            announce_named("w2");
            decide(milliseconds(50));
            answer_polls({}, "w1");
            const bool records = std::any_of(rounds.begin(),
                                             rounds.end(),
                                             [](const planned_round& one)
                                             {
                                                 return one.command.unrenewed.has_value();
                                             });
            recorded_at = records ? now : recorded_at;
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

    void lead(std::uint64_t term, time_point earlier_lease_end, std::uint64_t last_term)
    {
        rounds.clear();
        open_polls.clear();
        leader.lead(now, term, state, {earlier_lease_end, last_term, recorded_at});
    }

    time_point outage_ended_at;
    time_point recorded_at{}; // of workers that the leader hasn't renewed
};

} // namespace

TEST_CASE("a lasting task whose worker is gone starts elsewhere in time although a term was lost")
{
    lost_term_fixture f;
    f.lead(8, f.outage_ended_at + milliseconds(600), 7);
    CHECK_FALSE(f.run(milliseconds(2000)));
    const time_point lost_at = f.now;
    f.now += election;
    f.lead(9, lost_at, 8);
    CHECK(f.run(seconds(10)));
    CHECK(std::chrono::duration_cast<duration>(f.now - f.outage_ended_at) <= recovery_limit);
}

TEST_CASE("a record of a leader before the last one doesn't shorten the wait")
{
    lost_term_fixture f;
    f.lead(8, f.outage_ended_at + milliseconds(600), 7);
    CHECK_FALSE(f.run(milliseconds(2000)));
    f.now += election;
    const time_point lost_at = f.now; // by the leader of term 9, which recorded nothing
    f.now += election;
    f.lead(10, lost_at, 9);
    CHECK(f.run(seconds(10)));
    CHECK(f.now - lost_at >= milliseconds(4000)); // a whole lease
}

TEST_CASE("a worker that is recorded as not renewed gets no lease until the record is replaced")
{
    lost_term_fixture f;
    f.lead(8, f.outage_ended_at + milliseconds(600), 7);
    CHECK_FALSE(f.run(milliseconds(1000)));
    REQUIRE(f.state.unrenewed().workers.size() == 1);
    CHECK(f.state.unrenewed().workers[0].life.id == "w1");
    while (f.open_polls.empty())
    {
        f.decide(milliseconds(50));
    }
    f.answer_polls({{f.leader.runs().begin()->first, "", 50, 0}}); // w1, too
    for (int i = 0; i < 20; ++i)
    {
        f.decide(milliseconds(25));
        for (const poll_order& one : f.open_polls)
        {
            CHECK((one.to.worker.id != "w1" || !one.lease_until_ms.has_value()));
        }
    }
    f.commit();
    CHECK(f.state.unrenewed().workers.empty());
    f.decide(milliseconds(25));
    CHECK(std::any_of(f.open_polls.begin(),
                      f.open_polls.end(),
                      [](const poll_order& one)
                      {
                          return one.to.worker.id == "w1" && one.lease_until_ms.has_value();
                      }));
}

TEST_CASE("the next life under the id of a worker that is recorded as not renewed gets no lease either")
{
    lost_term_fixture f;
    f.lead(8, f.outage_ended_at + milliseconds(600), 7);
    CHECK_FALSE(f.run(milliseconds(1000)));
    REQUIRE(f.state.unrenewed().workers.size() == 1);
    f.announce_named("w1", 2);
    f.decide(milliseconds(25));
    for (const poll_order& one : std::exchange(f.open_polls, {}))
    {
        const bool answers = one.to.worker.id != "w1" || one.to.worker.born_ms == 2;
        f.answer(one, {answers ? reply::done : reply::none, {}, {}, {}});
    }
    for (int i = 0; i < 20; ++i)
    {
        f.decide(milliseconds(25));
        CHECK(std::none_of(f.open_polls.begin(),
                           f.open_polls.end(),
                           [](const poll_order& one)
                           {
                               return one.to.worker.id == "w1" && one.lease_until_ms.has_value();
                           }));
    }
}

TEST_CASE("a lease that a leader before the lost term may have sent is waited for, and no longer")
{
    constexpr auto longest_lease = milliseconds(4332); // 4 s on the slowest clock, and the margin
    lost_term_fixture f;
    const time_point leases_ended_at = f.now;
    f.lead(8, leases_ended_at, 7);
    CHECK_FALSE(f.run(milliseconds(1000)));
    const time_point lost_at = f.now;
    f.now += milliseconds(200);
    f.lead(9, lost_at, 8);
    CHECK(f.run(seconds(10)));
    CHECK(f.now - leases_ended_at >= longest_lease);
    CHECK(f.now - leases_ended_at <= longest_lease + milliseconds(500));
}
