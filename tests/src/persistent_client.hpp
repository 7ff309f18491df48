#pragma once

/// @file
/// @brief A client that uses its connection until the process behind it has ended.

#include "plumspoke/time/time.hpp"
#include "silent_relay.hpp"

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace plumspoke::test
{

/// @brief A request of a client; the first part is its method and path.
inline std::string make_request(const std::string& line, const std::string& body)
{
    return line + " HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief What the clients do, and how a leader behaves.
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
    double at_once = 0;          // sent right behind the last response, whatever it said
    /// @brief The requests without halves; one of them is drawn each time.
    std::vector<std::string> requests = {make_request("GET /queue/1", "")};
    /// @brief The request whose body is sent in two parts.
    std::string posted = make_request(
        "POST /queue/1", R"({"spec":"x","steps":[{"count":1,"cpu":1,"mem-mb":1,"estimate-ms":1000}]})");
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
        bool at_once = false;
        while (!ended)
        {
            if (socket_ < 0 || (!at_once && is_closed(socket_)))
            {
                reconnect();
            }
            send_request();
            if (exchanges_.empty() || exchanges_.back().status == 0 || !chance(load_.reuse, true))
            {
                close_socket();
            }
            at_once = chance(load_.at_once);
            if (!at_once)
            {
                pause();
            }
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
        constexpr std::string_view end_of_head = "\r\n\r\n";
        const std::string& read = load_.requests.size() == 1
                                      ? load_.requests.front()
                                      : load_.requests[random_() % load_.requests.size()];
        const bool posts = chance(load_.halves_of_bodies);
        const bool halves = posts || chance(load_.halves_of_heads);
        const bool twice = !halves && chance(load_.pipelined);
        std::string text = posts ? load_.posted : read;
        text += twice ? read : "";
        if (halves)
        {
            const std::size_t body = posts ? text.size() - text.find(end_of_head) - end_of_head.size() : 0;
            const std::size_t first = posts ? text.size() - body / 2 : text.size() / 2;
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
        if (twice && exchanges_.back().status != 0 && (!after_close_ || load_.at_once > 0))
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

} // namespace plumspoke::test
