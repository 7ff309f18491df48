/// @file
/// @brief The processor time of a request doesn't grow with the number of files that the process has open.

#include "stopping_entry_fixture.hpp"

#include "../../bench/processor_time.hpp"

#include <algorithm>
#include <limits>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <vector>

using namespace plumspoke;

namespace
{

constexpr std::size_t many_sockets = 2000;
constexpr std::size_t descriptors_needed = 3000;
constexpr std::size_t threads = 24;
constexpr std::size_t requests = 300;
constexpr int rounds = 4;
constexpr double max_ratio = 1.5;
constexpr std::uint16_t any_port = 9;
const std::string request_text = "GET /queue/1 HTTP/1.1\r\nHost: x.example\r\nContent-Length: 0\r\n\r\n";

/// @brief Sends a request and waits for its response.
/// @return whether one has arrived
bool ask(int socket)
{
    std::array<char, 512> got{};
    return ::send(socket, request_text.data(), request_text.size(), MSG_NOSIGNAL) > 0 &&
           ::recv(socket, got.data(), got.size(), 0) > 0;
}

/// @brief Sockets of this process that no HTTP server uses.
class unrelated_sockets
{
  public:
    explicit unrelated_sockets(std::size_t count)
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(any_port);
        while (sockets_.size() < count)
        {
            sockets_.push_back(::socket(AF_INET, SOCK_DGRAM, 0));
            REQUIRE(::connect(sockets_.back(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
        }
    }
    unrelated_sockets(const unrelated_sockets&) = delete;
    unrelated_sockets& operator=(const unrelated_sockets&) = delete;
    ~unrelated_sockets()
    {
        for (const int socket : sockets_)
        {
            ::close(socket);
        }
    }

  private:
    std::vector<int> sockets_;
};

/// @brief A server whose clients send one request on each of their connections.
class served_clients
{
  public:
    explicit served_clients(std::int64_t max_queued_ms)
    {
        options_.address = test::free_address();
        options_.threads = threads;
        options_.max_queued_ms = max_queued_ms;
        options_.keep_alive_ms = 60000;
        server_ = std::make_unique<http::server>(options_,
                                                 [](const http::request& /*received*/)
                                                 {
                                                     return http::response();
                                                 });
        REQUIRE(server_->start());
    }
    served_clients(const served_clients&) = delete;
    served_clients& operator=(const served_clients&) = delete;
    ~served_clients()
    {
        for (const int socket : kept_)
        {
            ::close(socket);
        }
    }

    /// @brief Opens connections that keep their threads.
    void keep_connections(std::size_t count)
    {
        while (kept_.size() < count)
        {
            kept_.push_back(test::connect_to(options_.address));
            REQUIRE(ask(kept_.back()));
        }
    }

    [[nodiscard]] http::server& server() noexcept
    {
        return *server_;
    }

    /// @return microseconds of processor time for a request on a connection of its own
    [[nodiscard]] double cost_of_request() const
    {
        const double before = bench::processor_seconds();
        for (std::size_t i = 0; i < requests; ++i)
        {
            const int socket = test::connect_to(options_.address);
            CHECK(ask(socket));
            ::close(socket);
        }
        return (bench::processor_seconds() - before) * 1e6 / static_cast<double>(requests);
    }

  private:
    http::server_options options_;
    std::vector<int> kept_;
    std::unique_ptr<http::server> server_;
};

/// @brief Checks that a request costs the same whether or not the process has many sockets open.
void check_cost(const served_clients& clients)
{
    double alone = std::numeric_limits<double>::max();
    double with_open_files = alone;
    for (int i = 0; i < rounds; ++i)
    {
        alone = std::min(alone, clients.cost_of_request());
        const unrelated_sockets others(many_sockets);
        with_open_files = std::min(with_open_files, clients.cost_of_request());
    }
    CAPTURE(alone, with_open_files);
    CHECK(with_open_files < max_ratio * alone);
}

/// @brief Raises the limit of open files while it lives.
class raised_file_limit
{
  public:
    raised_file_limit()
    {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &original_) == 0);
        rlimit raised = original_;
        raised.rlim_cur = std::max<rlim_t>(raised.rlim_cur, descriptors_needed);
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &raised) == 0);
    }
    raised_file_limit(const raised_file_limit&) = delete;
    raised_file_limit& operator=(const raised_file_limit&) = delete;
    ~raised_file_limit()
    {
        (void)::setrlimit(RLIMIT_NOFILE, &original_);
    }

  private:
    rlimit original_{};
};

} // namespace

TEST_CASE("the processor time of a request does not grow with the open files of the process")
{
    const raised_file_limit raised;
    SECTION("while threads are free")
    {
        const served_clients clients(0);
        check_cost(clients);
    }
    SECTION("while threads are free and the time in the queue is limited")
    {
        const served_clients clients(1000);
        check_cost(clients);
    }
    SECTION("while threads run short, so that its connection is closed")
    {
        served_clients clients(0);
        clients.keep_connections(threads * 3 / 4);
        check_cost(clients);
    }
    SECTION("while threads run short and the time in the queue is limited")
    {
        served_clients clients(1000);
        clients.keep_connections(threads - 1);
        check_cost(clients);
    }
    SECTION("in a drain")
    {
        served_clients clients(1000);
        clients.server().begin_drain();
        check_cost(clients);
    }
}
