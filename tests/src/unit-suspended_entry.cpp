/// @file
/// @brief An entry that was suspended for longer than its lease doesn't serve by it.

#include "group_settings.hpp"
#include "suspendable_clock.hpp"

#include "plumspoke/control/server.hpp"
#include "plumspoke/entry/server.hpp"
#include "plumspoke/http/client.hpp"

#include <catch2/catch.hpp>
#include <thread>
#include <unistd.h>

using namespace plumspoke;

namespace
{

constexpr auto wait_limit = seconds(15);
constexpr auto poll_interval = milliseconds(50);

bool holds_lease(const std::string& entry)
{
    http::request ready;
    ready.method = "GET";
    ready.path = "/_plumspoke/ready";
    const std::optional<http::response> got = http::call(entry, ready, seconds(1));
    REQUIRE(got.has_value());
    return nlohmann::json::parse(got->body).at("lease").get<bool>();
}

bool wait_for_lease(const std::string& entry, bool expected)
{
    const time_point limit = boot_clock::now() + wait_limit;
    while (holds_lease(entry) != expected)
    {
        if (boot_clock::now() >= limit)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace

TEST_CASE("an entry that was suspended for longer than its lease doesn't hold it")
{
    std::string folder = (std::filesystem::temp_directory_path() / "plumspoke-XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()) != nullptr);
    const std::string address = test::free_address();
    const auto [control_settings, entry_settings, faults] =
        test::make_group_settings(folder, address, nlohmann::json::object());
    REQUIRE(faults.empty());
    {
        replica::storage disk(control_settings.data_folder);
        REQUIRE_FALSE(disk.initialize("c1.first", {{{"c1.first", "c1", control_settings.grpc, true}}}));
    }
    control::server control(control_settings);
    REQUIRE_FALSE(control.start());
    entry::server entry(entry_settings);
    REQUIRE_FALSE(entry.start());
    REQUIRE(wait_for_lease(address, true));

    control.stop();
    const time_point stopped_at = boot_clock::now();
    REQUIRE(wait_for_lease(address, false));
    test::add_suspended_time(boot_clock::now() - stopped_at);
    CHECK_FALSE(holds_lease(address));

    entry.stop();
    std::filesystem::remove_all(folder);
}
