/// @file
/// @brief A leader answers from its state only where its lease still held once it had read.
///
/// Sequence: a process looks at its lease, then waits: for the state's lock, or for its share of the
/// processor. Its lease runs out, another leader takes commands in, and the first one wakes, reads its old
/// state and answers from it: an older configuration, no such queue, no such job. A look at the lease before
/// the read doesn't rule that out.

#include "plumspoke/job_server/linearizable_read.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/jobs/job_state_machine.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

namespace
{

/// @brief A replica that leads until its lease is over.
struct old_leader
{
    old_leader()
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
                leads = leads && !waits; // meanwhile another leader has taken a second one in
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

TEST_CASE("a leader's read is answered only where nobody can have overtaken it")
{
    old_leader of;
    std::uint64_t version = 0;

    SECTION("its lease held before and after")
    {
        CHECK(of.read_version(version, false));
        CHECK(version == 1);
    }
    SECTION("its lease ran out while it waited to read")
    {
        CHECK_FALSE(of.read_version(version, true));
    }
    SECTION("another one led in between, and it leads again")
    {
        CHECK_FALSE(of.read_version(version, false, true));
    }
    SECTION("it didn't lead at all, so nothing is read")
    {
        of.leads = false;
        CHECK_FALSE(of.read_version(version, false));
        CHECK(version == 0);
    }
}
