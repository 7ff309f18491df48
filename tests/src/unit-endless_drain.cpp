/// @file
/// @brief The stop of a product's entry ends, also while clients keep opening connections to it.

#include "group_settings.hpp"

#include "plumspoke/entry/server.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace plumspoke;

namespace
{

constexpr auto connect_interval = milliseconds(100);
constexpr auto body_pause = milliseconds(300);

void send_text(int socket, std::string_view text)
{
    (void)::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
}

/// @brief Sends a request whose body comes in two halves.
void send_slow_body(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0)
    {
        send_text(socket, "POST /service/run HTTP/1.1\r\nHost: entry\r\nContent-Length: 8\r\n\r\nhalf");
        std::this_thread::sleep_for(body_pause);
        send_text(socket, "half");
    }
    ::close(socket);
}

} // namespace

// Guards against a drain that waits until no request is being read.
TEST_CASE("an entry stops while clients keep sending bodies slowly")
{
    std::string folder = (std::filesystem::temp_directory_path() / "plumspoke-XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()) != nullptr);
    const std::string address = test::free_address();
    test::group_settings settings = test::make_group_settings(folder, address, {{"drain_ms", 200}});
    REQUIRE(settings.faults.empty());
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    entry::server entry(settings.entry);
    REQUIRE_FALSE(entry.start());

    std::atomic<bool> stopped = false;
    std::vector<std::thread> senders;
    constexpr std::size_t sender_count = 4;
    for (std::size_t i = 0; i < sender_count; ++i)
    {
        senders.emplace_back(
            [&, i]
            {
                std::this_thread::sleep_for(i * connect_interval);
                const time_point limit = boot_clock::now() + seconds(10);
                while (!stopped && boot_clock::now() < limit)
                {
                    send_slow_body(port);
                }
            });
    }
    std::this_thread::sleep_for(seconds(1));
    const time_point begun = boot_clock::now();
    entry.stop();
    const auto took = std::chrono::duration_cast<milliseconds>(boot_clock::now() - begun);
    stopped = true;
    for (std::thread& one : senders)
    {
        one.join();
    }
    CHECK(took < seconds(3));
    std::filesystem::remove_all(folder);
}
