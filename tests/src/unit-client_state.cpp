/// @file
/// @brief What a handler learns about the client of its request.
///
/// Guards against an order that is carried out although its operator has closed the connection and gone on.

#include "plumspoke/http/server.hpp"

#include "silent_relay.hpp"

#include <catch2/catch.hpp>
#include <future>

using namespace plumspoke;

namespace
{

constexpr std::string_view request_text = "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
constexpr auto handling_time = milliseconds(300);

/// @brief A server whose handler reads the state of its client at its start and after some time.
class slow_server
{
  public:
    slow_server()
        : http_(make_options(address),
                [this](const http::request& received)
                {
                    const http::client_state before = received.read_client_state();
                    std::this_thread::sleep_for(handling_time);
                    seen_.set_value({before, received.read_client_state()});
                    return http::response();
                })
    {
        REQUIRE(http_.start());
    }

    [[nodiscard]] std::pair<http::client_state, http::client_state> seen()
    {
        return seen_.get_future().get();
    }

    std::string address = test::free_address();

  private:
    static http::server_options make_options(const std::string& address)
    {
        http::server_options out;
        out.address = address;
        out.threads = 2;
        return out;
    }

    std::promise<std::pair<http::client_state, http::client_state>> seen_;
    http::server http_;
};

int send_request(const std::string& address)
{
    const int socket = test::connect_to(address);
    REQUIRE(::send(socket, request_text.data(), request_text.size(), MSG_NOSIGNAL) > 0);
    return socket;
}

} // namespace

TEST_CASE("a client that waits is connected, and its request ages")
{
    slow_server server;
    const int socket = send_request(server.address);
    const auto [before, after] = server.seen();
    CHECK(before.connected);
    CHECK(after.connected);
    CHECK(after.max_request_age >= handling_time);
    CHECK(after.max_request_age >= before.max_request_age + handling_time - milliseconds(10));
    ::close(socket);
}

TEST_CASE("a client that has closed its connection is not connected")
{
    slow_server server;
    const int socket = send_request(server.address);
    std::this_thread::sleep_for(handling_time / 3);
    ::close(socket);
    const auto [before, after] = server.seen();
    CHECK(before.connected);
    CHECK_FALSE(after.connected);
}

TEST_CASE("a client that has closed its side only is not connected")
{
    slow_server server;
    const int socket = send_request(server.address);
    ::shutdown(socket, SHUT_WR);
    CHECK_FALSE(server.seen().second.connected);
    ::close(socket);
}
