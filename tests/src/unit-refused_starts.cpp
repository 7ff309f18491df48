/// @file
/// @brief A task whose starts its best worker doesn't carry out starts on another one.
///
/// Guards against tasks that stand still beside free workers: each retry of a start chose the same worker
/// again, for as long as that worker rejected starts or left them without an answer.

#include "dispatcher_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

namespace
{

/// @brief A pool in which some workers carry out no start; all answer polls and stops.
struct refusing_fixture : fixture
{
    explicit refusing_fixture(std::size_t refusing_workers) : refusing(refusing_workers)
    {
        announce_all();
        decide();
        answer_polls();
    }

    void announce_all()
    {
        for (std::size_t i = 1; i <= refusing + 1; ++i)
        {
            announce("w" + std::to_string(i));
        }
    }

    [[nodiscard]] bool refuses(const recipient& to) const
    {
        return to.worker.id != "w" + std::to_string(refusing + 1);
    }

    /// @brief Advances the time until a start has been carried out.
    /// @return how long that took, or `longest`
    duration advance_until_started(reply refusal, duration longest)
    {
        duration passed{};
        std::vector<std::pair<duration, order>> timeouts; // starts without an answer, by their deadline
        while (passed < longest)
        {
            passed += milliseconds(50);
            announce_all();
            decide(milliseconds(50));
            answer_polls();
            for (const order& one : std::vector<order>(orders))
            {
                const auto* start = std::get_if<start_order>(&one);
                if (start == nullptr)
                {
                    answer(one, {reply::done, {}, {}, {}});
                    continue;
                }
                if (!refuses(start->to))
                {
                    return passed;
                }
                if (refusal == reply::none)
                {
                    timeouts.emplace_back(passed + milliseconds(700), one);
                    continue;
                }
                answer(one, {refusal, {}, {}, {}});
            }
            std::erase_if(timeouts,
                          [&](const auto& entry)
                          {
                              const bool over = entry.first <= passed;
                              if (over)
                              {
                                  answer(entry.second, {});
                              }
                              return over;
                          });
            commit();
        }
        return longest;
    }

    std::size_t refusing;
};

} // namespace

TEST_CASE("a task whose starts have no effect on the best workers runs on another worker")
{
    // `done`: accepted, but never listed
    const reply refusal = GENERATE(reply::no_room,
                                   reply::unhealthy,
                                   reply::superseded,
                                   reply::malformed,
                                   reply::no_ticket,
                                   reply::expired,
                                   reply::fenced,
                                   reply::none,
                                   reply::done);
    const std::size_t refusing = GENERATE(std::size_t{1}, std::size_t{2}, std::size_t{3});
    const bool lasting = GENERATE(false, true);
    refusing_fixture f(refusing);
    jobs::step_spec step;
    step.lasting = lasting;
    f.submit(step);
    const duration limit = seconds(3) * static_cast<std::int64_t>(refusing);
    const duration took = f.advance_until_started(refusal, 2 * limit);
    INFO(std::chrono::duration_cast<milliseconds>(took).count()
         << " ms, " << refusing << " refusing workers, " << to_string(refusal));
    CHECK(took < limit);
}

TEST_CASE("a gang whose members have no effect on the best workers runs on other workers")
{
    const reply refusal = GENERATE(reply::no_room, reply::expired, reply::none);
    refusing_fixture f(1);
    jobs::step_spec step;
    step.task_count = 3;
    step.gang = true;
    f.submit(step);
    const duration took = f.advance_until_started(refusal, seconds(6));
    INFO(std::chrono::duration_cast<milliseconds>(took).count() << " ms, " << to_string(refusal));
    CHECK(took < seconds(3));
}

TEST_CASE("a lasting task that fails at once on the best worker runs on another worker")
{
    refusing_fixture f(1);
    jobs::step_spec step;
    step.lasting = true;
    f.submit(step);
    std::uint64_t ends = 0;
    bool started_elsewhere = false;
    for (int i = 0; i < 100 && !started_elsewhere; ++i)
    {
        f.announce_all();
        f.decide(milliseconds(50));
        std::vector<finished_row> finished;
        for (const start_order& one : f.sent<start_order>())
        {
            started_elsewhere = started_elsewhere || !f.refuses(one.to);
            finished.push_back({++ends, one.name, jobs::run_end::failed, {}});
            f.answer(one, {reply::done, {}, {}, {}});
        }
        for (const poll_order& one : std::exchange(f.open_polls, {}))
        {
            f.answer(one, {reply::done, {}, {}, finished});
        }
        f.commit();
    }
    CHECK(started_elsewhere);
}
