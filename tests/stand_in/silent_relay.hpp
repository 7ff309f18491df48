#pragma once

/// @file
/// @brief A TCP relay on loopback that can stop forwarding on its open connections while new ones work.

#include "free_address.hpp"
#include "plumspoke/time/time.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <poll.h>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace plumspoke::test
{

/// @brief Parses an address such as 127.0.0.1:7000.
inline sockaddr_in socket_address(const std::string& text)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    (void)::inet_pton(AF_INET, text.substr(0, text.find(':')).c_str(), &out.sin_addr);
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1))));
    return out;
}

/// @brief Opens a TCP connection to a loopback address and returns its socket.
inline int connect_to(const std::string& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in target = socket_address(address);
    (void)::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    return socket;
}

/// @brief Whether the peer has closed a connection on which nothing is unread.
inline bool is_closed(int socket)
{
    char byte = 0;
    const auto got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN);
}

/// @brief Forwards bytes between its clients and one target.
class silent_relay
{
  public:
    explicit silent_relay(std::string target) : target_(std::move(target)), address_(free_address())
    {
        const sockaddr_in address = socket_address(address_);
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int yes = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        (void)::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        (void)::listen(listener_, SOMAXCONN);
        thread_ = std::thread(
            [this]
            {
                run();
            });
    }
    silent_relay(const silent_relay&) = delete;
    silent_relay& operator=(const silent_relay&) = delete;
    ~silent_relay()
    {
        stopping_ = true;
        thread_.join();
        for (const relayed_connection& one : open_connections_)
        {
            close(one);
        }
        ::close(listener_);
    }

    [[nodiscard]] const std::string& address() const noexcept
    {
        return address_;
    }

    /// @brief Number of connections accepted and connected to the target so far.
    [[nodiscard]] int connections() const noexcept
    {
        return connections_;
    }

    /// @brief Stops forwarding on all open connections without closing them, so neither peer notices.
    void go_silent()
    {
        const std::lock_guard lock(mutex_);
        for (relayed_connection& one : open_connections_)
        {
            one.silent = true;
        }
    }

    /// @brief Whether connections accepted from now on are silent from their start.
    void accept_silently(bool silent) noexcept
    {
        accepts_silently_ = silent;
    }

    /// @brief How long each connection accepted from now on forwards nothing at first, as on a distant link.
    void delay_connections(milliseconds delay) noexcept
    {
        delay_ = delay;
    }

    /// @brief How much later all bytes read from now on arrive, as on a slow link.
    void delay_bytes(milliseconds delay) noexcept
    {
        byte_delay_ = delay;
    }

    /// @brief Returns whether the target has closed all connections that went silent.
    [[nodiscard]] bool target_closed_silent_connections()
    {
        const std::lock_guard lock(mutex_);
        return std::none_of(open_connections_.begin(),
                            open_connections_.end(),
                            [](const relayed_connection& one)
                            {
                                pollfd end{one.sockets[1], POLLRDHUP, 0};
                                return one.silent && ::poll(&end, 1, 0) == 0;
                            });
    }

  private:
    struct delayed_chunk
    {
        time_point due;
        std::string bytes;
    };

    struct relayed_connection
    {
        std::array<int, 2> sockets{-1, -1};
        std::array<std::deque<delayed_chunk>, 2> delayed; // by the socket that they were read from
        bool silent = false;
        bool closed = false;
        time_point forwards_from{};

        [[nodiscard]] bool forwards(time_point now) const noexcept
        {
            return !silent && now >= forwards_from;
        }
    };

    static constexpr int poll_ms = 2;

    static void close(const relayed_connection& one)
    {
        for (const int end : one.sockets)
        {
            ::close(end);
        }
    }

    void run()
    {
        while (!stopping_)
        {
            std::vector<pollfd> watched{{listener_, POLLIN, 0}};
            {
                const std::lock_guard lock(mutex_);
                std::erase_if(open_connections_,
                              [](const relayed_connection& one)
                              {
                                  if (one.closed)
                                  {
                                      close(one);
                                  }
                                  return one.closed;
                              });
                const time_point now = boot_clock::now();
                for (const relayed_connection& one : open_connections_)
                {
                    watched.push_back({one.forwards(now) ? one.sockets[0] : -1, POLLIN, 0});
                    watched.push_back({one.forwards(now) ? one.sockets[1] : -1, POLLIN, 0});
                }
            }
            (void)::poll(watched.data(), watched.size(), poll_ms);
            const std::lock_guard lock(mutex_);
            for (relayed_connection& one : open_connections_)
            {
                send_due(one);
            }
            for (std::size_t i = 1; i < watched.size(); ++i)
            {
                relayed_connection& one = open_connections_[(i - 1) / 2];
                if (watched[i].revents != 0 && !one.silent && !one.closed)
                {
                    forward(one, (i - 1) % 2);
                }
            }
            if (watched.front().revents != 0)
            {
                accept_connection();
            }
        }
    }

    void accept_connection()
    {
        relayed_connection added;
        added.sockets[0] = ::accept(listener_, nullptr, nullptr);
        added.sockets[1] = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in to = socket_address(target_);
        if (::connect(added.sockets[1], reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
        {
            close(added);
            return;
        }
        ++connections_;
        added.silent = accepts_silently_;
        added.forwards_from = boot_clock::now() + delay_.load();
        open_connections_.push_back(added);
    }

    static void send_due(relayed_connection& one)
    {
        for (std::size_t from = 0; from < one.delayed.size(); ++from)
        {
            std::deque<delayed_chunk>& chunks = one.delayed.at(from);
            while (!one.silent && !one.closed && !chunks.empty() && chunks.front().due <= boot_clock::now())
            {
                one.closed = !send(one, from, chunks.front().bytes);
                chunks.pop_front();
            }
        }
    }

    [[nodiscard]] static bool send(const relayed_connection& one, std::size_t from, std::string_view bytes)
    {
        return ::send(one.sockets.at(1 - from), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }

    void forward(relayed_connection& one, std::size_t from) const
    {
        std::array<char, 64 * 1024> chunk{};
        const ssize_t count = ::recv(one.sockets.at(from), chunk.data(), chunk.size(), 0);
        if (count <= 0)
        {
            one.closed = true;
            return;
        }
        const std::string_view bytes(chunk.data(), static_cast<std::size_t>(count));
        const milliseconds delay = byte_delay_;
        if (delay == milliseconds(0))
        {
            one.closed = !send(one, from, bytes);
            return;
        }
        one.delayed.at(from).push_back({boot_clock::now() + delay, std::string(bytes)});
    }

    std::string target_;
    std::string address_;
    int listener_ = -1;
    std::mutex mutex_;
    std::vector<relayed_connection> open_connections_;
    std::atomic<int> connections_{0};
    std::atomic<bool> accepts_silently_{false};
    std::atomic<milliseconds> delay_{milliseconds(0)};
    std::atomic<milliseconds> byte_delay_{milliseconds(0)};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace plumspoke::test
