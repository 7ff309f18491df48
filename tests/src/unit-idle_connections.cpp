/// @file
/// @brief No request is lost without an answer because the server closes its idle connection meanwhile.

#include "plumspoke/http/idle_connections.hpp"
#include "plumspoke/http/server.hpp"

#include "silent_relay.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <latch>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace plumspoke;

namespace
{

constexpr std::int64_t keep_alive_ms = 1000;
const std::string request_text = "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

http::server_options make_options()
{
    http::server_options options;
    options.address = test::free_address();
    options.threads = 20;
    options.read_ms = 300;
    options.keep_alive_ms = keep_alive_ms;
    return options;
}

http::response reply(const http::request& /*received*/)
{
    return {};
}

/// @return the response, or an empty text if the connection was closed without one
std::string receive(int socket)
{
    std::array<char, 1024> got{};
    const ssize_t count = ::recv(socket, got.data(), got.size(), 0);
    return {got.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0))};
}

std::string ask(int socket)
{
    (void)::send(socket, request_text.data(), request_text.size(), MSG_NOSIGNAL);
    return receive(socket);
}

bool is_closed_within(int socket, milliseconds limit)
{
    const timeval timeout{limit.count() / 1000, static_cast<suseconds_t>(limit.count() % 1000 * 1000)};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    char byte = 0;
    return ::recv(socket, &byte, 1, 0) == 0;
}

/// @brief A connection that is idle in virtual time.
struct idle_connection
{
    static constexpr auto step = milliseconds(100);
    static constexpr auto timeout = milliseconds(1000);

    http::idle_connections all{{timeout, 2 * step, step}};
    http::served_connection& connection = all.add();
    time_point now = from_microseconds(1'000'000);

    idle_connection()
    {
        connection.begin_idle_period();
    }

    void advance(duration by)
    {
        now += by;
        all.check(now, [](http::idle_connections::connection_list) {});
    }

    /// @return whether the connection has expired
    bool wait(duration length)
    {
        for (duration waited{}; waited < length; waited += step)
        {
            advance(step);
        }
        return connection.expired();
    }
};

} // namespace

TEST_CASE("an idle connection expires after its timeout")
{
    idle_connection one;
    CHECK_FALSE(one.wait(milliseconds(900)));
    CHECK(one.wait(milliseconds(300)));
}

TEST_CASE("a request ends the idle period of its connection")
{
    idle_connection one;
    CHECK_FALSE(one.wait(milliseconds(900)));
    one.connection.begin_request();
    CHECK_FALSE(one.wait(seconds(30)));
    one.connection.begin_idle_period();
    CHECK_FALSE(one.wait(milliseconds(900)));
    CHECK(one.wait(milliseconds(300)));
}

TEST_CASE("a connection that served a request between two checks starts a new idle period")
{
    idle_connection one;
    CHECK_FALSE(one.wait(milliseconds(900)));
    one.connection.begin_request();
    one.connection.begin_idle_period();
    CHECK_FALSE(one.wait(milliseconds(900)));
}

TEST_CASE("a pause of the process does not count as idle time")
{
    idle_connection one;
    CHECK_FALSE(one.wait(milliseconds(500)));
    one.advance(seconds(30));
    CHECK_FALSE(one.wait(milliseconds(200)));
    CHECK(one.wait(milliseconds(300)));
}

TEST_CASE("a connection whose socket was not found is looked up again")
{
    idle_connection one;
    CHECK(one.wait(milliseconds(1200)));
    int lookups = 0;
    one.now += idle_connection::step;
    one.all.check(one.now,
                  [&lookups](http::idle_connections::connection_list expired)
                  {
                      ++lookups;
                      expired.front()->set_socket(1);
                  });
    one.now += idle_connection::step;
    one.all.check(one.now,
                  [&lookups](http::idle_connections::connection_list /*expired*/)
                  {
                      ++lookups;
                  });
    CHECK(lookups == 1);
}

TEST_CASE("no idle connection expires while the server drains")
{
    idle_connection one;
    one.all.begin_drain();
    CHECK_FALSE(one.wait(seconds(30)));
}

TEST_CASE("a server closes an idle connection after the timeout that it announced")
{
    const http::server_options options = make_options();
    http::server server(options, reply);
    REQUIRE(server.start());
    const int socket = test::connect_to(options.address);
    CHECK(ask(socket).find("\r\nKeep-Alive: timeout=1\r\n") != std::string::npos);
    CHECK_FALSE(is_closed_within(socket, milliseconds(keep_alive_ms)));
    CHECK(is_closed_within(socket, milliseconds(3 * keep_alive_ms)));
    ::close(socket);
}

TEST_CASE("a draining server answers requests on connections that were idle for longer than the timeout")
{
    const http::server_options options = make_options();
    http::server server(options, reply);
    REQUIRE(server.start());
    const int unused = test::connect_to(options.address);
    const int used = test::connect_to(options.address);
    REQUIRE(ask(used).starts_with("HTTP/1.1 200"));
    server.begin_drain();
    std::this_thread::sleep_for(milliseconds(3 * keep_alive_ms));
    CHECK(ask(unused).starts_with("HTTP/1.1 200"));
    CHECK(ask(used).starts_with("HTTP/1.1 200"));
    ::close(unused);
    ::close(used);
}

TEST_CASE("a connection without a request outlives the read timeout, and occupies no thread")
{
    const http::server_options options = make_options();
    http::server server(options, reply);
    REQUIRE(server.start());
    const int socket = test::connect_to(options.address);
    std::this_thread::sleep_for(milliseconds(3 * options.read_ms));
    CHECK(server.open_connections() == 0);
    CHECK(ask(socket).starts_with("HTTP/1.1 200"));
    ::close(socket);
}

TEST_CASE("a request that arrives while its idle connection is being closed is answered")
{
    constexpr std::ptrdiff_t count = 12;
    std::latch closing(count);
    std::latch sent(1);
    http::server_options options = make_options();
    options.before_idle_close = [&closing, &sent]
    {
        closing.count_down();
        sent.wait();
    };
    http::server server(options, reply);
    REQUIRE(server.start());
    std::vector<int> sockets;
    for (std::ptrdiff_t i = 0; i < count; ++i)
    {
        sockets.push_back(test::connect_to(options.address));
        CHECK(ask(sockets.back()).starts_with("HTTP/1.1 200"));
    }
    closing.wait();
    for (const int socket : sockets)
    {
        CHECK(::send(socket, request_text.data(), request_text.size(), MSG_NOSIGNAL) > 0);
    }
    sent.count_down();
    for (const int socket : sockets)
    {
        CHECK(receive(socket).starts_with("HTTP/1.1 408"));
        ::close(socket);
    }
    server.stop();
    CHECK(server.counts().late_requests == static_cast<std::uint64_t>(count));
}
