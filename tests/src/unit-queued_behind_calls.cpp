/// @file
/// @brief A request that waits for a thread, behind calls that hang, is answered within its own deadline.

#include "draining_entry_fixture.hpp"

#include <latch>
#include <poll.h>

using namespace plumspoke;

namespace
{

constexpr std::size_t few_threads = 4;
constexpr std::size_t queued_requests = 8;
constexpr auto scheduling_margin = milliseconds(400);

std::string make_request(std::int64_t deadline_ms)
{
    return "GET /queue/1 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nContent-Length: 0\r\n\r\n";
}

/// @brief Connections with one request each, sent by the constructor.
class sent_requests
{
  public:
    sent_requests(const std::string& address, std::size_t count, const std::string& text)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            sockets_.push_back(test::connect_to(address));
            REQUIRE(::send(sockets_.back(), text.data(), text.size(), MSG_NOSIGNAL) ==
                    static_cast<ssize_t>(text.size()));
        }
        sent_at_ = boot_clock::now();
    }
    sent_requests(const sent_requests&) = delete;
    sent_requests& operator=(const sent_requests&) = delete;
    ~sent_requests()
    {
        for (const int socket : sockets_)
        {
            ::close(socket);
        }
    }

    /// @return number of requests answered with this status within a time from their sending
    [[nodiscard]] std::size_t count_answered(int status, duration within) const
    {
        std::size_t count = 0;
        for (const int socket : sockets_)
        {
            const auto left =
                std::chrono::duration_cast<milliseconds>(sent_at_ + within - boot_clock::now()).count();
            pollfd waiting{socket, POLLIN, 0};
            std::array<char, 1024> got{};
            if (::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(left, 0))) == 1 &&
                ::recv(socket, got.data(), got.size() - 1, MSG_DONTWAIT) > 0)
            {
                const std::string_view text(got.data());
                count += text.starts_with("HTTP/1.1 " + std::to_string(status)) &&
                                 (status != 503 || text.find("Retry-After: ") != std::string_view::npos)
                             ? 1
                             : 0;
            }
        }
        return count;
    }

  private:
    std::vector<int> sockets_;
    time_point sent_at_{};
};

/// @brief An entry with few threads, whose leader takes calls and never answers them.
struct hanging_entry
{
    test::scripted_leader leader{false};
    settings::job_settings settings = make_settings();
    platform::callers callers;
    job_server::entry_server entry{settings,
                                   [this]
                                   {
                                       return std::vector<std::string>{leader.address};
                                   },
                                   callers};

    hanging_entry()
    {
        REQUIRE_FALSE(entry.start());
        std::this_thread::sleep_for(milliseconds(500)); // lets the entry discover the leader
    }

    static settings::job_settings make_settings()
    {
        settings::job_settings out = test::entry_settings();
        out.http_threads = few_threads;
        return out;
    }
};

} // namespace

TEST_CASE("requests queued behind hung calls are refused after the longest wait, and not executed")
{
    std::latch released(1);
    std::atomic<std::size_t> handled{0};
    http::server_options options;
    options.address = test::free_address();
    options.threads = few_threads;
    options.max_queued_ms = 300;
    http::server server(options,
                        [&released, &handled](const http::request& /*received*/)
                        {
                            ++handled;
                            released.wait();
                            return http::response();
                        });
    REQUIRE(server.start());
    const sent_requests hung(options.address, few_threads, make_request(3000));
    std::this_thread::sleep_for(milliseconds(100));
    const sent_requests queued(options.address, queued_requests, make_request(3000));
    CHECK(queued.count_answered(503, milliseconds(options.max_queued_ms) + scheduling_margin) ==
          queued_requests);
    released.count_down();
    CHECK(hung.count_answered(200, seconds(3)) == few_threads);
    const sent_requests later(options.address, few_threads, make_request(3000));
    CHECK(later.count_answered(200, seconds(3)) == few_threads);
    CHECK(handled == 2 * few_threads);
    CHECK(server.counts().queued_too_long == queued_requests);
}

TEST_CASE("requests queued at an entry whose leader hangs are answered within their deadlines")
{
    const hanging_entry hanging;
    const sent_requests hung(hanging.settings.listen, few_threads, make_request(6000));
    std::this_thread::sleep_for(milliseconds(100));
    const sent_requests queued(hanging.settings.listen, queued_requests, make_request(1500));
    CHECK(queued.count_answered(503, milliseconds(1500)) == queued_requests);
}

TEST_CASE("the time for which a request was queued counts against its deadline")
{
    const hanging_entry hanging;
    const sent_requests hung(hanging.settings.listen, few_threads, make_request(1000));
    std::this_thread::sleep_for(milliseconds(100));
    const sent_requests queued(hanging.settings.listen, few_threads, make_request(1300));
    CHECK(queued.count_answered(503, milliseconds(1300)) == few_threads);
}

TEST_CASE("requests queued behind hung calls are refused at once after the grace period of a drain")
{
    hanging_entry hanging;
    std::thread stop(
        [&hanging]
        {
            hanging.entry.stop();
        });
    std::this_thread::sleep_for(milliseconds(2000));
    const sent_requests hung(hanging.settings.listen, few_threads, make_request(6000));
    std::this_thread::sleep_for(milliseconds(600));
    const sent_requests queued(hanging.settings.listen, queued_requests, make_request(3000));
    CHECK(queued.count_answered(503, scheduling_margin) == queued_requests);
    stop.join();
}
