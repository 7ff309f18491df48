// Exchanges over real sockets with faulty endpoints: the reported error, progress and reusability.

#include "plumspoke/endpoint/connection.hpp"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace
{

using namespace plumspoke;
using namespace plumspoke::endpoint;

constexpr std::size_t max_answer = 4096;

/// Listens on a free port and calls `handle_connection` with each accepted socket.
class fake_endpoint
{
  public:
    explicit fake_endpoint(std::function<void(int)> handle_connection)
        : handle_connection_(std::move(handle_connection))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
        ::listen(listener_, 16);
        socklen_t size = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread(
            [this]
            {
                run();
            });
    }
    ~fake_endpoint()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

  private:
    void run()
    {
        for (int accepted = ::accept(listener_, nullptr, nullptr); accepted >= 0;
             accepted = ::accept(listener_, nullptr, nullptr))
        {
            handle_connection_(accepted);
            ::close(accepted);
        }
    }

    std::function<void(int)> handle_connection_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

void read_request(int socket)
{
    char bytes[2048];
    (void)!::recv(socket, bytes, sizeof bytes, 0);
}

void send_text(int socket, const std::string& text)
{
    (void)!::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
}

/// Waits until the peer has closed or reset the connection.
void wait_for_close(int socket)
{
    char byte = 0;
    while (::recv(socket, &byte, 1, 0) > 0)
    {
    }
}

exchange_result exchange_with(const std::string& address, duration limit = seconds(5))
{
    connection self;
    exchange_result result;
    const time_point deadline = boot_clock::now() + limit;
    result.error = self.connect(address, deadline);
    if (!result.error)
    {
        result = self.exchange("GET / HTTP/1.1\r\nHost: x\r\n\r\n", deadline, max_answer);
    }
    return result;
}

} // namespace

TEST_CASE("exchange with an endpoint")
{
    SECTION("returns the complete answer when it arrives in fragments")
    {
        const fake_endpoint other(
            [](int socket)
            {
                read_request(socket);
                for (const char letter :
                     std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Mark: a\r\n\r\nhello"))
                {
                    send_text(socket, std::string(1, letter));
                }
            });
        const exchange_result result = exchange_with(other.address());
        CHECK_FALSE(result.error);
        CHECK(result.answer.body == "hello");
        CHECK(http::find_header(result.answer.headers, "x-mark") == "a");
        CHECK(result.reusable);
    }
    SECTION("accepts chunked answers and answers delimited by the end of the connection")
    {
        const fake_endpoint chunked(
            [](int socket)
            {
                read_request(socket);
                send_text(socket,
                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
            });
        CHECK(exchange_with(chunked.address()).answer.body == "hello");
        const fake_endpoint closing(
            [](int socket)
            {
                read_request(socket);
                send_text(socket, "HTTP/1.1 200 OK\r\n\r\nuntil the end");
            });
        const exchange_result result = exchange_with(closing.address());
        CHECK(result.answer.body == "until the end");
        CHECK_FALSE(result.reusable);
    }
    SECTION("reports that nothing was sent if the connection is refused")
    {
        std::string address;
        {
            const fake_endpoint gone([](int) {});
            address = gone.address();
        }
        const exchange_result result = exchange_with(address);
        CHECK(result.error == errc::connect_refused);
        CHECK(result.reached == progress::nothing_sent);
    }
    SECTION("times out at the deadline without an answer and reports that the request was sent")
    {
        const fake_endpoint silent(&wait_for_close);
        const exchange_result result = exchange_with(silent.address(), milliseconds(50));
        CHECK(result.error == errc::answer_timeout);
        CHECK(result.reached == progress::sent);
    }
    SECTION("times out at the deadline if the body stalls")
    {
        const fake_endpoint stalling(
            [](int socket)
            {
                read_request(socket);
                send_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nonly this");
                wait_for_close(socket);
            });
        CHECK(exchange_with(stalling.address(), milliseconds(50)).error == errc::answer_timeout);
    }
    SECTION("fails if the connection is closed before, within or after the header")
    {
        const fake_endpoint before(&read_request);
        CHECK(exchange_with(before.address()).error == errc::closed_before_answer);
        const fake_endpoint within(
            [](int socket)
            {
                read_request(socket);
                send_text(socket, "HTTP/1.1 200 OK\r\nContent-Le");
            });
        CHECK(exchange_with(within.address()).error == errc::truncated_answer);
        const fake_endpoint after(
            [](int socket)
            {
                read_request(socket);
                send_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel");
            });
        const exchange_result result = exchange_with(after.address());
        CHECK(result.error == errc::truncated_answer);
        CHECK(result.reached == progress::sent);
        CHECK(result.answer.body.empty());
    }
    SECTION("reports that the request was sent if the connection is reset")
    {
        const fake_endpoint resetting(
            [](int socket)
            {
                read_request(socket);
                const linger reset{1, 0};
                ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            });
        const exchange_result result = exchange_with(resetting.address());
        CHECK(result.error);
        CHECK(result.reached == progress::sent);
    }
    SECTION("rejects an answer that is not HTTP or exceeds the size limit")
    {
        const fake_endpoint garbage(
            [](int socket)
            {
                read_request(socket);
                send_text(socket, "220 smtp.example ready\r\n\r\n");
            });
        CHECK(exchange_with(garbage.address()).error == errc::garbled_answer);
        const fake_endpoint large(
            [](int socket)
            {
                read_request(socket);
                send_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'));
            });
        CHECK(exchange_with(large.address()).error.message() ==
              make_error_code(errc::answer_too_large).message());
    }
    SECTION("does not reuse a connection with a second answer, which must not be matched to another request")
    {
        const fake_endpoint twice(
            [](int socket)
            {
                read_request(socket);
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
                send_text(socket, answer + answer);
                wait_for_close(socket);
            });
        const exchange_result result = exchange_with(twice.address());
        CHECK_FALSE(result.error);
        CHECK_FALSE(result.reusable);
    }
    SECTION("returns a stale answer that arrives on a reused connection")
    {
        const fake_endpoint late(
            [](int socket)
            {
                read_request(socket);
                send_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
                char byte = 0;
                (void)!::recv(socket, &byte, 1, MSG_PEEK); // blocks until the second request arrives
                send_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
                wait_for_close(socket);
            });
        connection self;
        const time_point deadline = boot_clock::now() + seconds(5);
        REQUIRE_FALSE(self.connect(late.address(), deadline));
        const exchange_result first = self.exchange("GET / HTTP/1.1\r\n\r\n", deadline, max_answer);
        CHECK(first.reusable);
        CHECK(self.is_idle_and_open());
        // On the second request, the endpoint answers the first one again.
        const exchange_result second = self.exchange("GET /2 HTTP/1.1\r\n\r\n", deadline, max_answer);
        CHECK(second.answer.body == "late"); // an entry rejects it by the request id, see unit-whole_path.cpp
    }
}
