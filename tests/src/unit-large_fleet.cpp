/// @file
/// @brief A leader of thousands of workers: the cost of decisions on a nearly full fleet, and of taking over.
///
/// Guards against a leader that loses its lease under load: with 1,800 workers and no fault of a control VM
/// eight terms ended without a renewed lease, most after one second, and thousands of runs lapsed in between
/// because nobody contacted their workers. Lasting tasks fill nine tenths of the fleet and hundreds of steps
/// wait. A decision that evaluates every worker for each step takes 25 ms of processor time; on 0.6 of a
/// processor it is 100 ms late. The next leader then began with a poll to each of 1,800 workers, over new
/// connections, in one decision. So cost grew with workers times steps, and the takeover was one burst.
/// The leader's log showed 47 ms per placement and eight decisions per second, up to 113 ms late. Under this
/// load a start took 57.5 us of processor time before the fix and 29.9 us after; the 99th percentile of
/// decision times was 17.3 ms and 9.2 ms.

#include "busy_fleet.hpp"
#include "dispatcher_fixture.hpp"
#include "plumspoke/dispatch/worker_index.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

TEST_CASE("the leader's cost per start is about the same for a large full fleet as for a small one")
{
    const auto run_fleet = [](std::size_t workers)
    {
        test::busy_load load = test::busy_load::of_wide_steps(workers);
        load.processor = 0.6;
        load.call_cost = std::chrono::microseconds(30);
        return test::busy_fleet(load).run(seconds(10));
    };
    const test::busy_outcome small = run_fleet(120);
    const test::busy_outcome large = run_fleet(1800);
    INFO(small.us_per_start() << " us a start with 120 workers, " << large.us_per_start()
                              << " us with 1800; 99th percentile of decision times "
                              << 1000 * large.decision_quantile_s(0.99) << " ms");
    CHECK(large.us_per_start() < 2.2 * small.us_per_start()); // 3.1 if each step evaluates all workers
    CHECK(large.lapsed == 0);
    CHECK(large.longest_wait < milliseconds(400)); // of a response; a renewal must arrive within 3 s
}

TEST_CASE("a new leader polls its workers in batches, those with runs first")
{
    constexpr int workers = 1800;
    constexpr int workers_with_runs = 400; // the last ones by name
    fixture f;
    const auto name = [](int i)
    {
        return "w" + std::to_string(10'000 + i);
    };
    jobs::step_spec step;
    step.task_count = workers_with_runs;
    step.lasting = true;
    f.submit(step);
    jobs::round recorded;
    for (int i = 0; i < workers_with_runs; ++i)
    {
        const std::string worker = name(workers - 1 - i);
        recorded.starts.push_back(
            {{{"job", 0, 0, static_cast<std::uint32_t>(i)}, 1}, {worker}, "address-" + worker});
    }
    (void)f.state.apply(recorded);
    f.leader.lead(f.now, 8, f.state);
    for (int i = 0; i < workers; ++i)
    {
        f.announce(name(i));
    }
    f.decide();
    CHECK(f.open_polls.size() == 256);
    for (const poll_order& one : f.open_polls)
    {
        CHECK(one.to.worker.id >= name(workers - workers_with_runs));
    }
    for (int i = 0; i < 7; ++i)
    {
        f.decide();
    }
    CHECK(f.open_polls.size() == workers);
}

TEST_CASE("an index evaluates each kind once and returns the best worker first")
{
    worker_view one(0.98);
    worker_view other(0.98);
    worker_view equal(0.98);
    worker_index index;
    int list_calls = 0;
    const auto list_workers = [&]
    {
        ++list_calls;
        return std::vector<indexed_worker>{{&one, 1, 100}, {&other, 3, 100}, {&equal, 1, 100}};
    };
    worker_ranking& found = index.find({task_kind::filler, 2}, list_workers);
    CHECK(found.at(0)->worker == &other);
    CHECK(found.at(1)->worker == &one); // ties keep the order of insertion
    CHECK(found.at(2)->worker == &equal);
    CHECK(found.at(3) == nullptr);
    CHECK(found.at(0)->worker == &other);
    (void)index.find({task_kind::filler, 2}, list_workers);
    CHECK(list_calls == 1);
    (void)index.find({task_kind::filler, 3}, list_workers);
    (void)index.find({task_kind::starving_filler, 2}, list_workers);
    CHECK(list_calls == 3);
    index.clear();
    (void)index.find({task_kind::filler, 2}, list_workers);
    CHECK(list_calls == 4);
}

TEST_CASE("a filler ranking matches a full sort and evaluates no more workers than necessary")
{
    constexpr std::size_t workers = 400;
    constexpr std::size_t wanted = 40;
    std::mt19937 random(7);
    std::uniform_int_distribution<int> between(0, 99);
    std::vector<worker_row> rows(workers);
    std::vector<filler_row> by_free_capacity;
    std::vector<indexed_worker> sorted;
    const auto evaluate = [](const worker_row& of) -> std::optional<indexed_worker>
    {
        if (of.serving_runs == 1)
        {
            return std::nullopt; // a filler would slow down the run that serves there
        }
        return indexed_worker{
            nullptr, static_cast<double>(of.filler_free_milli) - of.penalty, of.filler_free_milli};
    };
    for (worker_row& of : rows)
    {
        of.filler_free_milli = 1000 * (between(random) / 10); // produces many ties
        of.penalty = between(random) < 50 ? 0 : 100 * between(random);
        of.serving_runs = between(random) < 20 ? 1 : 0;
        const auto place = static_cast<std::uint32_t>(by_free_capacity.size());
        by_free_capacity.push_back({&of, of.filler_free_milli, place});
        if (std::optional<indexed_worker> one = evaluate(of); one.has_value())
        {
            one->position = place;
            sorted.push_back(*one);
        }
    }
    std::stable_sort(sorted.begin(),
                     sorted.end(),
                     [](const indexed_worker& left, const indexed_worker& right)
                     {
                         return left.score > right.score;
                     });
    std::sort(by_free_capacity.begin(),
              by_free_capacity.end(),
              [](const filler_row& left, const filler_row& right)
              {
                  return left.free_milli > right.free_milli;
              });
    filler_ranking ranking;
    std::size_t evaluated = 0;
    const auto at = [&](std::size_t place)
    {
        return ranking.at(place,
                          by_free_capacity,
                          [&](const worker_row& of)
                          {
                              ++evaluated;
                              return evaluate(of);
                          });
    };
    for (std::size_t place = 0; place < wanted; ++place)
    {
        REQUIRE(at(place) != nullptr);
        CHECK(at(place)->position == sorted[place].position);
    }
    CHECK(evaluated < workers / 2);
    for (std::size_t place = wanted; place < sorted.size(); ++place)
    {
        REQUIRE(at(place) != nullptr);
        CHECK(at(place)->position == sorted[place].position);
    }
    CHECK(at(sorted.size()) == nullptr);
    CHECK(evaluated == workers);
}
