/// @file
/// @brief An entry answers every request that it takes after SIGTERM, however its clients and its leader
/// behave.

#include "draining_entry_fixture.hpp"

#include <latch>

using namespace plumspoke;

namespace
{

constexpr std::size_t few_threads = 4;
const std::string request_text =
    "GET /queue/1 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
const std::string without_body = "POST /queue/0 HTTP/1.1\r\nHost: x.example\r\nContent-Length: 1\r\n\r\n";

/// @brief Opens a connection and sends a text on it.
int send_on_new_connection(const std::string& address, const std::string& text)
{
    const int socket = test::connect_to(address);
    REQUIRE(::send(socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    return socket;
}

/// @return the status of a response that has arrived, or 0
int received_status(int socket)
{
    std::array<char, 1024> got{};
    const ssize_t count = ::recv(socket, got.data(), got.size() - 1, MSG_DONTWAIT);
    constexpr std::size_t status_at = std::string_view("HTTP/1.1 ").size();
    return count > 0 ? std::atoi(got.data() + status_at) : 0;
}

void check(const test::drain_load& load)
{
    const test::drain_outcome out = test::run_drain(load);
    CAPTURE(load.seed, load.clients, load.threads, load.leader_answers, load.reuse, out.sent_in_drain);
    for (const std::string& line : out.unanswered_log)
    {
        UNSCOPED_INFO(line);
    }
    CHECK(out.unanswered == 0);
    CHECK(out.stop_took < seconds(6));
    CHECK(out.sent_in_drain > load.clients / 2);
}

} // namespace

TEST_CASE("a request that waits for a thread while an entry stops is answered")
{
    settings::job_settings settings = test::entry_settings();
    settings.http_threads = few_threads;
    const platform::callers callers;
    job_server::entry_server entry(
        settings,
        [nobody = test::free_address()]
        {
            return std::vector<std::string>{nobody};
        },
        callers);
    REQUIRE_FALSE(entry.start());
    std::thread stop(
        [&entry]
        {
            entry.stop();
        });
    std::this_thread::sleep_for(seconds(2));
    std::vector<int> incomplete;
    for (std::size_t i = 0; i < few_threads; ++i)
    {
        incomplete.push_back(send_on_new_connection(settings.listen, without_body));
    }
    std::this_thread::sleep_for(milliseconds(100)); // all threads wait for a body now
    std::vector<int> queued;
    for (std::size_t i = 0; i < 2 * few_threads; ++i)
    {
        queued.push_back(send_on_new_connection(settings.listen, request_text));
    }
    stop.join();
    for (const int socket : queued)
    {
        CHECK(received_status(socket) == 503);
        ::close(socket);
    }
    for (const int socket : incomplete)
    {
        ::close(socket);
    }
}

TEST_CASE("clients that use an entry until it has stopped get a response to each request")
{
    SECTION("on connections that they keep, while the leader hangs")
    {
        check({.leader_answers = false});
    }
    SECTION("on new connections, while the leader hangs")
    {
        check({.reuse = 0, .leader_answers = false});
    }
    SECTION("on five connections a thread")
    {
        check({.clients = 120, .reuse = 0.5});
    }
}

TEST_CASE("a request whose handler hangs at the end of a drain is answered")
{
    std::latch released(1);
    http::server_options options;
    options.address = test::free_address();
    options.threads = few_threads;
    http::server server(options,
                        [&released](const http::request& /*received*/)
                        {
                            released.wait();
                            return http::response();
                        });
    REQUIRE(server.start());
    const int socket = send_on_new_connection(options.address, request_text);
    std::this_thread::sleep_for(milliseconds(100));
    server.begin_drain();
    const http::drain_result left =
        server.finish_drain(boot_clock::now() + milliseconds(200), milliseconds(100));
    CHECK(left.in_flight == 1);
    CHECK(received_status(socket) == 504);
    released.count_down();
    ::close(socket);
}

TEST_CASE("a drain closes idle connections at its end, and does not wait for its limit")
{
    http::server_options options;
    options.address = test::free_address();
    http::server server(options,
                        [](const http::request& /*received*/)
                        {
                            return http::response();
                        });
    REQUIRE(server.start());
    const int socket = send_on_new_connection(options.address, request_text);
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(received_status(socket) == 200);
    server.begin_drain();
    const time_point began_at = boot_clock::now();
    const http::drain_result left = server.finish_drain(began_at + seconds(5), milliseconds(100));
    CHECK(boot_clock::now() - began_at < seconds(2));
    CHECK(left.in_flight + left.queued == 0);
    CHECK(server.open_connections() == 0);
    CHECK(test::is_closed(socket));
    ::close(socket);
}

TEST_CASE("requests on connections that are not accepted yet are answered at the end of a drain")
{
    constexpr std::size_t more_than_queue = 400;
    std::latch released(1);
    http::server_options options;
    options.address = test::free_address();
    options.threads = few_threads;
    http::server server(options,
                        [&released](const http::request& /*received*/)
                        {
                            released.wait();
                            return http::response();
                        });
    REQUIRE(server.start());
    std::vector<int> sockets;
    for (std::size_t i = 0; i < more_than_queue; ++i)
    {
        sockets.push_back(send_on_new_connection(options.address, request_text));
    }
    while (server.in_flight() < static_cast<std::int64_t>(few_threads))
    {
        std::this_thread::sleep_for(milliseconds(5));
    }
    server.begin_drain();
    const http::drain_result left =
        server.finish_drain(boot_clock::now() + milliseconds(200), milliseconds(100));
    CHECK(left.in_flight == few_threads);
    CHECK(left.queued == more_than_queue - few_threads);
    std::size_t unanswered = 0;
    for (const int socket : sockets)
    {
        const int status = received_status(socket);
        unanswered += status == 503 || status == 504 ? 0 : 1;
    }
    CHECK(unanswered == 0);
    released.count_down();
    for (const int socket : sockets)
    {
        ::close(socket);
    }
}
