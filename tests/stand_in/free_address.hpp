#pragma once

/// @file
/// @brief Finds a free TCP port on loopback.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace plumspoke::test
{

/// @brief Binds an ephemeral port, releases it and returns its address, `127.0.0.1:PORT`.
inline std::string free_address()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

} // namespace plumspoke::test
