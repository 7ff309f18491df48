#pragma once

/// @file
/// @brief An entry that shuts down while clients send requests on connections that are already open.

#include "plumspoke/job_server/entry_server.hpp"

#include "../../platform/callers.hpp"
#include "plumspoke/jobs.grpc.pb.h"
#include "silent_relay.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>
#include <thread>
#include <unistd.h>

namespace plumspoke::test
{

constexpr auto request_spacing = milliseconds(200);
constexpr std::size_t connections = 26; // one request each, spread over the whole shutdown
constexpr auto answer_grace = milliseconds(200);

/// @brief A leader that reports that it is active and never responds to any other call.
class unresponsive_leader final : public wire::JobControl::Service
{
  public:
    unresponsive_leader() : address(free_address())
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

inline settings::job_settings entry_settings()
{
    nlohmann::json document = nlohmann::json::parse(R"({"interface":"platform","role":"entry","name":"e",
        "availability_zone":"z","ip":"127.0.0.1","internal_port":7720,"timing":{"stop_ms":4500}})");
    document["listen"] = free_address();
    document["readiness"] = free_address();
    document["limits"] = {{"http_threads", 2 * connections}};
    std::vector<settings::fault> faults;
    settings::job_settings read = settings::parse_job_settings(document, faults);
    REQUIRE(faults.empty());
    return read;
}

/// @brief A client that sends one request on a connection opened before the shutdown.
struct late_client
{
    int socket = -1;
    time_point sent_at{};
    std::atomic<bool> sent{false}; // set after sent_at is written
    std::atomic<bool> answered{false};

    void ask_at(time_point at)
    {
        std::this_thread::sleep_until(at);
        ask();
    }

    void ask()
    {
        if (is_closed(socket))
        {
            return; // the client knows that the request was not accepted
        }
        const std::string text =
            "GET /queue/1 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
        sent_at = boot_clock::now();
        sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
        std::array<char, 1024> got{};
        answered = sent && ::recv(socket, got.data(), got.size(), 0) > 0;
    }
};

/// @brief An entry whose leader does not respond, and clients that send requests one after another while it
///        shuts down.
class stopping_entry
{
  public:
    stopping_entry()
        : settings_(entry_settings()), entry_(
                                           settings_,
                                           [this]
                                           {
                                               return std::vector<std::string>{leader_.address};
                                           },
                                           callers_)
    {
        REQUIRE_FALSE(entry_.start());
        for (late_client& one : clients_)
        {
            one.socket = connect_to(settings_.listen);
        }
        std::this_thread::sleep_for(milliseconds(500)); // lets the entry discover the leader
    }
    stopping_entry(const stopping_entry&) = delete;
    stopping_entry& operator=(const stopping_entry&) = delete;
    ~stopping_entry()
    {
        for (std::size_t i = 0; i < client_threads_.size(); ++i)
        {
            ::shutdown(clients_.at(i).socket, SHUT_RDWR);
            client_threads_.at(i).join();
        }
        for (const late_client& one : clients_)
        {
            ::close(one.socket);
        }
    }

    /// @brief Stops the entry, blocks until it has stopped and counts the requests left unanswered.
    void stop()
    {
        stop_started_at_ = boot_clock::now();
        for (std::size_t i = 0; i < connections; ++i)
        {
            client_threads_.emplace_back(
                [&one = clients_.at(i), at = stop_started_at_ + i * request_spacing]
                {
                    one.ask_at(at);
                });
        }
        entry_.stop();
        stopped_at_ = boot_clock::now();
        for (const late_client& one : clients_)
        {
            if (one.sent && !one.answered && one.sent_at + answer_grace < stopped_at_)
            {
                ++unanswered_;
                UNSCOPED_INFO("request sent after " << ms_since_stop_started(one.sent_at)
                                                    << " ms, unanswered when the shutdown finished after "
                                                    << ms_since_stop_started(stopped_at_) << " ms");
            }
        }
    }

    [[nodiscard]] std::size_t unanswered() const noexcept
    {
        return unanswered_;
    }
    [[nodiscard]] duration took() const noexcept
    {
        return std::chrono::duration_cast<duration>(stopped_at_ - stop_started_at_);
    }

    [[nodiscard]] const std::string& address() const noexcept
    {
        return settings_.listen;
    }

  private:
    [[nodiscard]] std::int64_t ms_since_stop_started(time_point at) const
    {
        return std::chrono::duration_cast<milliseconds>(at - stop_started_at_).count();
    }

    unresponsive_leader leader_;
    settings::job_settings settings_;
    platform::callers callers_;
    job_server::entry_server entry_;
    std::array<late_client, connections> clients_;
    std::vector<std::thread> client_threads_;
    time_point stop_started_at_{};
    time_point stopped_at_{};
    std::size_t unanswered_ = 0;
};

} // namespace plumspoke::test
