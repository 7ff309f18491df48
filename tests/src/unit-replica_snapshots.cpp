/// @file
/// @brief The replicas of a group save snapshots at different log indexes.
///
/// A replica's thread neither sends nor receives while it saves a snapshot. Replicas apply the same entries,
/// so with equal intervals the leader and its quorum would stop responding at the same entry.

#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/jobs/job_state_machine.hpp"
#include "plumspoke/replica/driver.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <thread>
#include <unistd.h>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

constexpr std::size_t interval = 3000;
constexpr std::size_t entries_per_save = 5; // 50 ms at 100 entries a second

std::array<std::string, 3> make_identities(int number)
{
    const std::string vm = "vm-" + std::to_string(number);
    return {vm + ".first", vm + "a.first", vm + "b.first"};
}

bool all_differ(const std::array<std::string, 3>& ids)
{
    std::array<std::size_t, 3> own{};
    std::transform(ids.begin(),
                   ids.end(),
                   own.begin(),
                   [](const std::string& id)
                   {
                       return jittered_snapshot_interval(id, interval);
                   });
    std::sort(own.begin(), own.end());
    return own[1] - own[0] > entries_per_save && own[2] - own[1] > entries_per_save;
}

class null_transport final : public transport
{
  public:
    void send(const std::string& /*address*/, const message& /*sent*/) override
    {
    }
};

} // namespace

TEST_CASE("the replicas of a group have different snapshot intervals")
{
    constexpr int groups = 1000;
    int differing = 0;
    std::size_t shortest = interval;
    std::size_t longest = 0;
    for (int i = 0; i < groups; ++i)
    {
        const std::array<std::string, 3> ids = make_identities(i);
        differing += all_differ(ids) ? 1 : 0;
        const std::size_t own = jittered_snapshot_interval(ids[0], interval);
        shortest = std::min(shortest, own);
        longest = std::max(longest, own);
    }
    CHECK(differing > groups * 95 / 100);
    CHECK(shortest >= interval / 2);
    CHECK(shortest < interval * 55 / 100);
    CHECK(longest > interval * 95 / 100);
    CHECK(longest <= interval); // the setting limits how many entries a restart reads
    CHECK(jittered_snapshot_interval("a", 1) == 1);
}

TEST_CASE("a replica saves a snapshot after each interval")
{
    constexpr std::size_t configured_interval = 40;
    constexpr int records = 150;
    std::string pattern = (std::filesystem::temp_directory_path() / "plumspoke-snapshots-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    for (const std::string id : {"one.first", "other.first"})
    {
        const std::filesystem::path folder = std::filesystem::path(pattern) / id;
        jobs::job_state_machine machine;
        null_transport network;
        log_index applied = 0;
        {
            storage disk(folder);
            REQUIRE_FALSE(disk.initialize(id, {{{id, id, id, true}}}));
            driver_options options;
            options.snapshot_interval = configured_interval;
            driver runner(options, disk, machine, network);
            REQUIRE_FALSE(runner.start(id));
            const time_point started_at = boot_clock::now();
            while (!runner.status().holds_lease(boot_clock::now()) &&
                   boot_clock::now() < started_at + seconds(10))
            {
                std::this_thread::sleep_for(milliseconds(5));
            }
            for (int i = 0; i < records; ++i)
            {
                jobs::round record;
                record.begun = {"x"};
                REQUIRE_FALSE(runner.propose_and_wait(jobs::encode(record), seconds(5)).error);
            }
            runner.stop();
            applied = runner.status().applied_index;
        }
        restored_state restored;
        storage disk(folder);
        REQUIRE_FALSE(disk.open(restored));
        const std::size_t own = jittered_snapshot_interval(id, configured_interval);
        CHECK(own < configured_interval);
        CHECK(restored.base.index == applied / own * own);
    }
    std::filesystem::remove_all(pattern);
}
