#pragma once

/// @file
/// @brief A server whose requests only its drain answers, and clients that send without waiting.

#include "plumspoke/http/server.hpp"

#include "stopping_entry_fixture.hpp"

#include <algorithm>
#include <latch>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace plumspoke::test
{

constexpr auto settle = milliseconds(100);

inline std::string make_request(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
}

/// @brief A server none of whose handlers ends, so that only its drain answers.
class hanging_server
{
  public:
    explicit hanging_server(std::int64_t threads)
    {
        options_.address = free_address();
        options_.threads = threads;
        server_ = std::make_unique<http::server>(options_,
                                                 [this](const http::request& received)
                                                 {
                                                     take(received.path);
                                                     released_.wait();
                                                     return http::response();
                                                 });
        REQUIRE(server_->start());
    }
    hanging_server(const hanging_server&) = delete;
    hanging_server& operator=(const hanging_server&) = delete;
    ~hanging_server()
    {
        released_.count_down();
    }

    void wait_until_taken(std::size_t requests) const
    {
        while (taken().size() < requests)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    void drain()
    {
        server_->begin_drain();
        (void)server_->finish_drain(boot_clock::now(), settle);
    }

    [[nodiscard]] const std::string& address() const noexcept
    {
        return options_.address;
    }
    /// @return the paths of the requests that a handler has begun
    [[nodiscard]] std::set<std::string> taken() const
    {
        const std::lock_guard lock(mutex_);
        return taken_;
    }

  private:
    void take(const std::string& path)
    {
        const std::lock_guard lock(mutex_);
        taken_.insert(path);
    }

    http::server_options options_;
    std::latch released_{1};
    mutable std::mutex mutex_;
    std::set<std::string> taken_;
    std::unique_ptr<http::server> server_; // its threads use the other members
};

/// @brief Opens a connection and sends a text on it.
inline int send_on_new_connection(const std::string& address, const std::string& text)
{
    const int socket = connect_to(address);
    (void)::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    return socket;
}

/// @return number of responses that have arrived; the socket is closed
inline std::size_t count_responses(int socket)
{
    std::array<char, 4096> got{};
    const ssize_t count = ::recv(socket, got.data(), got.size(), MSG_DONTWAIT);
    ::close(socket);
    const std::string_view text(got.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    constexpr std::string_view start = "HTTP/1.1 ";
    std::size_t out = 0;
    for (std::size_t at = text.find(start); at != std::string_view::npos; at = text.find(start, at + 1))
    {
        ++out;
    }
    return out;
}

} // namespace plumspoke::test
