#pragma once

/// @file
/// @brief Clients of control VMs, more of them than a VM has HTTP threads: some open a connection for each
///        request, the others use theirs until the process has ended, also after a response that closes it.

#include "persistent_client.hpp"
#include "process_events.hpp"

#include <algorithm>
#include <cerrno>
#include <memory>
#include <nlohmann/json.hpp>
#include <span>

namespace plumspoke::test
{

/// @brief The announcement of a worker that answers no calls.
inline std::string make_announcement(std::size_t worker)
{
    const std::string number = std::to_string(worker);
    const nlohmann::json body = {{"born", 1},
                                 {"service", "s"},
                                 {"address", "127.0.0.1:9"},
                                 {"zone", "z"},
                                 {"labels", {"kind", "rack"}},
                                 {"free-capacity", {{"cpu", 1000}, {"mem-mb", 1000}, {"gpu", 0}}},
                                 {"state", "ready"},
                                 {"sequence", 1},
                                 {"machine", "vm" + number}};
    return make_request("PUT /instances/w" + number, body.dump());
}

/// @brief The load for a seed. Each hardship is drawn independently of the others.
inline drain_load draw_control_load(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto share = [&random](double value)
    {
        return random() % 2 == 0 ? value : 0;
    };
    drain_load load;
    load.seed = seed;
    load.shortest_pause = milliseconds(50 + random() % 100);
    load.longest_pause = load.shortest_pause + milliseconds(100 + random() % 400);
    load.new_connections = 0.5;
    load.idle_clients = share(0.3);
    load.halves_of_heads = share(0.1);
    load.halves_of_bodies = share(0.1);
    load.abandoned = share(0.05);
    load.pipelined = share(0.2);
    load.at_once = share(0.5);
    load.requests = {make_request("GET /config", "")};
    constexpr std::size_t workers = 40;
    for (std::size_t i = 0; i < workers; ++i)
    {
        load.requests.push_back(make_announcement(i));
    }
    load.posted = make_announcement(workers);
    return load;
}

/// @brief How the requests of all clients ended.
struct control_client_outcome
{
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t sent_after_close = 0; // on a connection whose last response ended it
    // Not answered:
    std::size_t killed = 0;    // with their process
    std::size_t cut = 0;       // sent within `allowed_cut` of their process's end
    std::size_t not_taken = 0; // sent behind a response that closes; the end of the stream came soon
    milliseconds slowest{0};
    std::vector<std::string> violations;
};

/// @brief Clients of several processes.
class control_clients
{
  public:
    /// @param addresses of the processes
    /// @param each number of clients of each process
    control_clients(const std::vector<std::string>& addresses, std::size_t each, const drain_load& load)
        : processes_(addresses.size())
    {
        for (std::size_t i = 0; i < each * processes_; ++i)
        {
            clients_.push_back(std::make_unique<persistent_client>(addresses.at(i % processes_), load, i));
            threads_.emplace_back(
                [this, &one = *clients_.back()]
                {
                    one.run(ended_);
                });
        }
    }
    control_clients(const control_clients&) = delete;
    control_clients& operator=(const control_clients&) = delete;
    ~control_clients()
    {
        stop();
    }

    void stop()
    {
        ended_ = true;
        for (std::thread& one : threads_)
        {
            if (one.joinable())
            {
                one.join();
            }
        }
    }

    /// @brief Checks all requests, after stop().
    /// @param events of the processes
    [[nodiscard]] control_client_outcome check(std::span<const std::unique_ptr<process_events>> events) const
    {
        control_client_outcome out;
        for (std::size_t i = 0; i < clients_.size(); ++i)
        {
            for (const persistent_client::exchange& one : clients_[i]->exchanges())
            {
                check(one, i % processes_, *events[i % processes_], out);
            }
        }
        return out;
    }

  private:
    static constexpr auto allowed_cut = milliseconds(200); // before the end of a connection
    static constexpr auto response_limit = milliseconds(3000);

    static void check(const persistent_client::exchange& one,
                      std::size_t process,
                      const process_events& events,
                      control_client_outcome& out)
    {
        if (one.abandoned)
        {
            return;
        }
        ++out.sent;
        out.sent_after_close += one.after_close ? 1 : 0;
        const milliseconds took = std::chrono::duration_cast<milliseconds>(one.ended_at - one.sent_at) -
                                  events.paused_between(one.sent_at, one.ended_at);
        if (one.status != 0)
        {
            ++out.answered;
            out.slowest = std::max(out.slowest, took);
            if (took > response_limit)
            {
                out.violations.push_back(describe(one, process, took, "answered late"));
            }
            return;
        }
        const time_point from = one.sent_at - allowed_cut;
        const time_point to = one.ended_at + allowed_cut;
        const bool stopped = events.stopped_between(from, to);
        if (events.killed_between(from, to))
        {
            ++out.killed;
        }
        else if (took < allowed_cut && stopped)
        {
            ++out.cut;
        }
        else if (one.error == ECONNRESET && one.number > 1)
        {
            out.violations.push_back(describe(one, process, took, "reset behind a response"));
        }
        else if (took < allowed_cut && one.after_close)
        {
            ++out.not_taken;
        }
        else
        {
            out.violations.push_back(describe(one, process, took, "not answered"));
        }
    }

    [[nodiscard]] static std::string
    describe(const persistent_client::exchange& one, std::size_t process, milliseconds took, const char* how)
    {
        return std::string(how) + " after " + std::to_string(took.count()) + " ms by control VM " +
               std::to_string(process) + ": " + one.kind + ", request " + std::to_string(one.number) +
               " of its connection" + (one.after_close ? " (after Connection: close)" : "") + ", error " +
               std::to_string(one.error) + ", sent at " +
               std::to_string(
                   std::chrono::duration_cast<milliseconds>(one.sent_at.time_since_epoch()).count());
    }

    std::size_t processes_;
    std::atomic<bool> ended_{false};
    std::vector<std::unique_ptr<persistent_client>> clients_;
    std::vector<std::thread> threads_;
};

} // namespace plumspoke::test
