#include "plumspoke/plumspoke.pb.h"
#include "plumspoke/replica/frame.hpp"
#include "plumspoke/replica/storage.hpp"

#include <catch2/catch.hpp>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace
{

using namespace plumspoke;
using namespace plumspoke::replica;

/// @brief A temporary folder that is removed on destruction.
class temporary_folder
{
  public:
    temporary_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "plumspoke-XXXXXX").string();
        path_ = ::mkdtemp(pattern.data());
    }
    ~temporary_folder()
    {
        std::filesystem::remove_all(path_);
    }
    [[nodiscard]] std::filesystem::path data() const
    {
        return path_ / "data";
    }

  private:
    std::filesystem::path path_;
};

membership one_member()
{
    return {{{"c1.first", "c1", "127.0.0.1:1", true}}};
}

node_output entry_output(log_index index, const std::string& data)
{
    node_output output;
    log_entry entry;
    entry.index = index;
    entry.term = 1;
    entry.kind = entry_kind::command;
    entry.data = data;
    output.entries.push_back(entry);
    output.hard = hard_state{1, "c1.first"};
    return output;
}

void fill(const std::filesystem::path& folder, int entries)
{
    storage disk(folder);
    REQUIRE_FALSE(disk.initialize("c1.first", one_member()));
    restored_state restored;
    REQUIRE_FALSE(disk.open(restored));
    for (int i = 1; i <= entries; ++i)
    {
        REQUIRE_FALSE(disk.persist(entry_output(static_cast<log_index>(i), "command " + std::to_string(i))));
    }
}

std::string read_all(const std::filesystem::path& path)
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void write_all(const std::filesystem::path& path, const std::string& bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

int failing_sync(int /*file*/)
{
    return -1;
}

ssize_t full_disk(int /*file*/, const void* /*bytes*/, std::size_t /*count*/)
{
    errno = ENOSPC;
    return -1;
}

} // namespace

TEST_CASE("a data folder")
{
    const temporary_folder folder;

    SECTION("restores what was synced")
    {
        fill(folder.data(), 5);
        storage disk(folder.data());
        restored_state restored;
        REQUIRE_FALSE(disk.open(restored));
        CHECK(disk.identity() == "c1.first");
        CHECK(restored.hard == hard_state{1, "c1.first"});
        REQUIRE(restored.entries.size() == 5);
        CHECK(restored.entries[4].data == "command 5");
        CHECK(restored.base.members == one_member());
    }

    SECTION("without an identity reports it, and keeps the one that is written")
    {
        {
            storage disk(folder.data());
            restored_state restored;
            CHECK(disk.open(restored) == errc::no_identity);
            CHECK_FALSE(disk.write_identity("c1.new"));
        }
        storage disk(folder.data());
        restored_state restored;
        CHECK_FALSE(disk.open(restored));
        CHECK(disk.identity() == "c1.new");
        CHECK(restored.base.members.members.empty()); // it is not a voter
    }

    SECTION("is initialized only once")
    {
        fill(folder.data(), 1);
        storage disk(folder.data());
        CHECK(disk.initialize("c1.second", one_member()) == errc::already_initialized);
    }

    SECTION("is locked by one process at a time")
    {
        fill(folder.data(), 1);
        storage first(folder.data());
        storage second(folder.data());
        restored_state restored;
        CHECK_FALSE(first.open(restored));
        restored_state other;
        CHECK(second.open(other) == errc::folder_in_use);
    }

    SECTION("drops a torn last frame, wherever it was torn, and nothing before it")
    {
        fill(folder.data(), 4);
        const std::filesystem::path log = folder.data() / "log-1";
        const std::string whole = read_all(log);
        const frame_scan scan = scan_frames(whole);
        REQUIRE(scan.payloads.size() == 4);
        const std::size_t last_start = whole.size() - scan.payloads.back().size() - frame_header_size;
        for (std::size_t size = last_start; size < whole.size(); ++size)
        {
            write_all(log, whole.substr(0, size));
            storage disk(folder.data());
            restored_state restored;
            REQUIRE_FALSE(disk.open(restored));
            REQUIRE(restored.entries.size() == 3);
        }
        REQUIRE(read_all(log).size() == last_start);
    }

    SECTION("accepts new records after a torn last frame")
    {
        fill(folder.data(), 3);
        const std::filesystem::path log = folder.data() / "log-1";
        write_all(log, read_all(log) + "half a fra");
        {
            storage disk(folder.data());
            restored_state restored;
            REQUIRE_FALSE(disk.open(restored));
            REQUIRE_FALSE(disk.persist(entry_output(4, "after")));
        }
        storage disk(folder.data());
        restored_state restored;
        REQUIRE_FALSE(disk.open(restored));
        REQUIRE(restored.entries.size() == 4);
        CHECK(restored.entries.back().data == "after");
    }

    SECTION("rejects damage before the last frame, at each byte, and is left unchanged")
    {
        fill(folder.data(), 3);
        const std::filesystem::path log = folder.data() / "log-1";
        const std::string whole = read_all(log);
        const std::size_t second_start = frame_header_size + scan_frames(whole).payloads[0].size();
        for (std::size_t at = 0; at < second_start; ++at)
        {
            std::string damaged = whole;
            damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
            write_all(log, damaged);
            storage disk(folder.data());
            restored_state restored;
            REQUIRE(disk.open(restored) == errc::log_damaged);
            REQUIRE(read_all(log) == damaged);
        }
    }

    SECTION("rejects a damaged snapshot")
    {
        fill(folder.data(), 1);
        const std::filesystem::path path = folder.data() / "snapshot-0";
        std::string bytes = read_all(path);
        bytes[bytes.size() - 1] = static_cast<char>(bytes[bytes.size() - 1] ^ 1);
        write_all(path, bytes);
        storage disk(folder.data());
        restored_state restored;
        CHECK(disk.open(restored) == errc::snapshot_damaged);
    }

    SECTION("holds only the entries after a saved snapshot")
    {
        fill(folder.data(), 10);
        {
            storage disk(folder.data());
            restored_state restored;
            REQUIRE_FALSE(disk.open(restored));
            snapshot state;
            state.index = 8;
            state.term = 1;
            state.members = one_member();
            state.data = "state";
            const std::vector<log_entry> rest(restored.entries.begin() + 8, restored.entries.end());
            REQUIRE_FALSE(disk.save_snapshot(state, restored.hard, rest));
        }
        CHECK_FALSE(std::filesystem::exists(folder.data() / "log-1"));
        CHECK_FALSE(std::filesystem::exists(folder.data() / "snapshot-0"));
        storage disk(folder.data());
        restored_state restored;
        REQUIRE_FALSE(disk.open(restored));
        CHECK(restored.base.index == 8);
        CHECK(restored.base.data == "state");
        CHECK(restored.hard.term == 1);
        REQUIRE(restored.entries.size() == 2);
        CHECK(restored.entries[0].index == 9);
    }

    SECTION("is valid after a crash between saving a snapshot and starting a new log")
    {
        fill(folder.data(), 10);
        const std::string log = read_all(folder.data() / "log-1");
        {
            storage disk(folder.data());
            restored_state restored;
            REQUIRE_FALSE(disk.open(restored));
            snapshot state;
            state.index = 8;
            state.term = 1;
            state.members = one_member();
            REQUIRE_FALSE(disk.save_snapshot(state, restored.hard, {}));
        }
        std::filesystem::remove(folder.data() / "log-2");
        write_all(folder.data() / "log-1", log);
        storage disk(folder.data());
        restored_state restored;
        REQUIRE_FALSE(disk.open(restored));
        CHECK(restored.base.index == 8);
        CHECK(restored.entries.size() == 2);
    }

    SECTION("on a full or failing disk acknowledges nothing")
    {
        fill(folder.data(), 1);
        for (const disk_operations disk_calls : {disk_operations{&full_disk, system_disk().sync},
                                                 disk_operations{system_disk().write, &failing_sync}})
        {
            {
                storage disk(folder.data(), disk_calls);
                restored_state restored;
                const std::error_code opened = disk.open(restored);
                if (!opened)
                {
                    const std::string before = read_all(folder.data() / "log-1");
                    const bool full = disk_calls.write == &full_disk;
                    CHECK(disk.persist(entry_output(2, "never")) ==
                          (full ? errc::disk_full : errc::disk_write_failed));
                    // A write that fails for lack of space leaves no partial frame.
                    CHECK((!full || read_all(folder.data() / "log-1") == before));
                }
                else
                {
                    CHECK(opened == errc::disk_write_failed);
                }
            }
            storage after(folder.data());
            restored_state restored;
            REQUIRE_FALSE(after.open(restored));
        }
    }

    SECTION("drops entries that a new leader truncated")
    {
        fill(folder.data(), 5);
        {
            storage disk(folder.data());
            restored_state restored;
            REQUIRE_FALSE(disk.open(restored));
            node_output output = entry_output(3, "other");
            output.truncate_from = 3;
            REQUIRE_FALSE(disk.persist(output));
        }
        storage disk(folder.data());
        restored_state restored;
        REQUIRE_FALSE(disk.open(restored));
        REQUIRE(restored.entries.size() == 3);
        CHECK(restored.entries[2].data == "other");
    }
}

TEST_CASE("the limit on acknowledgements is kept for the boot that it counts from")
{
    const time_point limit = from_microseconds(to_microseconds(boot_clock::now()));
    const temporary_folder folder;
    const std::filesystem::path file = folder.data() / "acknowledgement-limit";
    const auto read_limit = [&folder](const std::string& boot_id)
    {
        storage disk(folder.data(), system_disk(), boot_id);
        restored_state restored;
        REQUIRE_FALSE(disk.open(restored));
        return restored.acknowledgement_limit;
    };
    const auto write_limit = [&folder](const disk_operations& operations, time_point value)
    {
        storage disk(folder.data(), operations, "boot");
        restored_state restored;
        REQUIRE_FALSE(disk.open(restored));
        node_output output;
        output.acknowledgement_limit = value;
        return disk.persist(output);
    };
    fill(folder.data(), 1);
    CHECK_FALSE(read_limit("boot").has_value());
    REQUIRE_FALSE(write_limit(system_disk(), limit - seconds(1)));
    REQUIRE_FALSE(write_limit(system_disk(), limit));
    CHECK(read_limit("boot") == limit);

    SECTION("not for another boot")
    {
        CHECK_FALSE(read_limit("another").has_value());
    }
    SECTION("not if the clock counts from another time, although the boot has the same identifier")
    {
        wire::AcknowledgementLimit stored;
        const std::string content = read_all(file);
        REQUIRE(stored.ParseFromString(std::string(scan_frames(content).payloads.at(0))));
        stored.set_booted_at_ms(stored.booted_at_ms() - 1000);
        write_all(file, make_frame(stored.SerializeAsString()));
        CHECK_FALSE(read_limit("boot").has_value());
    }
    SECTION("not if the boot is unknown")
    {
        CHECK_FALSE(read_limit("").has_value());
        CHECK_FALSE(read_limit("boot").has_value()); // it wasn't extended meanwhile
    }
    SECTION("not for more than a minute")
    {
        REQUIRE_FALSE(write_limit(system_disk(), limit - seconds(61)));
        CHECK_FALSE(read_limit("boot").has_value());
    }
    SECTION("not if the file is torn")
    {
        write_all(file, read_all(file).substr(0, 20));
        CHECK_FALSE(read_limit("boot").has_value());
    }
    SECTION("not if it could not be extended, since the disk was full")
    {
        const disk_operations full{[](int /*file*/, const void* /*bytes*/, std::size_t /*count*/) -> ssize_t
                                   {
                                       errno = ENOSPC;
                                       return -1;
                                   },
                                   system_disk().sync};
        CHECK_FALSE(write_limit(full, limit + seconds(1)));
        CHECK_FALSE(read_limit("boot").has_value());
    }
}
