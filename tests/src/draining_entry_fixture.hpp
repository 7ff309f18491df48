#pragma once

/// @file
/// @brief An entry that stops while clients use it until its process has ended: on open connections and on
///        new ones, more of them than it has threads.

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
    // Shares of the clients, or of their requests.
    double idle_clients = 0;     // send a request every 1 to 4 s
    double new_connections = 0;  // clients that never use a connection twice
    double halves_of_heads = 0;  // requests whose head is sent in two parts, 0.5 to 3 s apart
    double halves_of_bodies = 0; // posted jobs, whose body is sent in two parts
    double abandoned = 0;        // requests after which the client closes without waiting
    double pipelined = 0;        // requests sent two at a time
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

/// @brief What a scripted leader does with a call.
enum class leader_mode : std::uint8_t
{
    answers,
    delays, // by 0.2 to 3 s
    hangs,
    no_leader,
};

/// @brief A leader that answers each call at once, late or never, or is no leader any more.
class scripted_leader final : public wire::JobControl::Service
{
  public:
    explicit scripted_leader(bool answers, std::string at = free_address()) : address(std::move(at))
    {
        set_answers(answers);
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
    }

    grpc::Status Leader(grpc::ServerContext* /*context*/,
                        const wire::LeaderQuery* /*request*/,
                        wire::LeaderAnswer* reply) override
    {
        reply->set_acting(mode_ != leader_mode::no_leader);
        reply->set_term(1);
        return grpc::Status::OK;
    }

    grpc::Status
    State(grpc::ServerContext* context, const wire::JobRequest* /*request*/, wire::JobReply* reply) override
    {
        return answer(*context, *reply);
    }

    grpc::Status Submit(grpc::ServerContext* context,
                        const wire::SubmitRequest* /*request*/,
                        wire::JobReply* reply) override
    {
        return answer(*context, *reply);
    }

    void set_answers(bool answers) noexcept
    {
        set_mode(answers ? leader_mode::answers : leader_mode::hangs);
    }

    void set_mode(leader_mode mode) noexcept
    {
        mode_ = mode;
    }

    std::string address;

  private:
    grpc::Status answer(const grpc::ServerContext& context, wire::JobReply& reply)
    {
        // Spread over the range by the number of the call, whichever thread serves it.
        const auto delay = milliseconds(200 + calls_++ * 977 % 2800);
        const time_point due_at =
            boot_clock::now() + (mode_ == leader_mode::delays ? delay : milliseconds(0));
        while ((mode_ == leader_mode::hangs || boot_clock::now() < due_at) && !context.IsCancelled())
        {
            std::this_thread::sleep_for(milliseconds(10));
        }
        reply.set_acting(mode_ != leader_mode::no_leader);
        return context.IsCancelled() ? grpc::Status::CANCELLED : grpc::Status::OK;
    }

    std::atomic<leader_mode> mode_{leader_mode::answers};
    std::atomic<std::int64_t> calls_{0};
    std::unique_ptr<grpc::Server> server_;
};

/// @brief One client: sends requests one after another, on one connection for as long as it stays open.
class persistent_client
{
  public:
    persistent_client(const std::string& address, const drain_load& load, std::size_t number)
        : address_(address), load_(load), random_(load.seed * 1000 + number)
    {
        if (chance(load_.idle_clients))
        {
            load_.shortest_pause = milliseconds(1000);
            load_.longest_pause = milliseconds(4000);
        }
        if (chance(load_.new_connections))
        {
            load_.reuse = 0;
        }
    }

    struct exchange
    {
        time_point sent_at{};
        time_point ended_at{}; // of the response, or of the connection
        int status = 0;        // 0: the connection ended without a response
        int error = 0;         // ECONNRESET: the process had not read the request
        bool abandoned = false;
        bool after_close = false; // the response before it, on the same connection, said `Connection: close`
        int number = 0;           // on its connection, from 1
        const char* kind = "";
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
            if (exchanges_.empty() || exchanges_.back().status == 0 || !chance(load_.reuse, true))
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
    /// @param draws whether a number is drawn for a share of zero too
    [[nodiscard]] bool chance(double share, bool draws = false)
    {
        return (draws || share > 0) && std::uniform_real_distribution<double>(0, 1)(random_) < share;
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
        number_ = 0;
        after_close_ = false;
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

    [[nodiscard]] bool send_text(std::string_view text) const
    {
        return ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
    }

    void send_request()
    {
        static constexpr std::string_view read =
            "GET /queue/1 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
        static constexpr std::string_view body =
            R"({"spec":"x","steps":[{"count":1,"cpu":1,"mem-mb":1,"estimate-ms":1000}]})";
        static const std::string submit =
            "POST /queue/1 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
        const bool posts = chance(load_.halves_of_bodies);
        const bool halves = posts || chance(load_.halves_of_heads);
        const bool twice = !halves && chance(load_.pipelined);
        std::string text(posts ? std::string_view(submit) : read);
        text += twice ? std::string(read) : "";
        if (halves)
        {
            const std::size_t first = posts ? text.size() - body.size() / 2 : text.size() / 2;
            if (!send_text(std::string_view(text).substr(0, first)))
            {
                close_socket();
                return;
            }
            std::this_thread::sleep_for(
                milliseconds(std::uniform_int_distribution<std::int64_t>(500, 3000)(random_)));
            if (is_closed(socket_))
            {
                close_socket();
                return;
            }
            text.erase(0, first);
        }
        const time_point sent_at = boot_clock::now();
        if (!send_text(text))
        {
            close_socket();
            return; // not connected: the client knows that the request was not accepted
        }
        const char* const kind = posts    ? "body in two parts"
                                 : halves ? "head in two parts"
                                 : twice  ? "one of two"
                                          : "whole";
        if (chance(load_.abandoned))
        {
            exchange one;
            one.sent_at = one.ended_at = sent_at;
            one.abandoned = true;
            exchanges_.push_back(one);
            close_socket();
            return;
        }
        received_.clear();
        read_response(sent_at, kind);
        if (twice && exchanges_.back().status != 0 && !after_close_)
        {
            read_response(sent_at, kind);
        }
    }

    void read_response(time_point sent_at, const char* kind)
    {
        exchange one;
        one.sent_at = sent_at;
        one.kind = kind;
        one.number = ++number_;
        one.after_close = after_close_;
        constexpr std::string_view end_of_head = "\r\n\r\n";
        std::size_t end = std::string::npos;
        while (true)
        {
            end = received_.find(end_of_head);
            if (end != std::string::npos && received_.size() >= end + end_of_head.size() + body_size(end))
            {
                break;
            }
            std::array<char, 4096> got{};
            const auto count = ::recv(socket_, got.data(), got.size(), 0);
            if (count <= 0)
            {
                one.error = count < 0 ? errno : 0;
                end = std::string::npos;
                break;
            }
            received_.append(got.data(), static_cast<std::size_t>(count));
        }
        one.ended_at = boot_clock::now();
        if (end != std::string::npos)
        {
            constexpr std::size_t status_at = std::string_view("HTTP/1.1 ").size();
            one.status = std::atoi(received_.data() + status_at);
            after_close_ = received_.substr(0, end).find("Connection: close") != std::string::npos;
            received_.erase(0, end + end_of_head.size() + body_size(end));
        }
        exchanges_.push_back(one);
    }

    [[nodiscard]] std::size_t body_size(std::size_t end_of_head) const
    {
        constexpr std::string_view name = "Content-Length: ";
        const std::size_t at = received_.find(name);
        return at < end_of_head ? static_cast<std::size_t>(std::atoi(received_.data() + at + name.size()))
                                : 0;
    }

    std::string address_;
    drain_load load_;
    std::mt19937_64 random_;
    int socket_ = -1;
    int number_ = 0;
    bool after_close_ = false;
    std::string received_;
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
    const time_point stop_started_at = boot_clock::now();
    entry.stop();
    const time_point stopped_at = boot_clock::now();
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
