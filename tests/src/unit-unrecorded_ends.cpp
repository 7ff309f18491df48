/// @file
/// @brief An end of a run whose record fails is recorded again, with its cause.
///
/// Guards against runs that count as running again although nothing runs: workers list only ends that they
/// have seen themselves, so an end that the leader has found would be found again only once a lease lapses,
/// if ever.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

struct record_fixture : fixture
{
    void fail_rounds()
    {
        for (const planned_round& one : std::exchange(rounds, {}))
        {
            leader.round_ended(now, one.id, std::nullopt);
        }
    }

    /// @brief Advances the time; "w2" answers all orders, the other workers none.
    void advance(duration time)
    {
        for (duration passed{}; passed < time; passed += milliseconds(100))
        {
            announce("w2");
            decide(milliseconds(100));
            answer_polls({}, "w1");
            for (const order& one : std::vector<order>(orders))
            {
                const recipient to = std::visit(
                    [](const auto& what)
                    {
                        return what.to;
                    },
                    one);
                answer(one, {to.worker.id == "w1" ? reply::none : reply::done, {}, {}, {}});
            }
            commit();
        }
    }

    [[nodiscard]] const jobs::task& task() const
    {
        return state.find("job")->occurrences.at(0).steps.at(0).tasks.at(0);
    }
};

} // namespace

TEST_CASE("a run that was never sent ends although the first record of its end fails")
{
    record_fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    f.submit({}, "job");
    f.decide();
    REQUIRE(f.starts_proposed() == 1);
    fleet::announcement goodbye;
    goodbye.life.id = "w1";
    goodbye.service = "pool";
    goodbye.address = "address-w1";
    goodbye.state = fleet::worker_state::gone;
    f.leader.announced(f.now, goodbye);
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().empty());
    f.decide();
    f.fail_rounds();
    f.advance(seconds(3));
    CHECK(f.task().last_attempt >= 2);
}

TEST_CASE("a crashed run's task is started again although the first record of the crash fails")
{
    record_fixture f;
    f.announce("w1");
    f.decide();
    f.answer_polls();
    f.submit({}, "job");
    f.decide();
    f.commit();
    f.decide();
    REQUIRE(f.sent<start_order>().size() == 1);
    f.answer(f.sent<start_order>().at(0), {reply::done, {}, {}, {}});
    f.decide();
    worker_answer other;
    other.how = reply::other_life;
    f.answer(f.open_polls.back(), other);
    f.open_polls.clear();
    f.decide();
    f.fail_rounds();
    f.advance(seconds(1));
    CHECK(f.task().last_attempt >= 2);
    CHECK(f.task().evidence.crashes == 1);
}
