/// @file
/// @brief A report that comes late from a worker's process which was replaced changes nothing.
///
/// A process is told from the next one of its worker by its incarnation alone, which has no order. A report
/// that had been held up on its way until the next process had reported was taken for yet another process:
/// the jobs of the one that lives were written off and granted elsewhere, while it worked on them.

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
    std::error_code hear(const std::string& incarnation, std::uint64_t sequence)
    {
        worker::report received;
        received.worker = "w1";
        received.incarnation = incarnation;
        received.sequence = sequence;
        received.capacity = {8'000, 32'000, 0};
        std::error_code error;
        for (const command& one : lease_manager.receive(start, state, received, error).commands)
        {
            (void)apply(one);
        }
        return error;
    }

    worker::lease_manager lease_manager{worker::lease_manager_options{}};
};

} // namespace

TEST_CASE("a late report of a process that was replaced is refused")
{
    report_fixture f;
    f.lease_manager.reset(start);
    CHECK_FALSE(f.hear("1", 40));
    CHECK_FALSE(f.hear("second", 1));
    (void)f.submit("job");
    (void)f.apply(place_task{"job", "w1", "second", {1'000, 1'000, 0}, "test"});
    CHECK_FALSE(f.hear("second", 2));
    const bool leader_changes = GENERATE(false, true);
    if (leader_changes)
    {
        f.lease_manager.reset(start);
    }
    CHECK(f.hear("1", 41) == worker::errc::old_sequence);
    CHECK(f.state.workers.at("w1").incarnation == "second");
    CHECK(f.state.jobs.at("job").phase != job_phase::pending);
    CHECK_FALSE(f.hear("second", 3));
}

TEST_CASE("a replaced process stays so over a snapshot")
{
    report_fixture f;
    f.lease_manager.reset(start);
    CHECK_FALSE(f.hear("1", 40));
    CHECK_FALSE(f.hear("second", 1));
    f.state = nlohmann::json(f.state).get<control_state>();
    f.lease_manager.reset(start);
    CHECK(f.hear("1", 41) == worker::errc::old_sequence);
}
