/// @file
/// @brief A signal delivered to a thread of the HTTP server closes no client connection.

#include "plumspoke/http/server.hpp"

#include "silent_relay.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>

using namespace plumspoke;

namespace
{

/// @brief Sends a signal to each thread of this process except the calling one, since the kernel may deliver
///        a signal sent to the process to any of them.
void signal_other_threads(int number)
{
    const pid_t own = ::gettid();
    for (const auto& one : std::filesystem::directory_iterator("/proc/self/task"))
    {
        const pid_t thread = std::stoi(one.path().filename().string());
        if (thread != own)
        {
            ::syscall(SYS_tgkill, ::getpid(), thread, number);
        }
    }
}

bool is_answered(int socket)
{
    const std::string text = "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    std::array<char, 1024> got{};
    return ::send(socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()) &&
           ::recv(socket, got.data(), got.size(), 0) > 0;
}

} // namespace

TEST_CASE("signals in quick succession close no open client connection")
{
    struct sigaction action = {};
    action.sa_handler = [](int) {};
    struct sigaction before = {};
    REQUIRE(::sigaction(SIGHUP, &action, &before) == 0);
    http::server_options options;
    options.address = test::free_address();
    options.threads = 4;
    http::server server(options,
                        [](const http::request& /*received*/)
                        {
                            return http::response{};
                        });
    REQUIRE(server.start());
    const int socket = test::connect_to(options.address);
    REQUIRE(is_answered(socket));
    std::this_thread::sleep_for(milliseconds(50)); // lets the connection's thread wait for the next request
    signal_other_threads(SIGHUP);
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(is_answered(socket));
    ::close(socket);
    server.stop();
    ::sigaction(SIGHUP, &before, nullptr);
}
