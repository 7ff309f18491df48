#pragma once

/// @file
/// @brief Finds a free TCP port on loopback.

#include <algorithm>
#include <arpa/inet.h>
#include <cstddef>
#include <cstdint>
#include <netinet/in.h>
#include <random>
#include <string>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

namespace plumspoke::test
{

// Below the range from which the kernel takes ports for outgoing connections, which other processes open.
constexpr std::uint16_t first_test_port = 10'000;
constexpr std::uint16_t last_test_port = 32'000;

/// @brief Reserves a port for this process until it ends, so that no other test gets it before it is bound.
/// @return false if another process or an earlier call has reserved it
inline bool reserve_port(int port)
{
    // The kernel releases an abstract name with its process.
    const std::string name = "plumspoke-test-port-" + std::to_string(port);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::copy(name.begin(), name.end(), &address.sun_path[1]);
    const int socket = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
    const bool reserved = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), size) == 0;
    if (!reserved)
    {
        ::close(socket);
    }
    return reserved;
}

/// @brief Reserves a random port that is free and returns its address, `127.0.0.1:PORT`.
inline std::string free_address()
{
    thread_local std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> any_port(first_test_port, last_test_port);
    while (true)
    {
        const int port = any_port(random);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const bool bound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        if (bound && reserve_port(port))
        {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

} // namespace plumspoke::test
