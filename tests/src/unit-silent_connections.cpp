/// @file
/// @brief Connections that go silent for good, without a reset, while new ones work: how soon is a new one
/// used?
///
/// Symptom: a lasting task doesn't run though there is room; its runs lapse, under one leader after the
/// other.
///
/// Sequence: open connections go silent. The log's transport waits 500 ms on the old connection, drops what
/// it sent, waits 500 ms again, and only then connects anew; so does the answer on its own way back. A
/// leader's lease is 600 ms, so it ends; pre-votes and votes meet the same connections. A worker's last
/// renewal may be a second old and its lease is 4 s: the election leaves about a second for the new leader's
/// first poll and its renewal, and one more silent connection uses that up. Workers go on to another control
/// VM meanwhile and leave connections behind, each of which kept a thread for 60 s; with all threads held,
/// announcements wait too.
///
/// Cause: the limits of calls were chosen one by one, none against the lease or the caller's timeout that it
/// has to fit into twice: once for the silent connection, once for the new one.
///
/// What settled it, with three replicas, a leader, a worker and a server behind a relay that goes silent:
/// - No acting leader for more than 1 s after 8 of 12 silences, 1.3 to 2.1 s; in the replicas' log,
/// candidates
///   of one term for 1.6 s before anyone had the votes of the next.
/// - A call to the leader used its whole 800 ms on the silent connection, two times of three.
/// - A worker whose connections went silent twice in a row was asked with success 2.8 s later: 4.45 s with
/// the
///   age of its last renewal, the leader's pauses and a reserve, of a lease of 4 s.
/// - A server whose four threads were held by connections that had been left answered nothing within 4 s.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "plumspoke/http/client.hpp"
#include "plumspoke/http/server.hpp"
#include "plumspoke/job_server/leader_client.hpp"
#include "plumspoke/job_server/worker_client.hpp"
#include "plumspoke/replica/driver.hpp"
#include "plumspoke/replica/grpc_transport.hpp"
#include "plumspoke/settings/job_settings.hpp"

#include "control_channel.hpp"
#include "grpc_keepalive.hpp"
#include "silent_relay.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <grpcpp/impl/service_type.h>

using namespace plumspoke;

namespace
{

/// @brief Milliseconds since a time.
std::int64_t ms_since(time_point begun)
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun).count();
}

template <typename Condition> bool holds_within(milliseconds limit, Condition condition)
{
    const time_point end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return false;
}

settings::job_settings default_settings_of_control()
{
    std::vector<settings::fault> faults;
    settings::job_settings read =
        settings::parse_job_settings(nlohmann::json::parse(R"({"interface":"platform","role":"control",
            "name":"c","availability_zone":"z","listen":"127.0.0.1:8166","ip":"127.0.0.1",
            "internal_port":7720,"data_folder":"/data"})"),
                                     faults);
    REQUIRE(faults.empty());
    return read;
}

// ---- replicas ----------------------------------------------------------------------------------

/// @brief Keeps nothing.
class empty_machine final : public replica::state_machine
{
  public:
    std::string apply(replica::log_index /*index*/, std::string_view /*command*/) override
    {
        return {};
    }
    [[nodiscard]] std::string save() const override
    {
        return {};
    }
    void restore(std::string_view /*saved*/) override
    {
    }
};

/// @brief One replica that the others reach through a relay.
class replica_process
{
  public:
    replica_process() : own_address_(test::free_address()), relay(own_address_)
    {
    }
    replica_process(const replica_process&) = delete;
    replica_process& operator=(const replica_process&) = delete;
    ~replica_process()
    {
        runner->stop();
        server_->Shutdown(std::chrono::system_clock::now() + milliseconds(100));
    }

    void start(const std::filesystem::path& folder, const replica::membership& members)
    {
        disk_ = std::make_unique<replica::storage>(folder);
        REQUIRE_FALSE(disk_->initialize(relay.address(), members));
        transport_ = std::make_unique<replica::grpc_transport>(relay.address());
        const settings::job_settings read = default_settings_of_control();
        replica::driver_options options;
        options.node.election_timeout = milliseconds(read.election_timeout_ms);
        options.node.heartbeat_interval = milliseconds(read.heartbeat_ms);
        options.node.drift_margin = milliseconds(read.drift_margin_ms);
        runner = std::make_unique<replica::driver>(options, *disk_, machine_, *transport_);
        service_ = replica::make_replica_service(*runner);
        grpc::ServerBuilder builder;
        builder.AddListeningPort(own_address_, grpc::InsecureServerCredentials());
        builder.RegisterService(service_.get());
        server_ = builder.BuildAndStart();
        REQUIRE(server_ != nullptr);
        REQUIRE_FALSE(runner->start(relay.address()));
    }

  private:
    std::string own_address_;
    empty_machine machine_;
    std::unique_ptr<replica::storage> disk_;
    std::unique_ptr<replica::grpc_transport> transport_;
    std::unique_ptr<grpc::Service> service_;
    std::unique_ptr<grpc::Server> server_;

  public:
    test::silent_relay relay;
    std::unique_ptr<replica::driver> runner;
};

/// @brief A group of three in a folder of its own.
class group
{
  public:
    group()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "plumspoke-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        replica::membership members;
        for (const replica_process& one : all)
        {
            members.members.push_back({one.relay.address(), one.relay.address(), one.relay.address(), true});
        }
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            all[i].start(folder_ / std::to_string(i), members);
        }
    }
    group(const group&) = delete;
    group& operator=(const group&) = delete;
    ~group()
    {
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] bool has_acting_leader() const
    {
        const time_point now = std::chrono::steady_clock::now();
        return std::any_of(all.begin(),
                           all.end(),
                           [now](const replica_process& one)
                           {
                               return one.runner->may_act(now);
                           });
    }

    /// @brief The longest time without an acting leader within a span from now on.
    [[nodiscard]] std::int64_t longest_gap_ms(milliseconds span) const
    {
        const time_point end = std::chrono::steady_clock::now() + span;
        std::int64_t longest = 0;
        time_point acted_at = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() < end)
        {
            longest = std::max(longest, ms_since(acted_at));
            acted_at = has_acting_leader() ? std::chrono::steady_clock::now() : acted_at;
            std::this_thread::sleep_for(milliseconds(2));
        }
        return longest;
    }

    std::array<replica_process, 3> all;

  private:
    std::filesystem::path folder_;
};

// ---- a leader that answers ---------------------------------------------------------------------

/// @brief Leads, and takes every relayed announcement.
class willing_leader final : public wire::JobControl::Service
{
  public:
    grpc::Status Leader(grpc::ServerContext* /*context*/,
                        const wire::LeaderQuery* /*request*/,
                        wire::LeaderAnswer* reply) override
    {
        reply->set_acting(true);
        reply->set_term(1);
        return grpc::Status::OK;
    }
    grpc::Status Relay(grpc::ServerContext* /*context*/,
                       const wire::RelayRequest* /*request*/,
                       wire::RelayReply* reply) override
    {
        reply->set_acting(true);
        return grpc::Status::OK;
    }
};

/// @brief A call of a caller who waits for so long; whether it was answered.
bool relay_within(job_server::leader_client& link, milliseconds limit)
{
    const auto attempt = [](job_server::control_channel& to, duration left)
    {
        grpc::ClientContext context;
        job_server::set_timeout(context, left);
        wire::RelayReply reply;
        return to.stub().Relay(&context, {}, &reply).ok() ? job_server::call_result::answered
                                                          : job_server::call_result::unknown;
    };
    return link.call(std::chrono::steady_clock::now() + limit, attempt) == job_server::call_result::answered;
}

// ---- a worker that answers ---------------------------------------------------------------------

/// @brief Polls as plain paths.
class plain_polls final : public protocol::worker_protocol
{
  public:
    [[nodiscard]] http::request write(const dispatch::order& what) const override
    {
        http::request out;
        out.method = "GET";
        out.path = "/" + std::to_string(std::get<dispatch::hold_order>(what).wait_ms);
        return out;
    }
    [[nodiscard]] dispatch::worker_answer read(const dispatch::order& /*what*/,
                                               const http::response& got) const override
    {
        dispatch::worker_answer out;
        out.how = got.status == 200 ? dispatch::reply::done : dispatch::reply::none;
        return out;
    }
};

http::response answer_after_wait(const http::request& received)
{
    std::this_thread::sleep_for(milliseconds(std::stoi(received.path.substr(1))));
    http::response out;
    out.status = 200;
    return out;
}

} // namespace

TEST_CASE("a leader goes on when all connections between replicas go silent")
{
    group three;
    REQUIRE(holds_within(seconds(10),
                         [&]
                         {
                             return three.has_acting_leader();
                         }));
    CHECK(three.longest_gap_ms(seconds(2)) < 100); // all is calm, and every connection is in use
    for (int round = 0; round < 3; ++round)
    {
        for (replica_process& one : three.all)
        {
            one.relay.go_silent();
        }
        // A worker's last renewal may be 1 s old, its lease is 4 s, and a new leader asks it twice.
        CHECK(three.longest_gap_ms(seconds(4)) < 1000);
    }
}

TEST_CASE("a call to the leader is answered in time though its connection is silent")
{
    willing_leader service;
    const std::string address = test::free_address();
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(&service);
    const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    REQUIRE(server != nullptr);
    test::silent_relay relay(address);
    job_server::leader_client link("",
                                   [&relay]
                                   {
                                       return std::vector<std::string>{relay.address()};
                                   });
    link.start();
    // What operators and workers are answered within, before they go on to another control VM.
    constexpr auto answer_limit = milliseconds(800);
    REQUIRE(relay_within(link, seconds(5)));
    for (int round = 0; round < 3; ++round)
    {
        relay.go_silent();
        CHECK(relay_within(link, answer_limit));
        std::this_thread::sleep_for(milliseconds(200));
    }
    link.stop();
    server->Shutdown(std::chrono::system_clock::now() + milliseconds(100));
}

TEST_CASE("a server ends connections whose other end is silent, also those without calls")
{
    willing_leader service;
    const std::string address = test::free_address();
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(&service);
    job_server::enable_keepalive(builder);
    const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    REQUIRE(server != nullptr);
    test::silent_relay relay(address);
    job_server::control_channel asking(relay.address());
    REQUIRE(asking.connect(seconds(5)));
    std::this_thread::sleep_for(job_server::keepalive_interval + seconds(1));
    REQUIRE(asking.connect(milliseconds(100)));
    CHECK(relay.connections() == 1); // a connection that answers is kept
    relay.go_silent();
    CHECK_FALSE(relay.target_ended_silent_ones());
    CHECK(holds_within(job_server::keepalive_interval + job_server::keepalive_timeout + seconds(3),
                       [&relay]
                       {
                           return relay.target_ended_silent_ones();
                       }));
    server->Shutdown(std::chrono::system_clock::now() + milliseconds(100));
}

TEST_CASE("a worker's lease is renewed in time though its connections go silent twice in a row")
{
    http::server_options options;
    options.address = test::free_address();
    http::server worker(options, &answer_after_wait);
    REQUIRE(worker.start());
    test::silent_relay relay(options.address);
    boost::asio::io_context context;
    const plain_polls protocol;
    std::atomic<int> answers{0};
    std::atomic<bool> done{false};
    job_server::worker_client caller(context,
                                     protocol,
                                     [&](const dispatch::sent_order&, const dispatch::worker_answer& got)
                                     {
                                         done = got.how == dispatch::reply::done;
                                         ++answers;
                                     });
    const auto poll = [&](std::int64_t wait_ms)
    {
        dispatch::hold_order sent;
        sent.to = {{"w"}, relay.address()};
        sent.wait_ms = wait_ms;
        const int before = answers;
        caller.send(sent);
        while (answers == before)
        {
            context.restart();
            context.run_one_for(seconds(1));
        }
        return done.load();
    };
    const dispatch::dispatch_options limits;
    REQUIRE(poll(0));
    REQUIRE(poll(limits.poll_wait.count())); // its lease was given before it waited
    const time_point silent_at = std::chrono::steady_clock::now();
    relay.go_silent();
    CHECK_FALSE(poll(limits.poll_wait.count()));
    // A worker that didn't answer is asked again at once, without waiting; it answers on a new connection,
    // which goes silent before the lease is renewed.
    REQUIRE(poll(0));
    relay.go_silent();
    CHECK_FALSE(poll(0));
    REQUIRE(poll(0));
    const std::int64_t pauses_ms = 150; // the leader's, before it asks again
    const std::int64_t reserve_ms = 500;
    const std::int64_t lease_ms = std::chrono::duration_cast<milliseconds>(limits.lease).count();
    CHECK(limits.poll_wait.count() + ms_since(silent_at) + pauses_ms + reserve_ms < lease_ms);
    caller.reset();
}

TEST_CASE("connections that callers have left don't keep a control VM's threads")
{
    const settings::job_settings read = default_settings_of_control();
    http::server_options options;
    options.address = test::free_address();
    options.threads = read.http_threads;
    options.keep_alive_ms = read.keep_alive_ms;
    const std::string asked = "GET /0 HTTP/1.1\r\nHost: x\r\n\r\n";
    std::vector<int> open;
    const auto is_answered_within = [&](milliseconds limit)
    {
        open.push_back(test::connect_to(options.address));
        const timeval longest{limit.count() / 1000, limit.count() % 1000 * 1000};
        ::setsockopt(open.back(), SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof longest);
        char first = 0;
        return ::send(open.back(), asked.data(), asked.size(), MSG_NOSIGNAL) > 0 &&
               ::recv(open.back(), &first, 1, 0) == 1;
    };
    SECTION("all workers of a large fleet are answered at one control VM, though each leaves its connection")
    {
        constexpr int workers = 490;
        constexpr auto timeout = milliseconds(1000); // a worker's, before it goes on to another control VM
        http::server server(options, &answer_after_wait);
        REQUIRE(server.start());
        int answered = 0;
        while (answered < workers && is_answered_within(timeout))
        {
            ++answered;
        }
        CHECK(answered == workers);
    }
    SECTION("a thread is free again before a worker's lease is over")
    {
        options.threads = 4;
        http::server server(options, &answer_after_wait);
        REQUIRE(server.start());
        for (std::int64_t i = 0; i < options.threads; ++i)
        {
            REQUIRE(is_answered_within(seconds(1)));
        }
        CHECK(is_answered_within(milliseconds(read.worker_lease_ms)));
    }
    for (const int one : open)
    {
        ::close(one);
    }
}
