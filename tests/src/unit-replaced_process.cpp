/// @file
/// @brief A delayed report from a replaced worker process changes nothing.
///
/// Processes of a worker are distinguished only by their incarnation, which has no order. A report that
/// arrives after the first report of the next process could therefore be mistaken for one of a third process:
/// the jobs of the running process would be considered lost and granted to other workers while it still
/// executes them.

#include "control_fixture.hpp"
#include "plumspoke/worker/error.hpp"
#include "plumspoke/worker/lease_manager.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::control;
using plumspoke::control::control_test::fixture;
using plumspoke::control::control_test::start;

namespace
{

struct report_fixture : fixture
{
    std::error_code receive_report(const std::string& incarnation, std::uint64_t sequence)
    {
        worker::report received;
        received.worker = "w1";
        received.incarnation = incarnation;
        received.sequence = sequence;
        received.capacity = {8'000, 32'000, 0};
        std::error_code error;
        for (const command& next : lease_manager.receive(start, state, received, error).commands)
        {
            (void)apply(next);
        }
        return error;
    }

    worker::lease_manager lease_manager{worker::lease_manager_options{}};
};

} // namespace

TEST_CASE("a delayed report of a replaced process is rejected")
{
    report_fixture f;
    f.lease_manager.reset(start);
    CHECK_FALSE(f.receive_report("1", 40));
    CHECK_FALSE(f.receive_report("second", 1));
    (void)f.submit("job");
    (void)f.apply(place_task{"job", "w1", "second", {1'000, 1'000, 0}, "test"});
    CHECK_FALSE(f.receive_report("second", 2));
    const bool leader_changes = GENERATE(false, true);
    if (leader_changes)
    {
        f.lease_manager.reset(start);
    }
    CHECK(f.receive_report("1", 41) == worker::errc::old_sequence);
    CHECK(f.state.workers.at("w1").incarnation == "second");
    CHECK(f.state.jobs.at("job").phase != job_phase::pending);
    CHECK_FALSE(f.receive_report("second", 3));
}

TEST_CASE("a process is still known as replaced after a snapshot is restored")
{
    report_fixture f;
    f.lease_manager.reset(start);
    CHECK_FALSE(f.receive_report("1", 40));
    CHECK_FALSE(f.receive_report("second", 1));
    f.state = nlohmann::json(f.state).get<control_state>();
    f.lease_manager.reset(start);
    CHECK(f.receive_report("1", 41) == worker::errc::old_sequence);
}
