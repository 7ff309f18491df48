/// @file
/// @brief Whatever a server takes before its drain has ended gets a response: after the end, nobody sends
/// one.

#include "stopping_entry_fixture.hpp"

#include <algorithm>
#include <latch>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

using namespace plumspoke;

namespace
{

constexpr int drains = 5;
constexpr std::int64_t many_threads = 400;
constexpr std::size_t callers = 2;
constexpr auto pause_of_caller = milliseconds(1);
constexpr auto settle = milliseconds(100);

std::string make_request(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
}

/// @brief A server none of whose handlers ends, so that only its drain answers.
class hanging_server
{
  public:
    explicit hanging_server(std::int64_t threads)
    {
        options_.address = test::free_address();
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

std::string path_of(std::size_t caller, std::size_t number)
{
    return "/queue/" + std::to_string(caller) + "-" + std::to_string(number);
}

/// @brief Opens a connection and sends a text on it.
int send_on_new_connection(const std::string& address, const std::string& text)
{
    const int socket = test::connect_to(address);
    (void)::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    return socket;
}

/// @return number of responses that have arrived; the socket is closed
std::size_t count_responses(int socket)
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

} // namespace

TEST_CASE("a request that is taken while a drain ends gets a response")
{
    std::size_t unanswered = 0;
    for (int i = 0; i < drains; ++i)
    {
        hanging_server server(many_threads);
        std::atomic<bool> ended{false};
        std::array<std::vector<int>, callers> sockets;
        std::vector<std::thread> threads;
        for (std::size_t caller = 0; caller < callers; ++caller)
        {
            threads.emplace_back(
                [&own = sockets.at(caller), caller, &ended, &server]
                {
                    while (!ended)
                    {
                        own.push_back(send_on_new_connection(server.address(),
                                                             make_request(path_of(caller, own.size()))));
                        std::this_thread::sleep_for(pause_of_caller);
                    }
                });
        }
        server.wait_until_taken(1);
        server.drain();
        ended = true;
        for (std::thread& one : threads)
        {
            one.join();
        }
        std::this_thread::sleep_for(settle); // lets threads begin what they have read
        const std::set<std::string> taken = server.taken();
        for (std::size_t caller = 0; caller < callers; ++caller)
        {
            for (std::size_t number = 0; number < sockets.at(caller).size(); ++number)
            {
                const bool answered = count_responses(sockets.at(caller).at(number)) > 0;
                unanswered += taken.contains(path_of(caller, number)) && !answered ? 1 : 0;
            }
        }
    }
    CHECK(unanswered == 0);
}

TEST_CASE("a server whose drain has ended takes no request")
{
    hanging_server server(4);
    server.drain();
    const int socket = send_on_new_connection(server.address(), make_request("/queue/1"));
    std::this_thread::sleep_for(settle);
    CHECK(server.taken().empty());
    CHECK(test::is_closed(socket));
    ::close(socket);
}

TEST_CASE("two requests sent at once, for which no thread is free, get two responses at the end of a drain")
{
    hanging_server server(1);
    const int first = send_on_new_connection(server.address(), make_request("/queue/1"));
    server.wait_until_taken(1);
    const int queued =
        send_on_new_connection(server.address(), make_request("/queue/2") + make_request("/queue/3"));
    std::this_thread::sleep_for(settle);
    server.drain();
    CHECK(server.taken().size() == 1);
    CHECK(count_responses(queued) == 2);
    CHECK(count_responses(first) == 1);
}
