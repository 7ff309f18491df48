/// @file
/// @brief A leader of thousands of workers: what its decisions cost where nearly all is full, and what taking
/// over
///        asks of it at once.
///
/// Symptom: with 1,800 workers and no fault of a control VM eight terms ended for want of a renewed lease,
/// most of them after a second; between them runs lapsed by the thousand, since nobody had contacted their
/// workers. Sequence: lasting tasks fill the fleet to nine tenths, and hundreds of steps wait. A decision
/// asks every worker for each of them, 25 ms of a processor; with 0.6 of one it comes 100 ms late. The leader
/// falls, and the next one begins with a poll to each of 1,800 workers, over new connections, in one
/// decision. Cause: cost by workers times steps, and a take-over in one piece. Settled by: the leader's own
/// log (47 ms a placement, eight decisions a second, up to 113 ms late) and the bench of this load: 57.5 us
/// of processor time a start before, 29.9 after; 99 of 100 decisions within 17.3 and 9.2 ms.

#include "busy_fleet.hpp"
#include "dispatcher_fixture.hpp"
#include "plumspoke/dispatch/worker_index.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

TEST_CASE("a start costs the leader of a large full fleet about as much as that of a small one")
{
    const auto play = [](std::size_t workers)
    {
        test::busy_load load = test::busy_load::of_wide_steps(workers);
        load.processor = 0.6;
        load.call_cost = std::chrono::microseconds(30);
        return test::busy_fleet(load).run(seconds(10));
    };
    const test::busy_outcome small = play(120);
    const test::busy_outcome large = play(1800);
    INFO(small.us_per_start() << " us a start with 120 workers, " << large.us_per_start()
                              << " us with 1800; 99 of 100 decisions within "
                              << 1000 * large.decision_quantile_s(0.99) << " ms");
    CHECK(large.us_per_start() < 2.2 * small.us_per_start()); // 3.1 where each step asks all workers
    CHECK(large.lapsed == 0);
    CHECK(large.longest_wait < milliseconds(400)); // of an answer: a renewal has to be there within 3 s
}

TEST_CASE("a new leader asks its workers in portions, those first that run something")
{
    constexpr int workers = 1800;
    constexpr int with_runs = 400; // the last by name
    fixture f;
    const auto name = [](int i)
    {
        return "w" + std::to_string(10'000 + i);
    };
    jobs::step_spec step;
    step.task_count = with_runs;
    step.lasting = true;
    f.submit(step);
    jobs::round recorded;
    for (int i = 0; i < with_runs; ++i)
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
        CHECK(one.to.worker.id >= name(workers - with_runs));
    }
    for (int i = 0; i < 7; ++i)
    {
        f.decide();
    }
    CHECK(f.open_polls.size() == workers);
}

TEST_CASE("an index asks for each kind once, and gives the best first")
{
    worker_view one(0.98);
    worker_view other(0.98);
    worker_view equal(0.98);
    worker_index index;
    int asked = 0;
    const auto ask = [&]
    {
        ++asked;
        return std::vector<indexed_worker>{{&one, 1, 100}, {&other, 3, 100}, {&equal, 1, 100}};
    };
    worker_ranking& found = index.find({task_kind::filler, 2}, ask);
    CHECK(found.at(0)->on == &other);
    CHECK(found.at(1)->on == &one); // of equal ones the first that was named
    CHECK(found.at(2)->on == &equal);
    CHECK(found.at(3) == nullptr);
    CHECK(found.at(0)->on == &other);
    (void)index.find({task_kind::filler, 2}, ask);
    CHECK(asked == 1);
    (void)index.find({task_kind::filler, 3}, ask);
    (void)index.find({task_kind::starving_filler, 2}, ask);
    CHECK(asked == 3);
    index.clear();
    (void)index.find({task_kind::filler, 2}, ask);
    CHECK(asked == 4);
}

TEST_CASE("a ranking of fillers gives the order of a whole sort, and judges no more than it has to")
{
    constexpr std::size_t workers = 400;
    constexpr std::size_t wanted = 40;
    std::mt19937 random(7);
    std::uniform_int_distribution<int> between(0, 99);
    std::vector<worker_row> rows(workers);
    std::vector<filler_row> by_room;
    std::vector<indexed_worker> sorted;
    const auto judge = [](const worker_row& of) -> std::optional<indexed_worker>
    {
        if (of.serving_runs == 1)
        {
            return std::nullopt; // it would harm there
        }
        return indexed_worker{nullptr, static_cast<double>(of.filler_left) - of.handicap, of.filler_left};
    };
    for (worker_row& of : rows)
    {
        of.filler_left = 1000 * (between(random) / 10); // many are equal
        of.handicap = between(random) < 50 ? 0 : 100 * between(random);
        of.serving_runs = between(random) < 20 ? 1 : 0;
        const auto place = static_cast<std::uint32_t>(by_room.size());
        by_room.push_back({&of, of.filler_left, place});
        if (std::optional<indexed_worker> one = judge(of); one.has_value())
        {
            one->place = place;
            sorted.push_back(*one);
        }
    }
    std::stable_sort(sorted.begin(),
                     sorted.end(),
                     [](const indexed_worker& left, const indexed_worker& right)
                     {
                         return left.points > right.points;
                     });
    std::sort(by_room.begin(),
              by_room.end(),
              [](const filler_row& left, const filler_row& right)
              {
                  return left.room_milli > right.room_milli;
              });
    filler_ranking ranking;
    std::size_t judged = 0;
    const auto at = [&](std::size_t place)
    {
        return ranking.at(place,
                          by_room,
                          [&](const worker_row& of)
                          {
                              ++judged;
                              return judge(of);
                          });
    };
    for (std::size_t place = 0; place < wanted; ++place)
    {
        REQUIRE(at(place) != nullptr);
        CHECK(at(place)->place == sorted[place].place);
    }
    CHECK(judged < workers / 2);
    for (std::size_t place = wanted; place < sorted.size(); ++place)
    {
        REQUIRE(at(place) != nullptr);
        CHECK(at(place)->place == sorted[place].place);
    }
    CHECK(at(sorted.size()) == nullptr);
    CHECK(judged == workers);
}
