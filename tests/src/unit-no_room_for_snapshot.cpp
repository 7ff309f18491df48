/// @file
/// @brief A leader that can't shorten its log appends no further proposals to it.
///
/// Guards against a log that grows until it fills the disk or the memory, because a snapshot does not fit or
/// entries are applied more slowly than they are proposed.

#include "large_entries_fixture.hpp"

#include <fcntl.h>
#include <future>

using namespace plumspoke;
using namespace plumspoke::replica;
using namespace plumspoke::replica::large_entries_test;

namespace
{

std::atomic<bool> snapshots_fit{true};

ssize_t write_without_snapshots(int file, const void* bytes, std::size_t count)
{
    const std::string link = "/proc/self/fd/" + std::to_string(file);
    std::error_code ignored;
    const std::string name = std::filesystem::read_symlink(link, ignored).filename().string();
    if (!snapshots_fit && name.starts_with("snapshot-"))
    {
        errno = ENOSPC;
        return -1;
    }
    return ::write(file, bytes, count);
}

/// @brief A state machine that others may lock.
class lockable_machine final : public state_machine
{
  public:
    std::string apply(log_index /*index*/, std::string_view command) override
    {
        return std::string(command.substr(0, 1));
    }
    std::optional<std::string> try_apply(const log_entry& entry, duration limit) override
    {
        if (locked)
        {
            std::this_thread::sleep_for(limit);
            return std::nullopt;
        }
        return apply(entry.index, entry.data);
    }
    [[nodiscard]] std::string save() const override
    {
        return std::string(1000, 's');
    }
    void restore(std::string_view /*saved*/) override
    {
    }
    std::atomic<bool> locked{false};
};

/// @brief A leader, and the outcomes of the commands that are proposed to it.
struct leader_fixture
{
    leader_fixture() : disk(data_folder.path, {&write_without_snapshots, system_disk().sync})
    {
        snapshots_fit = true;
        REQUIRE_FALSE(disk.initialize("a", {{{"a", "a", "a", true}}}));
        REQUIRE_FALSE(replica.start("a"));
        REQUIRE(holds_within(seconds(10),
                             [this]
                             {
                                 return replica.holds_lease(boot_clock::now());
                             }));
    }

    void propose(std::size_t bytes)
    {
        replica.propose(std::string(bytes, 'x'),
                        [this](const proposal_result& result)
                        {
                            committed += result.error ? 0 : 1;
                            rejected += result.error == errc::queue_full ? 1 : 0;
                        });
    }

    folder data_folder;
    storage disk;
    lockable_machine machine;
    null_transport network;
    std::atomic<int> committed{0};
    std::atomic<int> rejected{0};
    driver replica{driver_options(), disk, machine, network};
};

constexpr std::size_t max_log_bytes = 40 * mebibyte;
constexpr int proposals = 400; // 100 MB

} // namespace

TEST_CASE("a log that no snapshot can shorten stops growing, and proposals are rejected")
{
    leader_fixture f;
    snapshots_fit = false;
    for (int i = 0; i < proposals; ++i)
    {
        f.propose(entry_bytes);
        std::this_thread::sleep_for(milliseconds(2));
    }
    CHECK(size_of_files(f.data_folder.path, "log-") < max_log_bytes);
    CHECK(f.replica.status().log_memory_bytes < max_log_bytes);
    CHECK(f.rejected > 0);

    snapshots_fit = true;
    CHECK(holds_within(seconds(10),
                       [&f]
                       {
                           return f.committed + f.rejected == proposals;
                       }));
    CHECK(size_of_files(f.data_folder.path, "log-") < max_log_bytes);
    CHECK_FALSE(f.replica.propose_and_wait("after", seconds(5)).error);
}

TEST_CASE("commands that wait for a locked state are limited in bytes")
{
    leader_fixture f;
    f.machine.locked = true;
    for (int i = 0; i < proposals; ++i)
    {
        f.propose(entry_bytes);
        std::this_thread::sleep_for(milliseconds(2));
    }
    CHECK(f.replica.status().log_memory_bytes < max_log_bytes);
    CHECK(f.rejected > 0);
    f.machine.locked = false;
    CHECK(holds_within(seconds(10),
                       [&f]
                       {
                           return f.committed + f.rejected == proposals;
                       }));
    CHECK_FALSE(f.replica.propose_and_wait("after", seconds(5)).error);
}
