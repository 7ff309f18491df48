#pragma once

/// @file
/// @brief A group of one replica, on a disk that a test can make full.

#include "plumspoke/replica/driver.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <cerrno>
#include <filesystem>
#include <thread>
#include <unistd.h>

namespace plumspoke::replica::full_disk_test
{

inline std::atomic<bool> disk_is_full{false};

// Writes half of a record before it fails, like a disk that becomes full.
inline ssize_t write_until_full(int file, const void* bytes, std::size_t count)
{
    if (!disk_is_full)
    {
        return ::write(file, bytes, count);
    }
    if (count > 16)
    {
        return ::write(file, bytes, count / 2);
    }
    errno = ENOSPC;
    return -1;
}

class counting_machine final : public state_machine
{
  public:
    std::string apply(log_index /*index*/, std::string_view command) override
    {
        ++applied;
        return std::string(command);
    }
    [[nodiscard]] std::string save() const override
    {
        return std::string(1000, 's');
    }
    void restore(std::string_view /*saved*/) override
    {
    }
    std::atomic<int> applied{0};
};

class null_transport final : public transport
{
  public:
    void send(const std::string& /*address*/, const message& /*sent*/) override
    {
    }
};

template <typename Condition> bool holds_within(milliseconds limit, Condition condition)
{
    const auto end = boot_clock::now() + limit;
    while (boot_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

/// @brief A temporary folder that is removed on destruction.
struct folder
{
    folder() : path((std::filesystem::temp_directory_path() / "plumspoke-full-XXXXXX").string())
    {
        REQUIRE(::mkdtemp(path.data()) != nullptr);
    }
    ~folder()
    {
        std::filesystem::remove_all(path);
    }
    folder(const folder&) = delete;
    folder& operator=(const folder&) = delete;

    std::string path;
};

/// @brief A started replica with its storage, state machine and transport.
struct fixture
{
    fixture()
        : disk(data_folder.path, {&write_until_full, system_disk().sync}),
          replica(options(), disk, machine, network)
    {
        disk_is_full = false;
        REQUIRE_FALSE(disk.initialize("a", {{{"a", "a", "a", true}}}));
        REQUIRE_FALSE(replica.start("a"));
    }

    [[nodiscard]] bool holds_lease() const
    {
        return replica.holds_lease(boot_clock::now());
    }

    static driver_options options()
    {
        driver_options out;
        out.snapshot_interval = 10;
        return out;
    }

    folder data_folder;
    storage disk;
    counting_machine machine;
    null_transport network;
    driver replica;
};

} // namespace plumspoke::replica::full_disk_test
