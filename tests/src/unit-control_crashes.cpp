/// @file
/// @brief A job that takes its worker's process along is given up, and the jobs beside it are not.
///
/// A process that was replaced gave its jobs back to those that wait, and nothing counted it: only failures
/// that a worker reports counted against `max_attempts`. A job that ends its worker's process reports
/// nothing.

#include "control_fixture.hpp"
#include "plumspoke/worker/desk.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::control;
using plumspoke::control::control_test::fixture;
using plumspoke::control::control_test::start;

namespace
{

/// @brief Two workers whose processes can be replaced, and the desk that hears them.
struct crash_fixture : fixture
{
    crash_fixture()
    {
        desk.reset(now);
    }

    /// @brief The worker's process reports, and is granted what is recorded for it.
    void hear(const std::string& worker)
    {
        worker::report received;
        received.worker = worker;
        received.incarnation = std::to_string(incarnations[worker]);
        received.sequence = ++sequence;
        received.capacity = {8'000, 32'000, 0};
        std::error_code error;
        for (const command& one : desk.receive(now, state, received, error).commands)
        {
            (void)apply(one);
        }
        REQUIRE_FALSE(error);
    }

    void place_on(const std::string& worker, const std::string& job)
    {
        (void)apply(place_task{job, worker, std::to_string(incarnations[worker]), {1'000, 1'000, 0}, "test"});
    }

    /// @brief The jobs are granted, run for a while, and the process is replaced.
    void run_and_crash(const std::string& worker, const std::vector<std::string>& jobs, duration ran)
    {
        for (const std::string& one : jobs)
        {
            place_on(worker, one);
        }
        hear(worker);
        now += ran;
        hear(worker);
        now += seconds(2);
        ++incarnations[worker];
        hear(worker);
    }

    [[nodiscard]] job_phase phase_of(const std::string& job) const
    {
        return state.jobs.at(job).phase;
    }

    worker::desk desk{worker::desk_options{}};
    time_point now = start;
    std::map<std::string, int> incarnations{{"w1", 1}, {"w2", 1}};
    std::uint64_t sequence = 0;
};

} // namespace

TEST_CASE("a job that takes its worker's process along is given up")
{
    crash_fixture f;
    (void)f.submit("guilty");

    SECTION("after three processes, where it was alone or the only suspect")
    {
        f.run_and_crash("w1", {"guilty"}, milliseconds(500));
        f.run_and_crash("w2", {"guilty"}, milliseconds(500));
        CHECK(f.phase_of("guilty") == job_phase::pending);
        f.run_and_crash("w1", {"guilty"}, milliseconds(500));
        CHECK(f.phase_of("guilty") == job_phase::failed);
        CHECK(f.state.jobs.at("guilty").reason.find("crashed") != std::string::npos);
    }
    SECTION("after five that it shared with another suspect, since either may be at fault")
    {
        (void)f.submit("fellow");
        for (int i = 0; i < 4; ++i)
        {
            f.run_and_crash(i % 2 == 0 ? "w1" : "w2", {"guilty", "fellow"}, milliseconds(500));
        }
        CHECK(f.phase_of("guilty") == job_phase::pending);
        f.run_and_crash("w1", {"guilty"}, milliseconds(500));
        CHECK(f.phase_of("guilty") == job_phase::failed);
        CHECK(f.phase_of("fellow") == job_phase::pending);
    }
    SECTION("and one beside it is not blamed where it was blamed before")
    {
        f.run_and_crash("w1", {"guilty"}, milliseconds(500));
        (void)f.submit("fellow");
        f.run_and_crash("w2", {"guilty", "fellow"}, milliseconds(500));
        CHECK(f.state.jobs.at("fellow").evidence == jobs::crash_evidence{1, 0});
        CHECK(f.state.jobs.at("guilty").evidence == jobs::crash_evidence{2, 2});
    }
    SECTION("but not where it ran for long each time")
    {
        for (int i = 0; i < 8; ++i)
        {
            f.run_and_crash(i % 2 == 0 ? "w1" : "w2", {"guilty"}, seconds(70));
        }
        CHECK(f.phase_of("guilty") == job_phase::pending);
    }
}
