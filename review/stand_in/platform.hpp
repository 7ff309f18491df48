#pragma once

/// @file
/// @brief Stand-ins of the platform for the scripts of the review: clients, servers that run tasks, and the
///        processes of the system on loopback addresses. Only POSIX and nlohmann/json are used.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using json = nlohmann::json;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/// @brief Milliseconds of the steady clock since the start of the program.
inline std::int64_t now_ms()
{
    static const auto started_at = std::chrono::steady_clock::now();
    const auto passed = std::chrono::steady_clock::now() - started_at;
    return std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
}

inline void sleep_ms(std::int64_t span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

/// @brief The file record.txt: a line for each event that a client, a server or the platform sees.
class record
{
  public:
    explicit record(const std::filesystem::path& path) : out_(path)
    {
    }

    void write(const std::string& line)
    {
        const std::lock_guard lock(mutex_);
        out_ << now_ms() << " " << line << "\n" << std::flush;
    }

  private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline sockaddr_in to_socket_address(const address& from)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(from.port);
    ::inet_pton(AF_INET, from.ip.c_str(), &out.sin_addr);
    return out;
}

/// @brief Finds ports that are free on all the given loopback addresses.
inline std::vector<std::uint16_t> find_free_ports(const std::vector<std::string>& ips, std::size_t count)
{
    constexpr int first_port = 21000;
    constexpr int last_port = 31000;
    std::vector<std::uint16_t> found;
    constexpr int spacing = 8; // two scripts that run at once look for ports in different places
    int port = first_port + static_cast<int>(::getpid()) * spacing % (last_port - first_port - 1000);
    for (; port < last_port && found.size() < count; ++port)
    {
        const bool is_free =
            std::all_of(ips.begin(),
                        ips.end(),
                        [port](const std::string& ip)
                        {
                            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                            const sockaddr_in to = to_socket_address({ip, static_cast<std::uint16_t>(port)});
                            const bool bound =
                                ::bind(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
                            ::close(socket);
                            return bound;
                        });
        if (is_free)
        {
            found.push_back(static_cast<std::uint16_t>(port));
        }
    }
    return found;
}

// ---- HTTP --------------------------------------------------------------------------------------

struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct http_response
{
    int status = 0;
    std::string body;
};

/// @brief Reads one message from a socket: the head, then as many bytes as Content-Length says.
/// @return false if the connection ended or the time passed before the message was complete
inline bool
read_message(int socket, std::string& buffer, std::int64_t until_ms, std::string& head, std::string& body)
{
    std::size_t head_end = std::string::npos;
    std::size_t length = 0;
    while (true)
    {
        if (head_end == std::string::npos)
        {
            head_end = buffer.find("\r\n\r\n");
            if (head_end != std::string::npos)
            {
                std::string lower = buffer.substr(0, head_end);
                std::transform(lower.begin(),
                               lower.end(),
                               lower.begin(),
                               [](unsigned char one)
                               {
                                   return static_cast<char>(std::tolower(one));
                               });
                const std::size_t at = lower.find("content-length:");
                length = at == std::string::npos ? 0 : std::strtoul(lower.c_str() + at + 15, nullptr, 10);
            }
        }
        if (head_end != std::string::npos && buffer.size() >= head_end + 4 + length)
        {
            head = buffer.substr(0, head_end);
            body = buffer.substr(head_end + 4, length);
            buffer.erase(0, head_end + 4 + length);
            return true;
        }
        const std::int64_t left = until_ms - now_ms();
        pollfd polled{socket, POLLIN, 0};
        if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left)) <= 0)
        {
            return false;
        }
        std::array<char, 16384> chunk{};
        const ssize_t count = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (count <= 0)
        {
            return false;
        }
        buffer.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

inline bool send_all(int socket, std::string_view text)
{
    while (!text.empty())
    {
        const ssize_t sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// @brief Sends a request on a new connection.
/// @return nothing if no complete response came within the limit
inline std::optional<http_response> call(const address& to,
                                         const std::string& method,
                                         const std::string& path,
                                         const std::string& host,
                                         const std::string& body,
                                         std::int64_t limit_ms)
{
    const std::int64_t until = now_ms() + limit_ms;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const std::unique_ptr<const int, std::function<void(const int*)>> closing(&socket,
                                                                              [](const int* one)
                                                                              {
                                                                                  ::close(*one);
                                                                              });
    const timeval limit{limit_ms / 1000, (limit_ms % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in peer = to_socket_address(to);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0)
    {
        return std::nullopt;
    }
    std::ostringstream request;
    request << method << " " << path << " HTTP/1.1\r\nHost: " << host
            << "\r\nContent-Type: application/json\r\nDeadline-Ms: " << limit_ms
            << "\r\nConnection: close\r\nContent-Length: " << body.size() << "\r\n\r\n"
            << body;
    std::string buffer;
    std::string head;
    http_response out;
    if (!send_all(socket, request.str()) || !read_message(socket, buffer, until, head, out.body) ||
        head.size() < 12)
    {
        return std::nullopt;
    }
    out.status = std::atoi(head.c_str() + 9);
    return out;
}

/// @brief A server with a thread for each connection, which keeps connections open.
class http_server
{
  public:
    using handler = std::function<http_response(const http_request&)>;

    http_server(address at, handler handle) : at_(std::move(at)), handle_(std::move(handle))
    {
    }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    ~http_server()
    {
        stopping_ = true;
        if (thread_.joinable())
        {
            thread_.join();
        }
        for (std::thread& one : connections_)
        {
            one.join();
        }
        if (listener_ >= 0)
        {
            ::close(listener_);
        }
    }

    [[nodiscard]] bool start()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in own = to_socket_address(at_);
        if (::bind(listener_, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 ||
            ::listen(listener_, 128) != 0)
        {
            return false;
        }
        thread_ = std::thread(
            [this]
            {
                accept_all();
            });
        return true;
    }

  private:
    void accept_all()
    {
        while (!stopping_)
        {
            pollfd polled{listener_, POLLIN, 0};
            if (::poll(&polled, 1, 50) <= 0)
            {
                continue;
            }
            const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0)
            {
                connections_.emplace_back(
                    [this, socket]
                    {
                        serve(socket);
                        ::close(socket);
                    });
            }
        }
    }

    void serve(int socket)
    {
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string buffer;
        while (!stopping_)
        {
            pollfd polled{socket, POLLIN, 0};
            if (buffer.empty() && ::poll(&polled, 1, 50) == 0)
            {
                continue;
            }
            std::string head;
            http_request received;
            if (!read_message(socket, buffer, now_ms() + 5000, head, received.body))
            {
                return;
            }
            std::istringstream lines(head);
            lines >> received.method >> received.path;
            std::string line;
            std::getline(lines, line);
            while (std::getline(lines, line))
            {
                const std::size_t colon = line.find(':');
                if (colon == std::string::npos)
                {
                    continue;
                }
                std::string name = line.substr(0, colon);
                std::transform(name.begin(),
                               name.end(),
                               name.begin(),
                               [](unsigned char one)
                               {
                                   return static_cast<char>(std::tolower(one));
                               });
                std::string value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                value.erase(value.find_last_not_of("\r ") + 1);
                received.headers[name] = value;
            }
            const http_response answer = handle_(received);
            std::ostringstream text;
            text << "HTTP/1.1 " << answer.status
                 << " Status\r\nContent-Type: application/json\r\nContent-Length: " << answer.body.size()
                 << "\r\n\r\n"
                 << answer.body;
            if (!send_all(socket, text.str()))
            {
                return;
            }
        }
    }

    address at_;
    handler handle_;
    std::atomic<bool> stopping_{false};
    int listener_ = -1;
    std::thread thread_;
    std::vector<std::thread> connections_;
};

// ---- servers that run tasks --------------------------------------------------------------------

/// @brief What a server has seen of one start.
struct seen_start
{
    std::string server;
    std::string task;
    std::int64_t attempt = 0;
    std::int64_t at_ms = 0;
    std::string spec;
};

/// @brief A server that runs tasks as PROTOCOL.md says, under "Running tasks". A task works for as many
///        milliseconds as its spec names after "ms=".
class server
{
  public:
    struct options
    {
        std::string id;
        std::string service = "svc";
        std::string zone = "z1";
        std::string rack = "r1";
        address at;
        std::int64_t cpu = 4000;
        std::int64_t mem_mb = 16000;
        std::int64_t beat_ms = 1100;
        std::int64_t hold_max_ms = 10000;
        std::vector<address> control;
    };

    server(options chosen, record& log)
        : options_(std::move(chosen)), log_(log), http_(options_.at,
                                                        [this](const http_request& received)
                                                        {
                                                            return answer(received);
                                                        })
    {
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    ~server()
    {
        stop_beats();
        stopping_ = true;
        if (clock_thread_.joinable())
        {
            clock_thread_.join();
        }
    }

    [[nodiscard]] bool start()
    {
        if (!http_.start())
        {
            return false;
        }
        clock_thread_ = std::thread(
            [this]
            {
                while (!stopping_)
                {
                    sleep_ms(5);
                    const std::lock_guard lock(mutex_);
                    advance();
                }
            });
        beat_thread_ = std::thread(
            [this]
            {
                beat_until_stopped();
            });
        return true;
    }

    void stop_beats()
    {
        beats_stopped_ = true;
        if (beat_thread_.joinable())
        {
            beat_thread_.join();
        }
    }

    /// @brief Says from now on that the server is leaving.
    void drain(std::int64_t remaining_ms)
    {
        const std::lock_guard lock(mutex_);
        drains_until_ = now_ms() + remaining_ms;
    }

    /// @brief When an answer 2xx to a heartbeat that says `draining` came; 0: not yet.
    [[nodiscard]] std::int64_t drain_acknowledged_at() const
    {
        return drain_acknowledged_at_;
    }

    /// @brief Whether a task runs here now.
    [[nodiscard]] bool runs(const std::string& task) const
    {
        const std::lock_guard lock(mutex_);
        return running_.contains(task);
    }

    [[nodiscard]] std::vector<seen_start> starts() const
    {
        const std::lock_guard lock(mutex_);
        return starts_;
    }

    [[nodiscard]] json make_beat()
    {
        const std::lock_guard lock(mutex_);
        json beat = {{"service", options_.service},
                     {"address", options_.at.text()},
                     {"zone", options_.zone},
                     {"version", "v1"},
                     {"capacity", 8},
                     {"state", drains_until_ > 0 ? "draining" : "ready"},
                     {"warmup-remaining-ms", 0},
                     {"free-capacity", {{"cpu", options_.cpu}, {"mem-mb", options_.mem_mb}, {"gpu", 0}}},
                     {"labels", {"a", options_.rack}},
                     {"machine", "m-" + options_.id},
                     {"clock-ms", clock_ms()},
                     {"sequence", ++sequence_}};
        if (drains_until_ > 0)
        {
            beat["remaining-ms"] = std::max<std::int64_t>(drains_until_ - now_ms(), 0);
        }
        return beat;
    }

    [[nodiscard]] const options& settings() const
    {
        return options_;
    }

  private:
    struct run
    {
        std::int64_t attempt = 0;
        std::int64_t ends_at = 0; // by clock_ms
        std::int64_t began_at = 0;
        std::int64_t stops_at = 0; // 0: not being stopped
        std::int64_t cpu = 0;
        bool lasts = false;
    };

    static constexpr std::int64_t start_ms = 300; // until a task that lasts is at work

    static std::int64_t clock_ms()
    {
        return now_ms() + 1000;
    }

    void end(const std::string& task, const run& ended, const std::string& how)
    {
        finished_.push_back({next_end_++, task, ended.attempt, how});
        std::int64_t& highest = closed_[task];
        highest = std::max(highest, ended.attempt);
        log_.write("end " + options_.id + " " + task + " attempt " + std::to_string(ended.attempt) + " " +
                   how);
    }

    // Requires mutex_.
    void advance()
    {
        const std::int64_t now = clock_ms();
        const bool lapsed = now >= lease_until_;
        bool any = false;
        for (auto at = running_.begin(); at != running_.end();)
        {
            const run& one = at->second;
            const std::string how = one.stops_at > 0 && now >= one.stops_at ? "stopped"
                                    : now >= one.ends_at                    ? "done"
                                    : lapsed                                ? "lapsed"
                                                                            : "";
            if (how.empty())
            {
                ++at;
                continue;
            }
            end(at->first, one, how);
            at = running_.erase(at);
            any = true;
        }
        if (any)
        {
            ended_.notify_all();
        }
    }

    // Requires mutex_.
    bool is_fenced(const json& body)
    {
        const std::uint64_t token = body.value("fencing-token", std::uint64_t{0});
        if (token < fence_)
        {
            return true;
        }
        fence_ = token;
        return false;
    }

    static http_response conflict(const char* reason)
    {
        return {409, json{{"clock-ms", clock_ms()}, {"reason", reason}}.dump()};
    }

    static http_response done()
    {
        return {200, json{{"clock-ms", clock_ms()}}.dump()};
    }

    // Requires mutex_.
    void renew(const json& body)
    {
        if (body.contains("deadline-ms"))
        {
            const std::int64_t until =
                std::min(body["deadline-ms"].get<std::int64_t>(), clock_ms() + options_.hold_max_ms);
            lease_until_ = std::max(lease_until_, until);
        }
    }

    http_response start_run(const json& body)
    {
        const std::string task = body["task"];
        const std::int64_t attempt = body["attempt"];
        const std::string spec = body.value("spec", "");
        advance();
        if (is_fenced(body))
        {
            return conflict("fence");
        }
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.attempt == attempt)
        {
            renew(body);
            return done();
        }
        const auto closed = closed_.find(task);
        if (found != running_.end() || (closed != closed_.end() && attempt <= closed->second))
        {
            renew(body);
            return conflict("old");
        }
        if (body.value("deadline-ms", std::int64_t{0}) <= clock_ms())
        {
            return conflict("late");
        }
        renew(body);
        const std::size_t at = spec.find("ms=");
        const bool lasts = spec.find("lasts") != std::string::npos;
        constexpr std::int64_t for_ever = 1'000'000'000;
        const std::int64_t named = at == std::string::npos ? 1000 : std::atoll(spec.c_str() + at + 3);
        const std::int64_t work = lasts ? for_ever : named;
        const std::size_t cpu_at = spec.find("cpu=");
        const std::int64_t cpu = cpu_at == std::string::npos ? 500 : std::atoll(spec.c_str() + cpu_at + 4);
        std::int64_t used = cpu;
        for (const auto& [name, one] : running_)
        {
            used += one.cpu;
        }
        if (used > options_.cpu)
        {
            return conflict("room");
        }
        running_[task] = {attempt, clock_ms() + work, clock_ms(), 0, cpu, lasts};
        starts_.push_back({options_.id, task, attempt, now_ms(), spec});
        log_.write("start " + options_.id + " " + task + " attempt " + std::to_string(attempt));
        return done();
    }

    http_response stop_run(const json& body)
    {
        advance();
        if (is_fenced(body))
        {
            return conflict("fence");
        }
        const std::string task = body["task"];
        const std::int64_t attempt = body["attempt"];
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.attempt == attempt)
        {
            constexpr std::int64_t stop_ms = 100;
            found->second.stops_at =
                found->second.stops_at == 0 ? clock_ms() + stop_ms : found->second.stops_at;
            return done();
        }
        std::int64_t& highest = closed_[task];
        highest = std::max(highest, attempt);
        return done();
    }

    http_response hold(const json& body, std::unique_lock<std::mutex>& lock)
    {
        advance();
        if (is_fenced(body))
        {
            return conflict("fence");
        }
        renew(body);
        const std::uint64_t seen = body.value("last-seen", std::uint64_t{0});
        while (!finished_.empty() && finished_.front().number <= seen)
        {
            finished_.pop_front();
        }
        const std::int64_t wait = body.value("wait-ms", std::int64_t{0});
        if (wait > 0 && finished_.empty())
        {
            ended_.wait_for(lock,
                            std::chrono::milliseconds(wait),
                            [this]
                            {
                                return !finished_.empty() || stopping_;
                            });
        }
        json running = json::array();
        for (const auto& [task, one] : running_)
        {
            const std::int64_t worked = clock_ms() - one.began_at;
            const std::int64_t span =
                std::max<std::int64_t>(one.lasts ? start_ms : one.ends_at - one.began_at, 1);
            running.push_back(
                {task, one.attempt, "", std::min<std::int64_t>(worked * 100 / span, 100), one.cpu});
        }
        json finished = json::array();
        for (const finished_run& one : finished_)
        {
            finished.push_back({one.number, one.task, one.attempt, one.how, ""});
        }
        return {200, json{{"clock-ms", clock_ms()}, {"running", running}, {"finished", finished}}.dump()};
    }

    http_response answer(const http_request& received)
    {
        const auto expected = received.headers.find("expected-instance");
        if (expected != received.headers.end() && expected->second != options_.id)
        {
            return {421, "{}"};
        }
        const json body = json::parse(received.body, nullptr, false);
        if (body.is_discarded())
        {
            return {400, "{}"};
        }
        std::unique_lock lock(mutex_);
        if (received.path == "/run-start")
        {
            return start_run(body);
        }
        if (received.path == "/run-stop")
        {
            return stop_run(body);
        }
        if (received.path == "/hold")
        {
            return hold(body, lock);
        }
        return received.path == "/pace" ? done() : http_response{404, "{}"};
    }

    void beat_until_stopped()
    {
        std::size_t next = 0;
        std::string named; // the address that the last answer has named
        while (!beats_stopped_)
        {
            const json beat = make_beat();
            bool acknowledged = false;
            for (std::size_t tries = 0; tries <= options_.control.size() && !acknowledged; ++tries)
            {
                address to = options_.control[next % options_.control.size()];
                if (!named.empty())
                {
                    const std::size_t colon = named.rfind(':');
                    to = {named.substr(0, colon),
                          static_cast<std::uint16_t>(std::atoi(named.c_str() + colon + 1))};
                }
                const std::optional<http_response> got =
                    call(to, "PUT", "/instances/" + options_.id, to.text(), beat.dump(), 1000);
                acknowledged = got.has_value() && got->status / 100 == 2;
                log_.write("beat " + options_.id + " " + beat["state"].get<std::string>() + " sequence " +
                           std::to_string(beat["sequence"].get<std::uint64_t>()) + " to " + to.text() + ": " +
                           (got.has_value() ? std::to_string(got->status) : "no answer"));
                if (!acknowledged)
                {
                    named.clear();
                    ++next;
                    continue;
                }
                const json said = json::parse(got->body, nullptr, false);
                named = said.is_object() ? said.value("heartbeat-endpoint", named) : named;
            }
            if (acknowledged && beat["state"] == "draining" && drain_acknowledged_at_ == 0)
            {
                drain_acknowledged_at_ = now_ms();
            }
            for (std::int64_t slept = 0; slept < options_.beat_ms && !beats_stopped_; slept += 20)
            {
                sleep_ms(20);
            }
        }
    }

    struct finished_run
    {
        std::uint64_t number = 0;
        std::string task;
        std::int64_t attempt = 0;
        std::string how;
    };

    options options_;
    record& log_;
    mutable std::mutex mutex_;
    std::condition_variable ended_;
    std::map<std::string, run> running_;
    std::deque<finished_run> finished_;
    std::map<std::string, std::int64_t> closed_; // the highest run of a task that ended or was stopped here
    std::vector<seen_start> starts_;
    std::uint64_t fence_ = 0;
    std::uint64_t next_end_ = 1;
    std::uint64_t sequence_ = 0;
    std::int64_t lease_until_ = 0;
    std::int64_t drains_until_ = 0;
    std::atomic<std::int64_t> drain_acknowledged_at_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> beats_stopped_{false};
    std::thread clock_thread_;
    std::thread beat_thread_;
    http_server http_;
};

// ---- the system --------------------------------------------------------------------------------

/// @brief The processes of the system: three control processes and two entries, each with an address of its
///        own and with the settings that the templates of the deploy file give.
class deployment
{
  public:
    static constexpr std::size_t control_count = 3;
    static constexpr std::size_t entry_count = 2;

    deployment(std::filesystem::path folder, record& log, std::int64_t memory_mb = default_memory_mb)
        : folder_(std::move(folder)), log_(log), memory_mb_(memory_mb)
    {
        std::vector<std::string> ips;
        for (std::size_t i = 0; i < control_count + entry_count; ++i)
        {
            ips.push_back("127.0.0." + std::to_string(11 + i));
        }
        ips.emplace_back("127.0.0.1");
        ports_ = find_free_ports(ips, 4);
        for (std::size_t i = 0; i < control_count + entry_count; ++i)
        {
            processes_.push_back({ips[i], i < control_count, 0, 0});
        }
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    ~deployment()
    {
        for (std::size_t i = 0; i < processes_.size(); ++i)
        {
            kill(i);
        }
    }

    [[nodiscard]] address control(std::size_t number) const
    {
        return {processes_[number].ip, ports_[0]};
    }

    [[nodiscard]] address entry(std::size_t number) const
    {
        return {processes_[control_count + number].ip, ports_[0]};
    }

    [[nodiscard]] std::vector<address> controls() const
    {
        return {control(0), control(1), control(2)};
    }

    [[nodiscard]] std::size_t process_count() const
    {
        return processes_.size();
    }

    [[nodiscard]] bool start()
    {
        if (ports_.size() < 4)
        {
            return false;
        }
        for (std::size_t i = 0; i < processes_.size(); ++i)
        {
            start(i, true);
        }
        return true;
    }

    /// @brief Starts a process, the control ones first in number.
    void start(std::size_t number, bool first)
    {
        process& one = processes_[number];
        const std::string name = (one.is_control ? "core-" : "frontend-") + std::to_string(number);
        const std::filesystem::path data = folder_ / ("data-" + std::to_string(number));
        std::filesystem::create_directories(data);
        json settings = {{"interface", "platform"},
                         {"role", one.is_control ? "control" : "entry"},
                         {"name", name},
                         {"availability_zone", "z1"},
                         {"listen", address{one.ip, ports_[0]}.text()},
                         {"ip", one.ip},
                         {"internal_port", ports_[1]},
                         {"metrics_port", ports_[2]},
                         {"control_seeds", {control(0).text(), control(1).text(), control(2).text()}},
                         {"vm", {{"processors", 0.5}, {"memory_mb", memory_mb_}, {"open_files", 4096}}}};
        if (one.is_control)
        {
            settings["availability_zones"] = {"z1", "z2"};
            settings["data_folder"] = data.string();
            settings["found_group"] = first;
            settings["disks_lost_at_once"] = 1;
        }
        else
        {
            settings["readiness"] = address{one.ip, ports_[3]}.text();
            settings["timing"] = {{"stop_ms", 4500}};
        }
        const std::filesystem::path path = folder_ / ("settings-" + std::to_string(number) + ".json");
        std::ofstream(path) << settings.dump();
        const std::string program = one.is_control ? "target/plumspoked_control" : "target/plumspoked";
        const std::string variable = "PLUMSPOKE_SETTINGS=" + path.string();
        const std::string output = (folder_ / ("log-" + std::to_string(number))).string();
        const pid_t pid = ::fork();
        if (pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // none outlives this program
            const int log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            std::string environment = variable;
            std::string argument = program;
            std::array<char*, 2> arguments = {argument.data(), nullptr};
            std::array<char*, 2> variables = {environment.data(), nullptr};
            ::execve(program.c_str(), arguments.data(), variables.data());
            ::_exit(127);
        }
        one.pid = pid;
        ++one.starts;
        log_.write("process " + name + " started");
    }

    void signal(std::size_t number, int which)
    {
        if (processes_[number].pid > 0)
        {
            ::kill(processes_[number].pid, which);
        }
    }

    void kill(std::size_t number)
    {
        process& one = processes_[number];
        if (one.pid > 0)
        {
            ::kill(one.pid, SIGKILL);
            ::waitpid(one.pid, nullptr, 0);
            one.pid = 0;
        }
    }

    /// @brief Whether a process that was started has ended by itself; it is not running then.
    [[nodiscard]] bool has_ended(std::size_t number)
    {
        process& one = processes_[number];
        if (one.pid > 0 && ::waitpid(one.pid, nullptr, WNOHANG) == one.pid)
        {
            one.pid = 0;
            log_.write("process " + std::to_string(number) + " ended by itself");
        }
        return one.pid == 0;
    }

    /// @brief The control process that says of itself that it leads; the number of control processes if none
    ///        does.
    [[nodiscard]] std::size_t find_leader() const
    {
        for (std::size_t i = 0; i < control_count; ++i)
        {
            const address metrics{processes_[i].ip, ports_[2]};
            const std::optional<http_response> got =
                call(metrics, "GET", "/metrics", metrics.text(), "", 500);
            if (got.has_value() && got->body.find("plumspoke_leading 1") != std::string::npos)
            {
                return i;
            }
        }
        return control_count;
    }

    /// @brief Anonymous resident memory of a process in MiB, so without the program and its libraries.
    [[nodiscard]] std::int64_t resident_mb(std::size_t number) const
    {
        std::ifstream in("/proc/" + std::to_string(processes_[number].pid) + "/status");
        std::string line;
        while (std::getline(in, line))
        {
            if (line.rfind("RssAnon:", 0) == 0)
            {
                return std::atoll(line.c_str() + 8) / 1024;
            }
        }
        return 0;
    }

    static constexpr std::int64_t default_memory_mb = 256;

  private:
    struct process
    {
        std::string ip;
        bool is_control = false;
        pid_t pid = 0;
        int starts = 0;
    };

    std::filesystem::path folder_;
    record& log_;
    std::int64_t memory_mb_;
    std::vector<std::uint16_t> ports_; // listening, internal, metrics, readiness
    std::vector<process> processes_;
};

inline json make_configuration(std::uint64_t version, bool preconditions = true)
{
    return {{"version", version},
            {"routes",
             {{{"name", "r-one"},
               {"host", "one.example"},
               {"path-prefix", "/one/"},
               {"type", "non_idempotent"},
               {"timeout-ms", 3000},
               {"target-latency-ms", 1000},
               {"priority", 0},
               {"service", "svc"},
               {"max-attempts", 3},
               {"extension", 2.0}}}},
            {"services",
             {{{"name", "svc"},
               {"health-path", "/health"},
               {"max-connections", 64},
               {"protocol", "h1"},
               {"tls-enabled", false},
               {"preconditions", preconditions},
               {"headroom", false}}}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 262144},
              {"header-timeout-ms", 3000},
              {"idle-timeout-ms", 15000}}}};
}

/// @brief Sends the order of an operator until it is acknowledged, to one control process after the other.
inline bool send_order(const std::vector<address>& controls,
                       const std::string& method,
                       const std::string& path,
                       const std::string& body,
                       std::int64_t limit_ms,
                       record& log)
{
    const std::int64_t until = now_ms() + limit_ms;
    for (std::size_t next = 0; now_ms() < until; ++next)
    {
        const address& to = controls[next % controls.size()];
        const std::optional<http_response> got = call(to, method, path, to.text(), body, 1000);
        log.write("operator " + method + " " + path + " to " + to.text() + ": " +
                  (got.has_value() ? std::to_string(got->status) : "no answer"));
        if (got.has_value() && got->status / 100 == 2)
        {
            return true;
        }
        sleep_ms(200);
    }
    return false;
}

inline std::string make_job_id(std::uint64_t number)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

/// @brief Hands a job in and repeats it under the same id where the answer is missing, 502 or 504, as
///        clients do.
/// @return the last status; 0: no answer
inline int
submit(const deployment& system, const std::string& id, const json& job, record& log, int tries = 4)
{
    int status = 0;
    for (int i = 0; i < tries; ++i)
    {
        const address to = system.entry(static_cast<std::size_t>(i) % deployment::entry_count);
        const std::optional<http_response> got =
            call(to, "POST", "/one/" + id, "one.example", job.dump(), 3000);
        status = got.has_value() ? got->status : 0;
        log.write("client POST " + id + " to " + to.text() + ": " + std::to_string(status));
        if (status == 200 || (status / 100 == 4 && status != 408 && status != 429))
        {
            return status;
        }
        sleep_ms(300);
    }
    return status;
}

/// @brief The state that a job is shown in; empty: no answer, or another one than 200.
inline std::string read_state(const deployment& system, const std::string& id, record& log)
{
    for (std::size_t i = 0; i < deployment::entry_count; ++i)
    {
        const std::optional<http_response> got =
            call(system.entry(i), "GET", "/one/" + id, "one.example", "", 3000);
        log.write("client GET " + id + ": " +
                  (got.has_value() ? std::to_string(got->status) + " " + got->body : "no answer"));
        if (got.has_value() && got->status == 200)
        {
            return json::parse(got->body, nullptr, false).value("state", "");
        }
    }
    return {};
}

inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
