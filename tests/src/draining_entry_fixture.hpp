#pragma once

/// @file
/// @brief An entry that stops while clients use it until its process has ended: on open connections and on
/// new
///        ones, more of them than it has threads.

#include "stopping_entry_fixture.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace plumspoke::test
{

/// @brief What the clients do, and how the leader behaves.
struct drain_load
{
    std::uint64_t seed = 1;
    std::size_t clients = 48;
    std::int64_t threads = 24;
    milliseconds shortest_pause{100}; // of a client between a response and its next request
    milliseconds longest_pause{300};
    double reuse = 1;           // share of responses after which the client keeps the connection if it can
    bool leader_answers = true; // otherwise it takes calls and never answers them
    milliseconds before_stop{1000};
};

/// @brief How the requests of a run ended.
struct drain_outcome
{
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t sent_in_drain = 0;
    std::size_t unanswered = 0; // sent at least `answer_grace` before the end of their connection
    std::size_t cut = 0;        // sent later than that
    milliseconds slowest{0};
    milliseconds stop_took{0};
    std::map<int, std::size_t> statuses;     // of the responses
    std::vector<std::string> unanswered_log; // one line each
};

/// @brief A leader that answers each read of a job at once or, while it hangs, never.
class scripted_leader final : public wire::JobControl::Service
{
  public:
    explicit scripted_leader(bool answers, std::string at = free_address())
        : address(std::move(at)), answers_(answers)
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

    grpc::Status
    State(grpc::ServerContext* context, const wire::JobRequest* /*request*/, wire::JobReply* reply) override
    {
        while (!answers_ && !context->IsCancelled())
        {
            std::this_thread::sleep_for(milliseconds(10));
        }
        reply->set_acting(true);
        return answers_ ? grpc::Status::OK : grpc::Status::CANCELLED;
    }

    void set_answers(bool answers) noexcept
    {
        answers_ = answers;
    }

    std::string address;

  private:
    std::atomic<bool> answers_;
    std::unique_ptr<grpc::Server> server_;
};

/// @brief One client: sends requests one after another, on one connection for as long as it stays open.
class persistent_client
{
  public:
    persistent_client(const std::string& address, const drain_load& load, std::size_t number)
        : address_(address), load_(load), random_(load.seed * 1000 + number)
    {
    }

    struct exchange
    {
        time_point sent_at{};
        time_point ended_at{}; // of the response, or of the connection
        int status = 0;        // 0: the connection ended without a response
    };

    void run(const std::atomic<bool>& ended)
    {
        pause(); // spreads the clients
        while (!ended)
        {
            if (socket_ < 0 || is_closed(socket_))
            {
                reconnect();
            }
            send_request();
            if (exchanges_.empty() || exchanges_.back().status == 0 || !chance(load_.reuse))
            {
                close_socket();
            }
            pause();
        }
        close_socket();
    }

    [[nodiscard]] const std::vector<exchange>& exchanges() const noexcept
    {
        return exchanges_;
    }

  private:
    [[nodiscard]] bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    void pause()
    {
        std::this_thread::sleep_for(milliseconds(std::uniform_int_distribution<std::int64_t>(
            load_.shortest_pause.count(), load_.longest_pause.count())(random_)));
    }

    void reconnect()
    {
        close_socket();
        socket_ = connect_to(address_);
        const timeval limit{12, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    void close_socket()
    {
        if (socket_ >= 0)
        {
            ::close(socket_);
        }
        socket_ = -1;
    }

    void send_request()
    {
        const std::string text =
            "GET /queue/1 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
        const time_point sent_at = std::chrono::steady_clock::now();
        if (::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size()))
        {
            close_socket();
            return; // not connected: the client knows that the request was not accepted
        }
        std::array<char, 4096> got{};
        const auto count = ::recv(socket_, got.data(), got.size() - 1, 0);
        exchange one;
        one.sent_at = sent_at;
        one.ended_at = std::chrono::steady_clock::now();
        constexpr std::size_t status_at = std::string_view("HTTP/1.1 ").size();
        one.status = count > 0 ? std::atoi(got.data() + status_at) : 0;
        exchanges_.push_back(one);
    }

    std::string address_;
    drain_load load_;
    std::mt19937_64 random_;
    int socket_ = -1;
    std::vector<exchange> exchanges_;
};

/// @brief Stops an entry under this load. Once it has stopped, its process ends, and with it all connections.
inline drain_outcome run_drain(const drain_load& load)
{
    scripted_leader leader(load.leader_answers);
    settings::job_settings settings = entry_settings();
    settings.http_threads = load.threads;
    const platform::callers callers;
    job_server::entry_server entry(
        settings,
        [&leader]
        {
            return std::vector<std::string>{leader.address};
        },
        callers);
    REQUIRE_FALSE(entry.start());
    std::this_thread::sleep_for(milliseconds(500)); // lets the entry discover the leader

    std::atomic<bool> ended{false};
    std::vector<std::unique_ptr<persistent_client>> clients;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < load.clients; ++i)
    {
        clients.push_back(std::make_unique<persistent_client>(settings.listen, load, i));
        threads.emplace_back(
            [&one = *clients.back(), &ended]
            {
                one.run(ended);
            });
    }
    std::this_thread::sleep_for(load.before_stop);
    const time_point stop_started_at = std::chrono::steady_clock::now();
    entry.stop();
    const time_point stopped_at = std::chrono::steady_clock::now();
    ended = true;
    for (std::thread& one : threads)
    {
        one.join();
    }

    const auto since_start_ms = [stop_started_at](time_point at)
    {
        return std::chrono::duration_cast<milliseconds>(at - stop_started_at);
    };
    drain_outcome out;
    out.stop_took = since_start_ms(stopped_at);
    for (const auto& client : clients)
    {
        for (const persistent_client::exchange& one : client->exchanges())
        {
            if (one.sent_at >= stopped_at)
            {
                continue; // the process has ended
            }
            ++out.sent;
            out.sent_in_drain += one.sent_at >= stop_started_at ? 1 : 0;
            if (one.status != 0 && one.ended_at <= stopped_at)
            {
                ++out.answered;
                ++out.statuses[one.status];
                out.slowest = std::max(out.slowest,
                                       std::chrono::duration_cast<milliseconds>(one.ended_at - one.sent_at));
                continue;
            }
            const time_point ended_at = std::min(one.ended_at, stopped_at);
            if (one.sent_at + answer_grace >= ended_at)
            {
                ++out.cut;
                continue;
            }
            ++out.unanswered;
            out.unanswered_log.push_back("sent after " + std::to_string(since_start_ms(one.sent_at).count()) +
                                         " ms of the stop, ended without a response after " +
                                         std::to_string(since_start_ms(ended_at).count()) + " ms");
        }
    }
    return out;
}

} // namespace plumspoke::test
