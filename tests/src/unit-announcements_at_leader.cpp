/// @file
/// @brief Guards against a leader that spends its processor time on announcements which its followers could
///        take.

#include "plumspoke/job_server/control_server.hpp"

#include "../../platform/control_plane.hpp"
#include "../../platform/workers.hpp"
#include "control_channel.hpp"
#include "silent_relay.hpp"
#include "single_control_vm_fixture.hpp"

using namespace plumspoke;
using job_server::announcement_relays;

namespace
{

constexpr auto call_timeout = milliseconds(1000);

time_point at_ms(int ms)
{
    return time_point(seconds(1000)) + milliseconds(ms);
}

/// @brief Counts the workers that are directed to an address.
int count_directed(const announcement_relays& relays, time_point now, const std::string& address)
{
    int count = 0;
    for (int worker = 0; worker < 1000; ++worker)
    {
        count += relays.choose(now, "worker" + std::to_string(worker)) == address ? 1 : 0;
    }
    return count;
}

/// @brief A control VM that leads alone.
class leading_control_vm
{
  public:
    leading_control_vm()
    {
        REQUIRE(::mkdtemp(folder_.data()) != nullptr);
        settings_ = test::single_control_vm(folder_);
        server_ = std::make_unique<job_server::control_server>(
            settings_,
            []
            {
                return std::vector<std::string>();
            },
            operators_,
            workers_);
        REQUIRE_FALSE(server_->start());
        channel_ = std::make_unique<job_server::control_channel>(settings_.internal);
        const time_point end = boot_clock::now() + seconds(10);
        while (!relay({}) && boot_clock::now() < end)
        {
            std::this_thread::sleep_for(milliseconds(20));
        }
    }
    leading_control_vm(const leading_control_vm&) = delete;
    leading_control_vm& operator=(const leading_control_vm&) = delete;
    ~leading_control_vm()
    {
        server_->stop();
        std::filesystem::remove_all(folder_);
    }

    /// @brief A follower's call.
    /// @return whether this VM leads
    bool relay(const std::string& announce_to)
    {
        wire::RelayRequest request;
        request.set_announce_to(announce_to);
        grpc::ClientContext context;
        job_server::set_timeout(context, call_timeout);
        wire::RelayReply answer;
        return channel_->stub().Relay(&context, request, &answer).ok() && answer.acting();
    }

    /// @return the body of the response
    [[nodiscard]] std::string announce(const std::string& worker) const
    {
        const std::string body =
            R"({"service":"pool","address":"127.0.0.1:9","zone":"z","state":"ready","sequence":1})";
        const int socket = test::connect_to(settings_.listen);
        const std::string request =
            "PUT /instances/" + worker +
            " HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
        REQUIRE(::send(socket, request.data(), request.size(), 0) == std::ssize(request));
        std::string received;
        std::array<char, 4096> buffer{};
        for (ssize_t got = 1; got > 0;)
        {
            got = ::recv(socket, buffer.data(), buffer.size(), 0);
            received.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        }
        ::close(socket);
        REQUIRE(received.starts_with("HTTP/1.1 200"));
        return received.substr(received.find("\r\n\r\n") + 4);
    }

  private:
    std::string folder_ = (std::filesystem::temp_directory_path() / "leading-XXXXXX").string();
    settings::job_settings settings_;
    platform::control_plane operators_;
    platform::workers workers_;
    std::unique_ptr<job_server::control_server> server_;
    std::unique_ptr<job_server::control_channel> channel_;
};

} // namespace

TEST_CASE("a leader directs workers to a follower that relays announcements")
{
    leading_control_vm leader;
    CHECK(leader.announce("w1") == "{}");
    REQUIRE(leader.relay("127.0.0.1:8166"));
    CHECK(leader.announce("w1") == R"({"heartbeat-endpoint":"127.0.0.1:8166"})");
}

TEST_CASE("workers are spread over the followers that relay")
{
    announcement_relays relays;
    CHECK(relays.choose(at_ms(0), "worker").empty());
    relays.record(at_ms(0), "a");
    relays.record(at_ms(0), "b");
    relays.record(at_ms(0), ""); // an older release
    const int of_a = count_directed(relays, at_ms(0), "a");
    CHECK(of_a > 400);
    CHECK(of_a + count_directed(relays, at_ms(0), "b") == 1000);

    SECTION("a follower that stops relaying gets no more workers")
    {
        relays.record(at_ms(1400), "a");
        CHECK(count_directed(relays, at_ms(1600), "a") == 1000);
    }
    SECTION("the others keep their follower when one appears")
    {
        relays.record(at_ms(100), "c");
        const int of_c = count_directed(relays, at_ms(100), "c");
        CHECK(of_c > 250);
        CHECK(count_directed(relays, at_ms(100), "a") <= of_a);
    }
}
