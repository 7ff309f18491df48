/// @file
/// @brief Clients that don't close a connection whose end was announced don't keep threads from other
/// callers.

#include "stopping_entry_fixture.hpp"

#include <algorithm>
#include <functional>
#include <poll.h>
#include <string>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <vector>

using namespace plumspoke;

namespace
{

constexpr std::size_t few_threads = 4;
constexpr std::size_t many_files = 1200;
constexpr rlim_t files_needed = 4000;
constexpr auto answer_limit = milliseconds(500);
constexpr auto time_of_drain = milliseconds(1000);
constexpr std::size_t min_served = 100; // in that time
const std::string request_text = "GET /queue/1 HTTP/1.1\r\nHost: x.example\r\nContent-Length: 0\r\n\r\n";

http::server_options make_options(std::int64_t max_queued_ms = 0)
{
    http::server_options out;
    out.address = test::free_address();
    out.threads = few_threads;
    out.max_queued_ms = max_queued_ms;
    return out;
}

int send_request(const std::string& address)
{
    const int socket = test::connect_to(address);
    REQUIRE(::send(socket, request_text.data(), request_text.size(), MSG_NOSIGNAL) > 0);
    return socket;
}

/// @return whether anything, or the end of the stream, arrives in time
bool wait_for_data(int socket, milliseconds limit)
{
    pollfd waiting{socket, POLLIN, 0};
    return ::poll(&waiting, 1, static_cast<int>(limit.count())) == 1;
}

/// @brief Files that are opened, and closed by the destructor.
class open_files
{
  public:
    explicit open_files(const std::function<int()>& open)
    {
        rlimit files{};
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &files) == 0);
        files.rlim_cur = std::max(files.rlim_cur, files_needed);
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &files) == 0);
        while (files_.size() < many_files)
        {
            files_.push_back(open());
            REQUIRE(files_.back() >= 0);
        }
    }
    open_files(const open_files&) = delete;
    open_files& operator=(const open_files&) = delete;
    ~open_files()
    {
        close();
    }
    void close()
    {
        std::for_each(files_.begin(), files_.end(), &::close);
        files_.clear();
    }

  private:
    std::vector<int> files_;
};

int open_event()
{
    return ::eventfd(0, 0);
}

} // namespace

TEST_CASE("a caller is answered while other clients keep connections that the server has ended")
{
    open_files below(&open_event);
    const http::server_options options = make_options();
    http::server server(options,
                        [](const http::request& /*received*/)
                        {
                            return http::response();
                        });
    REQUIRE(server.start());
    server.begin_drain();
    std::vector<int> kept;
    for (std::size_t i = 0; i < few_threads; ++i)
    {
        kept.push_back(send_request(options.address));
        CHECK(wait_for_data(kept.back(), answer_limit));
    }
    SECTION("beside many files that aren't sockets")
    {
    }
    SECTION("above many files that have been closed")
    {
        below.close();
    }
    const int caller = send_request(options.address);
    CHECK(wait_for_data(caller, answer_limit));
    ::close(caller);
    std::for_each(kept.begin(), kept.end(), &::close);
}

TEST_CASE("clients that wait for the server to close are served at a steady rate")
{
    const http::server_options options = make_options();
    http::server server(options,
                        [](const http::request& /*received*/)
                        {
                            return http::response();
                        });
    REQUIRE(server.start());
    server.begin_drain();
    std::atomic<std::size_t> served{0};
    const time_point end = boot_clock::now() + time_of_drain;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 4 * few_threads; ++i)
    {
        clients.emplace_back(
            [&served, &options, end]
            {
                while (boot_clock::now() < end)
                {
                    const int socket = test::connect_to(options.address);
                    (void)::send(socket, request_text.data(), request_text.size(), MSG_NOSIGNAL);
                    std::array<char, 512> got{};
                    while (::recv(socket, got.data(), got.size(), 0) > 0)
                    {
                    }
                    ::close(socket);
                    ++served;
                }
            });
    }
    for (std::thread& one : clients)
    {
        one.join();
    }
    CHECK(served >= min_served);
}

TEST_CASE("the time in the queue is measured for each request of a burst")
{
    constexpr std::size_t burst = 800; // more than the server's own queue holds
    constexpr auto held = milliseconds(600);
    std::atomic<bool> released{false};
    std::atomic<std::size_t> handled{0};
    std::atomic<std::size_t> unmeasured{0};
    const http::server_options options = make_options(60'000);
    http::server server(options,
                        [&](const http::request& received)
                        {
                            while (!released)
                            {
                                std::this_thread::sleep_for(milliseconds(1));
                            }
                            ++handled;
                            unmeasured += received.was_queued && received.queued_for < held / 2 ? 1 : 0;
                            return http::response();
                        });
    REQUIRE(server.start());
    std::vector<int> sockets;
    while (sockets.size() < burst)
    {
        sockets.push_back(send_request(options.address));
    }
    std::this_thread::sleep_for(held);
    released = true;
    for (const int socket : sockets)
    {
        CHECK(wait_for_data(socket, seconds(10)));
        ::close(socket);
    }
    CHECK(handled == burst);
    CHECK(unmeasured == 0);
}
