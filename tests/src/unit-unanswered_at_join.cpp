/// @file
/// @brief A request that waits for a thread of an entry whose drain has lasted too long is answered.

#include "plumspoke/entry/server.hpp"

#include "free_address.hpp"
#include "group_settings.hpp"
#include "silent_relay.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace plumspoke;

namespace
{

constexpr std::size_t threads = 4;

int send_on_new_connection(const std::string& address, const std::string& text)
{
    const int socket = test::connect_to(address);
    REQUIRE(::send(socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    return socket;
}

} // namespace

TEST_CASE("a request that waits for a thread when an entry's drain has lasted too long is answered")
{
    const std::string folder = std::filesystem::temp_directory_path().string();
    const std::string address = test::free_address();
    const auto [control_settings, entry_settings, faults] = test::make_group_settings(
        folder, address, {{"request_read_ms", 3000}, {"drain_ms", 1000}, {"http_threads", threads}});
    REQUIRE(faults.empty());
    entry::server entry(entry_settings);
    REQUIRE_FALSE(entry.start());
    std::vector<int> incomplete;
    std::vector<int> queued;
    for (std::size_t i = 0; i < threads; ++i)
    {
        incomplete.push_back(
            send_on_new_connection(address, "POST /quick HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"));
    }
    std::this_thread::sleep_for(milliseconds(100)); // all threads wait for a body now
    for (std::size_t i = 0; i < 2 * threads; ++i)
    {
        queued.push_back(
            send_on_new_connection(address, "GET /quick HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"));
    }
    entry.stop();
    std::size_t answered = 0;
    for (const int socket : queued)
    {
        std::array<char, 512> got{};
        answered += ::recv(socket, got.data(), got.size() - 1, MSG_DONTWAIT) > 0 ? 1 : 0;
        ::close(socket);
    }
    CHECK(answered == queued.size());
    for (const int socket : incomplete)
    {
        ::close(socket);
    }
}
