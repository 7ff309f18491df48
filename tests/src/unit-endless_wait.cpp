/// @file
/// @brief Whatever a run waits for has an end: a task can't be held back for ever.
///
/// Two tasks stood still for two minutes with room free, and no line told why: the leader took each for
/// running on a worker that listed its end again and again under a number that the leader had read before.
/// The fault behind it was another one; that a wait can last for ever is a fault of its own, whatever leads
/// to it.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

/// @brief A worker that answers all polls at once, and has begun what it was told to.
struct wait_fixture : fixture
{
    wait_fixture()
    {
        announce("w1");
        decide();
        answer_polls();
    }

    /// @brief Lets seconds pass; polls list no run but these.
    void pass(duration time, const std::vector<finished_row>& ends, reply to_starts, reply to_stops)
    {
        for (duration passed{}; passed < time; passed += milliseconds(100))
        {
            announce("w1");
            decide(milliseconds(100));
            for (const poll_order& one : std::exchange(open_polls, {}))
            {
                worker_answer got;
                got.how = reply::done;
                got.finished = ends;
                answer(one, got);
            }
            for (const order& one : std::vector<order>(orders))
            {
                const bool stop = std::holds_alternative<stop_order>(one);
                answer(one, {stop ? to_stops : to_starts, {}, {}, {}});
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

TEST_CASE("an end is news as long as its run is followed, whatever its number")
{
    wait_fixture f;
    f.submit({}, "before");
    f.decide();
    f.commit();
    f.decide();
    const std::vector<finished_row> before = {{7, {{"before", 0, 0, 0}, 1}, jobs::run_end::done, {}}};
    f.answer(f.orders.at(0), {reply::done, {}, {}, {}});
    f.pass(seconds(1), before, reply::done, reply::done);
    REQUIRE(f.state.find("before")->phase == jobs::job_phase::completed);
    f.submit({}, "job");
    f.pass(seconds(3), {{2, {{"job", 0, 0, 0}, 1}, jobs::run_end::done, {}}}, reply::done, reply::done);
    CHECK(f.state.find("job")->phase == jobs::job_phase::completed);
}

TEST_CASE("a start that its worker calls late each time is given up there")
{
    wait_fixture f;
    f.submit({}, "job");
    f.pass(seconds(5), {}, reply::expired, reply::done);
    CHECK(f.task().last_attempt >= 2);
}

TEST_CASE("a run on record that the leader doesn't follow is taken over")
{
    wait_fixture f;
    f.submit({}, "job");
    jobs::round unseen; // recorded after the leader had read the state
    unseen.starts.push_back({{{"job", 0, 0, 0}, 1}, {"w1"}, "address-w1"});
    REQUIRE(f.state.apply(unseen).starts_accepted.at(0));
    f.pass(seconds(8), {}, reply::done, reply::done);
    CHECK(f.task().last_attempt >= 2);
}
