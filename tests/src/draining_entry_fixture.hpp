#pragma once

/// @file
/// @brief An entry that stops while clients use it until its process has ended: on open connections and on
///        new ones, more of them than it has threads.

#include "persistent_client.hpp"
#include "stopping_entry_fixture.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace plumspoke::test
{

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
