/// @file
/// @brief A signal that reaches a thread of the HTTP server costs no caller its connection.

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

/// @brief Sends a signal to each thread of this process but this one. The kernel may choose any of them for a
///        signal to the process.
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

TEST_CASE("signals in quick succession end no open connection of a caller")
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
    std::this_thread::sleep_for(milliseconds(50)); // its thread waits for the next request
    signal_other_threads(SIGHUP);
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(is_answered(socket));
    ::close(socket);
    server.stop();
    ::sigaction(SIGHUP, &before, nullptr);
}
