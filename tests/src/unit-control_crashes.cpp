/// @file
/// @brief A job that crashes its workers' processes fails, and jobs on the same workers don't.
///
/// Guards against placing such a job again indefinitely: a job that crashes its worker's process never
/// reports a failure, so `max_attempts` alone doesn't stop it. Crashes have to count against the job too.

#include "control_fixture.hpp"
#include "plumspoke/worker/lease_manager.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::control;
using plumspoke::control::control_test::fixture;
using plumspoke::control::control_test::start;

namespace
{

/// @brief Two workers whose processes can be replaced, and the handler of their reports.
struct crash_fixture : fixture
{
    crash_fixture()
    {
        lease_manager.reset(now);
    }

    /// @brief Sends a report of the worker's current process and applies the resulting commands.
    void send_report(const std::string& worker)
    {
        worker::report received;
        received.worker = worker;
        received.incarnation = std::to_string(incarnations[worker]);
        received.sequence = ++sequence;
        received.capacity = {8'000, 32'000, 0};
        std::error_code error;
        for (const command& next : lease_manager.receive(now, state, received, error).commands)
        {
            (void)apply(next);
        }
        REQUIRE_FALSE(error);
    }

    void place_on(const std::string& worker, const std::string& job)
    {
        (void)apply(place_task{job, worker, std::to_string(incarnations[worker]), {1'000, 1'000, 0}, "test"});
    }

    /// @brief Places the jobs, reports them for the duration `ran` and replaces the process 2 s later.
    void run_and_crash(const std::string& worker, const std::vector<std::string>& jobs, duration ran)
    {
        for (const std::string& id : jobs)
        {
            place_on(worker, id);
        }
        send_report(worker);
        now += ran;
        send_report(worker);
        now += seconds(2);
        ++incarnations[worker];
        send_report(worker);
    }

    [[nodiscard]] job_phase phase_of(const std::string& job) const
    {
        return state.jobs.at(job).phase;
    }

    worker::lease_manager lease_manager{worker::lease_manager_options{}};
    time_point now = start;
    std::map<std::string, int> incarnations{{"w1", 1}, {"w2", 1}};
    std::uint64_t sequence = 0;
};

} // namespace

TEST_CASE("a job that crashes its workers' processes fails")
{
    crash_fixture f;
    (void)f.submit("guilty");

    SECTION("after three crashes for which it is the only suspect")
    {
        f.run_and_crash("w1", {"guilty"}, milliseconds(500));
        f.run_and_crash("w2", {"guilty"}, milliseconds(500));
        CHECK(f.phase_of("guilty") == job_phase::pending);
        f.run_and_crash("w1", {"guilty"}, milliseconds(500));
        CHECK(f.phase_of("guilty") == job_phase::failed);
        CHECK(f.state.jobs.at("guilty").reason.find("crashed") != std::string::npos);
    }
    SECTION("after five crashes with a second suspect, because either may be the cause")
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
    SECTION("and a job on the same worker is not blamed if the first job was blamed before")
    {
        f.run_and_crash("w1", {"guilty"}, milliseconds(500));
        (void)f.submit("fellow");
        f.run_and_crash("w2", {"guilty", "fellow"}, milliseconds(500));
        CHECK(f.state.jobs.at("fellow").evidence == jobs::crash_evidence{1, 0});
        CHECK(f.state.jobs.at("guilty").evidence == jobs::crash_evidence{2, 2});
    }
    SECTION("but not if it ran for a long time before each crash")
    {
        for (int i = 0; i < 8; ++i)
        {
            f.run_and_crash(i % 2 == 0 ? "w1" : "w2", {"guilty"}, seconds(70));
        }
        CHECK(f.phase_of("guilty") == job_phase::pending);
    }
}
