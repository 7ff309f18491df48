/// @file
/// @brief Requests that reach an entry on open connections while it stops.

#include "plumspoke/job_server/entry_server.hpp"

#include "../../platform/callers.hpp"
#include "plumspoke/jobs.grpc.pb.h"
#include "silent_relay.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

using namespace plumspoke;

namespace
{

constexpr auto request_spacing = milliseconds(200);
constexpr std::size_t connections = 26; // spread over all of a stop
constexpr auto loss_slack = milliseconds(200);

/// @brief A leader that says that it leads, and answers nothing else.
class unresponsive_leader final : public wire::JobControl::Service
{
  public:
    unresponsive_leader() : address(test::free_address())
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
    }

    grpc::Status Leader(grpc::ServerContext* /*context*/,
                        const wire::LeaderQuery* /*request*/,
                        wire::LeaderAnswer* reply) override
    {
        reply->set_acting(true);
        reply->set_term(1);
        return grpc::Status::OK;
    }

    grpc::Status State(grpc::ServerContext* context,
                       const wire::JobRequest* /*request*/,
                       wire::JobReply* /*reply*/) override
    {
        while (!context->IsCancelled())
        {
            std::this_thread::sleep_for(milliseconds(10));
        }
        return grpc::Status::CANCELLED;
    }

    std::string address;

  private:
    std::unique_ptr<grpc::Server> server_;
};

settings::job_settings entry_settings()
{
    nlohmann::json document = nlohmann::json::parse(R"({"interface":"platform","role":"entry","name":"e",
        "availability_zone":"z","ip":"127.0.0.1","internal_port":7720,"timing":{"stop_ms":4500}})");
    document["listen"] = test::free_address();
    document["readiness"] = test::free_address();
    document["limits"] = {{"http_threads", 2 * connections}};
    std::vector<settings::fault> faults;
    settings::job_settings read = settings::parse_job_settings(document, faults);
    REQUIRE(faults.empty());
    return read;
}

bool is_closed(int socket)
{
    char byte = 0;
    const auto got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN);
}

/// @brief One request on a connection that was opened before the stop.
struct late_caller
{
    int socket = -1;
    time_point sent_at{};
    std::atomic<bool> sent{false}; // after sent_at
    std::atomic<bool> answered{false};

    void ask()
    {
        if (is_closed(socket))
        {
            return; // its client knows that nothing was taken
        }
        const std::string text =
            "GET /queue/1 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
        sent_at = std::chrono::steady_clock::now();
        sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
        std::array<char, 1024> got{};
        answered = sent && ::recv(socket, got.data(), got.size(), 0) > 0;
    }
};

} // namespace

TEST_CASE("a request taken while an entry stops is answered before the stop ends")
{
    unresponsive_leader leader;
    const settings::job_settings settings = entry_settings();
    const platform::callers callers;
    job_server::entry_server entry(
        settings,
        [&leader]
        {
            return std::vector<std::string>{leader.address};
        },
        callers);
    REQUIRE_FALSE(entry.start());
    std::array<late_caller, connections> all;
    for (late_caller& one : all)
    {
        one.socket = test::connect_to(settings.listen);
    }
    std::this_thread::sleep_for(milliseconds(500)); // the leader is found
    std::vector<std::thread> asking;
    const time_point begun = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < connections; ++i)
    {
        asking.emplace_back(
            [&one = all.at(i), at = begun + i * request_spacing]
            {
                std::this_thread::sleep_until(at);
                one.ask();
            });
    }
    entry.stop();
    const time_point stopped_at = std::chrono::steady_clock::now();
    std::size_t unanswered = 0;
    for (const late_caller& one : all)
    {
        unanswered += one.sent && !one.answered && one.sent_at + loss_slack < stopped_at ? 1 : 0;
    }
    CHECK(unanswered == 0);
    CHECK(stopped_at - begun < seconds(6));
    for (std::size_t i = 0; i < connections; ++i)
    {
        ::shutdown(all.at(i).socket, SHUT_RDWR);
        asking.at(i).join();
        ::close(all.at(i).socket);
    }
}
