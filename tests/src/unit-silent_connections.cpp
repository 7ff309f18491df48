/// @file
/// @brief A new connection is used soon after an open one becomes unresponsive for good, without a reset.
///
/// Guards against call timeouts that do not fit twice into the lease or the caller's timeout: once for the
/// unresponsive connection, once for the new one. The failure shows as a long-running task that does not run
/// although there is capacity, because its runs lapse under one leader after the other.
///
/// With a timeout of 500 ms, the replicas' transport needs two timeouts before it reconnects, and so does the
/// reply on its way back. A leader's lease is 600 ms, so it expires, and pre-votes and votes hit the same
/// connections. A worker's lease is 4 s and its last renewal may be 1 s old: after the election about 1 s is
/// left for the new leader's first poll and renewal, which one more unresponsive connection uses up. Workers
/// meanwhile try another control VM and leave connections behind. If each of those occupies a server thread
/// for 60 s, announcements have to wait, too.
///
/// Measured with such timeouts, three replicas, a leader, a worker and a server behind a relay that stops
/// forwarding:
/// - No acting leader for 1.3 to 2.1 s after 8 of 12 interruptions. Candidates of one term needed 1.6 s until
///   one of them won the next term.
/// - 2 of 3 calls to the leader used their whole 800 ms on the unresponsive connection.
/// - A worker whose connections became unresponsive twice in a row was polled successfully only 2.8 s later.
///   With the age of its last renewal, the leader's pauses and a reserve that is 4.45 s; its lease is 4 s.
/// - A server with four threads, all occupied by abandoned connections, replied to nothing within 4 s.

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
#include "replica_group_fixture.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <grpcpp/impl/service_type.h>

using namespace plumspoke;
using test::default_control_settings;
using test::elapsed_ms;
using test::replica_process;
using test::test_cluster;

namespace
{

template <typename Condition> bool holds_within(milliseconds limit, Condition condition)
{
    const time_point end = boot_clock::now() + limit;
    while (boot_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return false;
}

// ---- leader ------------------------------------------------------------------------------------

/// @brief Always the acting leader; accepts every relayed announcement.
class accepting_leader final : public wire::JobControl::Service
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

/// @brief Makes a call through the link; returns whether it was answered within the limit.
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
    return link.call(boot_clock::now() + limit, attempt) == job_server::call_result::answered;
}

// ---- worker ------------------------------------------------------------------------------------

/// @brief Encodes a poll as a path that contains its wait in milliseconds.
class path_protocol final : public protocol::worker_protocol
{
  public:
    [[nodiscard]] http::request write(const dispatch::order& what) const override
    {
        http::request out;
        out.method = "GET";
        out.path = "/" + std::to_string(std::get<dispatch::poll_order>(what).wait_ms);
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

TEST_CASE("a group has a leader again soon after all connections between replicas become unresponsive")
{
    test_cluster cluster;
    REQUIRE(holds_within(seconds(10),
                         [&]
                         {
                             return cluster.has_leader();
                         }));
    CHECK(cluster.longest_leaderless_ms(seconds(2)) < 100); // also opens every connection
    for (int round = 0; round < 3; ++round)
    {
        for (replica_process& current : cluster.all)
        {
            current.relay.go_silent();
        }
        // A worker's last renewal may be 1 s old, its lease is 4 s, and a new leader has to poll it twice.
        CHECK(cluster.longest_leaderless_ms(seconds(4)) < 1000);
    }
}

TEST_CASE("a call to the leader is answered in time although its connection is unresponsive")
{
    accepting_leader service;
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
    // After this time operators and workers try another control VM.
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

TEST_CASE("a server closes connections whose peer is unresponsive, also those without calls")
{
    accepting_leader service;
    const std::string address = test::free_address();
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(&service);
    job_server::enable_keepalive(builder);
    const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    REQUIRE(server != nullptr);
    test::silent_relay relay(address);
    job_server::control_channel channel(relay.address());
    REQUIRE(channel.connect(seconds(5)));
    std::this_thread::sleep_for(job_server::keepalive_interval + seconds(1));
    REQUIRE(channel.connect(milliseconds(100)));
    CHECK(relay.connections() == 1); // a responsive connection is kept
    relay.go_silent();
    CHECK_FALSE(relay.target_closed_silent_connections());
    CHECK(holds_within(job_server::keepalive_interval + job_server::keepalive_timeout + seconds(3),
                       [&relay]
                       {
                           return relay.target_closed_silent_connections();
                       }));
    server->Shutdown(std::chrono::system_clock::now() + milliseconds(100));
}

TEST_CASE("a worker's lease is renewed in time although its connections become unresponsive twice in a row")
{
    http::server_options options;
    options.address = test::free_address();
    http::server worker(options, &answer_after_wait);
    REQUIRE(worker.start());
    test::silent_relay relay(options.address);
    boost::asio::io_context context;
    const path_protocol protocol;
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
        dispatch::poll_order sent;
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
    REQUIRE(poll(limits.poll_wait.count())); // the lease was granted before the poll waited
    const time_point silent_at = boot_clock::now();
    relay.go_silent();
    CHECK_FALSE(poll(limits.poll_wait.count()));
    // A worker that did not reply is polled again at once, without a wait. It replies on a new connection,
    // which becomes unresponsive before the lease is renewed.
    REQUIRE(poll(0));
    relay.go_silent();
    CHECK_FALSE(poll(0));
    REQUIRE(poll(0));
    const std::int64_t pauses_ms = 150; // of the leader, before it polls again
    const std::int64_t reserve_ms = 500;
    const std::int64_t lease_ms = std::chrono::duration_cast<milliseconds>(limits.lease).count();
    CHECK(limits.poll_wait.count() + elapsed_ms(silent_at) + pauses_ms + reserve_ms < lease_ms);
    caller.reset();
}

TEST_CASE("abandoned connections do not occupy the threads of a control VM")
{
    const settings::job_settings read = default_control_settings();
    http::server_options options;
    options.address = test::free_address();
    options.threads = read.http_threads;
    options.keep_alive_ms = read.keep_alive_ms;
    const std::string request_text = "GET /0 HTTP/1.1\r\nHost: x\r\n\r\n";
    std::vector<int> sockets;
    const auto is_answered_within = [&](milliseconds limit)
    {
        sockets.push_back(test::connect_to(options.address));
        const timeval timeout_value{limit.count() / 1000, limit.count() % 1000 * 1000};
        ::setsockopt(sockets.back(), SOL_SOCKET, SO_RCVTIMEO, &timeout_value, sizeof timeout_value);
        char first = 0;
        return ::send(sockets.back(), request_text.data(), request_text.size(), MSG_NOSIGNAL) > 0 &&
               ::recv(sockets.back(), &first, 1, 0) == 1;
    };
    SECTION("one control VM replies to all workers of a large fleet, although each abandons its connection")
    {
        constexpr int workers = 490;
        constexpr auto timeout = milliseconds(1000); // of a worker, before it tries another control VM
        http::server server(options, &answer_after_wait);
        REQUIRE(server.start());
        int answered = 0;
        while (answered < workers && is_answered_within(timeout))
        {
            ++answered;
        }
        CHECK(answered == workers);
    }
    SECTION("a thread is free again before a worker's lease expires")
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
    for (const int descriptor : sockets)
    {
        ::close(descriptor);
    }
}
