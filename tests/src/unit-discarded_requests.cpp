/// @file
/// @brief A request that arrives before the response to its predecessor is answered too if the server closes
/// the connection with that response.

#include "stopping_entry_fixture.hpp"

#include <algorithm>
#include <latch>
#include <string>
#include <vector>

using namespace plumspoke;

namespace
{

constexpr auto response_timeout = milliseconds(500);
const std::string request_text =
    "GET /queue/1 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
const std::string half_of_head = "GET /queue/1 HTTP/1.1\r\nHost: x.exa";

/// @brief A server whose handler can be held, and one client connection.
class held_server
{
  public:
    explicit held_server(std::int64_t threads = 8, std::int64_t keep_alive_ms = 5000)
    {
        options_.address = test::free_address();
        options_.threads = threads;
        options_.keep_alive_ms = keep_alive_ms;
        server_ = std::make_unique<http::server>(options_,
                                                 [this](const http::request& /*received*/)
                                                 {
                                                     ++handled_;
                                                     released_.wait();
                                                     return http::response();
                                                 });
        REQUIRE(server_->start());
        client_ = test::connect_to(options_.address);
    }
    held_server(const held_server&) = delete;
    held_server& operator=(const held_server&) = delete;
    ~held_server()
    {
        ::close(client_);
    }

    void send(const std::string& text) const
    {
        REQUIRE(::send(client_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
        std::this_thread::sleep_for(milliseconds(50)); // so that it is a segment of its own, and read
    }

    void release()
    {
        released_.count_down();
    }

    /// @return the statuses of all responses, read until the connection is closed
    [[nodiscard]] std::vector<int> read_statuses() const
    {
        std::string got;
        std::array<char, 4096> chunk{};
        const time_point limit = boot_clock::now() + response_timeout;
        while (boot_clock::now() < limit)
        {
            const ssize_t count = ::recv(client_, chunk.data(), chunk.size(), MSG_DONTWAIT);
            if (count == 0)
            {
                break;
            }
            got.append(chunk.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
            std::this_thread::sleep_for(milliseconds(count > 0 ? 0 : 5));
        }
        std::vector<int> out;
        const std::string start = "HTTP/1.1 ";
        for (std::size_t at = got.find(start); at != std::string::npos; at = got.find(start, at + 1))
        {
            out.push_back(std::atoi(got.c_str() + at + start.size()));
        }
        return out;
    }

    [[nodiscard]] http::server& server() noexcept
    {
        return *server_;
    }
    [[nodiscard]] int handled() const noexcept
    {
        return handled_;
    }

  private:
    http::server_options options_;
    std::latch released_{1};
    std::atomic<int> handled_{0};
    int client_ = -1;
    std::unique_ptr<http::server> server_; // its threads use the other members
};

} // namespace

TEST_CASE("a request sent before the last response of a draining connection is refused, not discarded")
{
    held_server held;
    SECTION("together with its predecessor")
    {
        held.server().begin_drain();
        held.send(request_text + request_text + request_text);
        held.release();
        CHECK(held.read_statuses() == std::vector{200, 503, 503});
    }
    SECTION("while its predecessor is served")
    {
        held.send(request_text);
        held.server().begin_drain();
        held.send(request_text);
        held.release();
        CHECK(held.read_statuses() == std::vector{200, 503});
    }
    SECTION("in part")
    {
        held.server().begin_drain();
        held.send(request_text + half_of_head);
        held.release();
        CHECK(held.read_statuses() == std::vector{200, 503});
    }
    CHECK(held.handled() == 1);
}

TEST_CASE("a request sent before the last response of a connection is refused if threads run short")
{
    held_server held(1);
    held.send(request_text);
    held.send(request_text);
    held.release();
    CHECK(held.read_statuses() == std::vector{200, 503});
    CHECK(held.handled() == 1);
}

TEST_CASE("a connection is closed with its last response if nothing else has arrived")
{
    held_server held(1);
    held.send(request_text);
    held.release();
    const time_point asked_at = boot_clock::now();
    CHECK(held.read_statuses() == std::vector{200});
    CHECK(boot_clock::now() - asked_at < response_timeout / 2);
    CHECK(held.server().open_connections() == 0);
}
