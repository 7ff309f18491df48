/// @file
/// @brief A leader answers from its state only if it held its lease before and after the read.
///
/// Guards against stale answers: a process checks its lease, then waits for the state's lock or for processor
/// time. Its lease expires, another leader commits commands, and the first process reads its old state and
/// answers with an older configuration, or that a queue or job does not exist.

#include "plumspoke/job_server/linearizable_read.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/jobs/job_state_machine.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

namespace
{

/// @brief A replica that leads until its lease expires.
struct leader_with_lease
{
    leader_with_lease()
    {
        jobs::configuration first;
        first.version = 1;
        (void)machine.apply(1, jobs::encode(jobs::configure{first}));
    }

    [[nodiscard]] bool read_version(std::uint64_t& version, bool waits, bool leads_again = false)
    {
        return job_server::linearizable_read(
            [this]
            {
                return leads ? std::optional(term) : std::nullopt;
            },
            [&]
            {
                leads = leads && !waits; // meanwhile another leader commits a second configuration
                term += leads_again ? 2 : 0;
                version = machine.read(
                    [](const jobs::store& state)
                    {
                        return state.current().version;
                    });
            });
    }

    jobs::job_state_machine machine;
    bool leads = true;
    std::uint64_t term = 5;
};

} // namespace

TEST_CASE("a read is valid only if no other process can have led in between")
{
    leader_with_lease of;
    std::uint64_t version = 0;

    SECTION("the lease is held before and after")
    {
        CHECK(of.read_version(version, false));
        CHECK(version == 1);
    }
    SECTION("the lease expires before the read")
    {
        CHECK_FALSE(of.read_version(version, true));
    }
    SECTION("another process leads in between, then this one again")
    {
        CHECK_FALSE(of.read_version(version, false, true));
    }
    SECTION("without a lease nothing is read")
    {
        of.leads = false;
        CHECK_FALSE(of.read_version(version, false));
        CHECK(version == 0);
    }
}
