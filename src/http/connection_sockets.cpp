#include "connection_sockets.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace plumspoke::http
{

namespace
{

constexpr std::size_t read_chunk = 4096;

/// @brief Calls a function with each file descriptor of this process.
template <typename Function> void for_each_file(const Function& visit)
{
    std::error_code failed;
    for (const auto& file : std::filesystem::directory_iterator("/proc/self/fd", failed))
    {
        const std::string name = file.path().filename().string();
        int descriptor = -1;
        std::from_chars(name.data(), name.data() + name.size(), descriptor);
        visit(descriptor);
    }
}

std::optional<sockaddr_in> local_address(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const bool found = ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    return found && address.sin_family == AF_INET ? std::optional(address) : std::nullopt;
}

std::optional<connection_ends> read_ends(int socket)
{
    const std::optional<sockaddr_in> local = local_address(socket);
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    std::array<char, INET_ADDRSTRLEN> ip{};
    if (!local.has_value() || ::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
        ::inet_ntop(AF_INET, &peer.sin_addr, ip.data(), ip.size()) == nullptr)
    {
        return std::nullopt;
    }
    return connection_ends{ip.data(), ntohs(peer.sin_port), ntohs(local->sin_port)};
}

bool is_listening(int socket)
{
    int listening = 0;
    socklen_t size = sizeof listening;
    return ::getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening != 0;
}

} // namespace

void defer_accept(int port, seconds limit)
{
    for_each_file(
        [port, limit](int file)
        {
            const std::optional<sockaddr_in> local = local_address(file);
            if (local.has_value() && ntohs(local->sin_port) == port && is_listening(file))
            {
                const int limit_s = static_cast<int>(limit.count());
                ::setsockopt(file, IPPROTO_TCP, TCP_DEFER_ACCEPT, &limit_s, sizeof limit_s);
            }
        });
}

void find_sockets(idle_connections::expired_connections connections)
{
    for_each_file(
        [connections](int file)
        {
            const std::optional<connection_ends> ends = read_ends(file);
            const auto found = std::find_if(connections.begin(),
                                            connections.end(),
                                            [&ends](const served_connection* one)
                                            {
                                                return one->ends() == ends;
                                            });
            if (found != connections.end())
            {
                (*found)->set_socket(file);
            }
        });
}

void end_wait(const served_connection& expired)
{
    if (expired.socket() >= 0)
    {
        ::shutdown(expired.socket(), SHUT_RD);
    }
}

bool answer_unread(const served_connection& closing, std::string_view response)
{
    std::array<char, read_chunk> unread{};
    bool any = false;
    // Unread bytes would make the kernel reset the connection, which discards the response.
    while (closing.socket() >= 0 && ::recv(closing.socket(), unread.data(), unread.size(), MSG_DONTWAIT) > 0)
    {
        any = true;
    }
    return any && ::send(closing.socket(), response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
}

} // namespace plumspoke::http
