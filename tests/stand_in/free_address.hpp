#pragma once

/// @file
/// @brief Finds a free TCP port on loopback.

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <random>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace plumspoke::test
{

// Below the range from which the kernel takes ports for outgoing connections, which other processes open.
constexpr std::uint16_t first_test_port = 10'000;
constexpr std::uint16_t last_test_port = 32'000;

/// @brief Binds a random port that is free, releases it and returns its address, `127.0.0.1:PORT`.
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
        if (bound)
        {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

} // namespace plumspoke::test
