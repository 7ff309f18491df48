#include "connection_sockets.hpp"

#include "plumspoke/http/descriptor_search_counts.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <span>
#include <sys/resource.h>
#include <sys/socket.h>

namespace plumspoke::http
{

namespace
{

constexpr std::size_t read_chunk = 4096;
constexpr int max_descriptors = 1 << 20;
constexpr int polled_at_once = 1024;

std::atomic<std::uint64_t> searches{0};
std::atomic<std::uint64_t> searched_descriptors{0};

/// @brief Calls a function with each open file descriptor of this process.
/// @note Works if no further file may be opened.
template <typename Function> void for_each_descriptor(const Function& visit)
{
    rlimit limit{};
    const int end = ::getrlimit(RLIMIT_NOFILE, &limit) == 0
                        ? static_cast<int>(std::min<rlim_t>(limit.rlim_cur, max_descriptors))
                        : max_descriptors;
    std::array<pollfd, polled_at_once> polled{};
    for (int first = 0; first < end; first += polled_at_once)
    {
        const int count = std::min(polled_at_once, end - first);
        for (int i = 0; i < count; ++i)
        {
            polled.at(static_cast<std::size_t>(i)) = {first + i, 0, 0};
        }
        (void)::poll(polled.data(), static_cast<nfds_t>(count), 0);
        for (const pollfd& one : std::span(polled).first(static_cast<std::size_t>(count)))
        {
            if ((one.revents & POLLNVAL) == 0)
            {
                visit(one.fd);
                ++searched_descriptors;
            }
        }
    }
    ++searches;
}

std::optional<sockaddr_in> local_address(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const bool found = ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    return found && address.sin_family == AF_INET ? std::optional(address) : std::nullopt;
}

std::optional<connection_ends> read_ends(int socket, int local_port)
{
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    std::array<char, INET_ADDRSTRLEN> ip{};
    if (::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET ||
        ::inet_ntop(AF_INET, &peer.sin_addr, ip.data(), ip.size()) == nullptr)
    {
        return std::nullopt;
    }
    return connection_ends{ip.data(), ntohs(peer.sin_port), local_port};
}

bool connects(int socket, const connection_ends& ends)
{
    const std::optional<sockaddr_in> local = local_address(socket);
    return local.has_value() && ntohs(local->sin_port) == ends.local_port &&
           read_ends(socket, ends.local_port) == ends;
}

/// @brief Calls a function with the socket and the ends of each connection on a port of this process.
template <typename Function> void for_each_connection(int port, const Function& visit)
{
    for_each_descriptor(
        [port, &visit](int socket)
        {
            const std::optional<sockaddr_in> local = local_address(socket);
            if (local.has_value() && ntohs(local->sin_port) == port)
            {
                if (const std::optional<connection_ends> ends = read_ends(socket, port); ends.has_value())
                {
                    visit(socket, *ends);
                }
            }
        });
}

/// @brief The connections whose ends are known.
std::map<connection_ends, served_connection*> by_ends(idle_connections::connection_list connections)
{
    std::map<connection_ends, served_connection*> out;
    for (served_connection* one : connections)
    {
        if (one->ends_known())
        {
            out.emplace(one->ends(), one);
        }
    }
    return out;
}

bool is_listening(int socket)
{
    int listening = 0;
    socklen_t size = sizeof listening;
    return ::getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening != 0;
}

} // namespace

descriptor_search_counts read_descriptor_search_counts() noexcept
{
    return {searches, searched_descriptors};
}

int find_listener(int port)
{
    int listener = -1;
    for_each_descriptor(
        [port, &listener](int socket)
        {
            const std::optional<sockaddr_in> local = local_address(socket);
            if (local.has_value() && ntohs(local->sin_port) == port && is_listening(socket))
            {
                listener = socket;
            }
        });
    return listener;
}

void defer_accept(int listener, seconds limit)
{
    const int limit_s = static_cast<int>(limit.count());
    ::setsockopt(listener, IPPROTO_TCP, TCP_DEFER_ACCEPT, &limit_s, sizeof limit_s);
    // Two threads may accept at the end of a drain; none may wait for a connection that the other has taken.
    ::fcntl(listener, F_SETFL, ::fcntl(listener, F_GETFL) | O_NONBLOCK);
}

duration socket_table::time_since_arrival(const connection_ends& ends)
{
    const std::lock_guard lock(mutex_);
    auto known = sockets_.find(ends);
    const time_point now = boot_clock::now();
    if ((known == sockets_.end() || !connects(known->second, ends)) && pace_.allows(now))
    {
        sockets_.clear();
        for_each_connection(ends.local_port,
                            [this](int socket, const connection_ends& found)
                            {
                                sockets_[found] = socket;
                            });
        pace_.record(now, boot_clock::now());
        known = sockets_.find(ends);
    }
    if (known != sockets_.end() && connects(known->second, ends))
    {
        last_time_ = http::time_since_arrival(known->second);
    }
    return last_time_;
}

void find_sockets(int port, idle_connections::connection_list connections)
{
    const auto wanted = by_ends(connections);
    for_each_connection(port,
                        [&wanted](int socket, const connection_ends& ends)
                        {
                            if (const auto found = wanted.find(ends); found != wanted.end())
                            {
                                found->second->set_socket(socket);
                            }
                        });
}

int find_socket(const connection_ends& ends)
{
    int socket = -1;
    for_each_connection(ends.local_port,
                        [&](int found, const connection_ends& of)
                        {
                            socket = of == ends ? found : socket;
                        });
    return socket;
}

bool is_closed_by_peer(int socket) noexcept
{
    if (socket < 0)
    {
        return false;
    }
    pollfd polled{socket, POLLRDHUP, 0};
    if (::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
    {
        return true;
    }
    char next = 0;
    return ::recv(socket, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void end_wait(const served_connection& expired)
{
    if (expired.socket() >= 0)
    {
        ::shutdown(expired.socket(), SHUT_RD);
    }
}

void end_waits(int port, idle_connections::connection_list expired)
{
    find_sockets(port, expired);
    for (const served_connection* one : expired)
    {
        end_wait(*one);
    }
}

bool discard_unread(int socket)
{
    std::array<char, read_chunk> unread{};
    bool any = false;
    while (socket >= 0 && ::recv(socket, unread.data(), unread.size(), MSG_DONTWAIT) > 0)
    {
        any = true;
    }
    return any;
}

duration time_since_arrival(int socket) noexcept
{
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool known = socket >= 0 && ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return known ? milliseconds(info.tcpi_last_data_recv) : duration::zero();
}

bool answer_unread(const served_connection& closing, std::string_view response)
{
    return discard_unread(closing.socket()) && send_response(closing, response);
}

bool send_response(const served_connection& to, std::string_view response)
{
    (void)discard_unread(to.socket());
    return to.socket() >= 0 &&
           ::send(to.socket(), response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
}

void end_connection(const served_connection& answered)
{
    ::shutdown(answered.socket(), SHUT_RDWR);
}

std::size_t answer_queued(int port,
                          idle_connections::connection_list served,
                          duration min_wait,
                          std::string_view response)
{
    std::size_t answered = 0;
    const auto in_service = by_ends(served);
    for_each_connection(
        port,
        [&](int socket, const connection_ends& ends)
        {
            if (!in_service.contains(ends) && time_since_arrival(socket) >= min_wait &&
                discard_unread(socket) &&
                ::send(socket, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0)
            {
                ::shutdown(socket, SHUT_RDWR); // a thread that takes it later reads the end of the stream
                ++answered;
            }
        });
    return answered;
}

std::size_t answer_backlog(int listener, std::string_view response)
{
    std::size_t answered = 0;
    for (int socket = 0; listener >= 0 && socket >= 0;)
    {
        socket = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0)
        {
            answered +=
                discard_unread(socket) &&
                        ::send(socket, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0
                    ? 1
                    : 0;
            ::close(socket);
        }
    }
    return answered;
}

void stop_listening(int listener) noexcept
{
    (void)::shutdown(listener, SHUT_RD);
}

} // namespace plumspoke::http
