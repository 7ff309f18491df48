#pragma once

/// @file
/// @brief A group of one replica, and a data folder with a log of large entries.

#include "full_disk_fixture.hpp"

#include "plumspoke/metrics/memory.hpp"

#include <fstream>

namespace plumspoke::replica::large_entries_test
{

using namespace full_disk_test;

inline constexpr std::size_t entry_bytes = 256U << 10U;
inline constexpr std::size_t mebibyte = 1U << 20U;

/// @brief Size of the files in a folder whose names have a prefix, in bytes.
inline std::size_t size_of_files(const std::filesystem::path& in, const std::string& prefix)
{
    std::size_t sum = 0;
    for (const auto& file : std::filesystem::directory_iterator(in))
    {
        std::error_code removed; // by the replica, since it was listed
        const std::uintmax_t bytes = file.file_size(removed);
        sum += !removed && file.path().filename().string().starts_with(prefix) ? bytes : 0;
    }
    return sum;
}

/// @brief Fills a new folder with a log of one member that no snapshot has shortened.
inline void write_long_log(const std::filesystem::path& data_folder, std::size_t entries)
{
    storage disk(data_folder);
    REQUIRE_FALSE(disk.initialize("a", {{{"a", "a", "a", true}}}));
    restored_state restored;
    REQUIRE_FALSE(disk.open(restored));
    for (std::size_t i = 0; i < entries; ++i)
    {
        node_output output;
        output.hard = hard_state{1, "a"};
        output.entries.push_back({i + 1, 1, entry_kind::command, std::string(entry_bytes, 'x'), {}, {}});
        REQUIRE_FALSE(disk.persist(output));
    }
}

/// @brief The largest anonymous memory of this process while a function runs, in bytes.
template <typename Function> std::uint64_t peak_anonymous_bytes(Function function)
{
    std::atomic<bool> done{false};
    std::uint64_t peak = metrics::read_anonymous_bytes();
    std::thread sampler(
        [&]
        {
            while (!done)
            {
                peak = std::max(peak, metrics::read_anonymous_bytes());
                std::this_thread::sleep_for(milliseconds(1));
            }
        });
    function();
    done = true;
    sampler.join();
    return peak;
}

} // namespace plumspoke::replica::large_entries_test
