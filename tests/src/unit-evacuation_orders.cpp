/// @file
/// @brief Control VMs carry out an order on an evacuation only while its operator waits for it.
///
/// Guards against an acknowledged evacuation that an outdated order takes back: a control VM that was stopped
/// carried out an order whose operator had gone on, and one whose leader didn't answer repeated it.

#include "plumspoke/job_server/control_server.hpp"

#include "../../platform/control_plane.hpp"
#include "../../platform/workers.hpp"
#include "control_channel.hpp"
#include "plumspoke/http/client.hpp"
#include "silent_relay.hpp"
#include "single_control_vm_fixture.hpp"

#include <thread>
#include <unistd.h>

using namespace plumspoke;

namespace
{

constexpr auto call_timeout = milliseconds(3000);
constexpr const char* zone = "zone";

http::request make_request(const std::string& method, const std::string& path)
{
    http::request out;
    out.method = method;
    out.path = path;
    return out;
}

/// @brief A control VM, in a folder of its own.
class control_vm
{
  public:
    explicit control_vm(const std::optional<std::string>& leader = std::nullopt)
    {
        REQUIRE(::mkdtemp(folder_.data()) != nullptr);
        settings_ = test::single_control_vm(folder_);
        settings_.metrics = test::free_address();
        settings_.found_group = !leader.has_value();
        const auto seeds = [leader]
        {
            return leader.has_value() ? std::vector<std::string>{*leader} : std::vector<std::string>();
        };
        server_ = std::make_unique<job_server::control_server>(settings_, seeds, operators_, workers_);
        REQUIRE_FALSE(server_->start());
    }
    control_vm(const control_vm&) = delete;
    control_vm& operator=(const control_vm&) = delete;
    ~control_vm()
    {
        server_->stop();
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] const settings::job_settings& settings() const noexcept
    {
        return settings_;
    }

  private:
    std::string folder_ = (std::filesystem::temp_directory_path() / "plumspoke-order-XXXXXX").string();
    settings::job_settings settings_;
    platform::control_plane operators_;
    platform::workers workers_;
    std::unique_ptr<job_server::control_server> server_;
};

/// @brief A control VM that leads, and another control VM that calls it.
class leading_vm
{
  public:
    leading_vm() : channel_(vm_.settings().internal)
    {
        for (int i = 0; i < 100 && !is_leading(); ++i)
        {
            std::this_thread::sleep_for(milliseconds(50));
        }
        REQUIRE(is_leading());
    }

    [[nodiscard]] wire::ZoneVersion read_version(const std::string& of = zone)
    {
        wire::ReadZoneVersionRequest request;
        request.set_availability_zone(of);
        grpc::ClientContext context;
        job_server::set_timeout(context, call_timeout);
        wire::ReadZoneVersionReply reply;
        REQUIRE(channel_.stub().ReadZoneVersion(&context, request, &reply).ok());
        return reply.version();
    }

    wire::OrderReply
    order(bool evacuated, const std::optional<wire::ZoneVersion>& expected, const std::string& of = zone)
    {
        wire::SetEvacuationRequest request;
        request.mutable_order()->set_availability_zone(of);
        request.mutable_order()->set_evacuated(evacuated);
        if (expected.has_value())
        {
            *request.mutable_expected() = *expected;
        }
        grpc::ClientContext context;
        job_server::set_timeout(context, call_timeout);
        wire::OrderReply reply;
        REQUIRE(channel_.stub().SetEvacuation(&context, request, &reply).ok());
        return reply;
    }

    /// @brief The number of evacuated zones.
    [[nodiscard]] bool has_evacuated(int zones) const
    {
        const auto got = http::call(vm_.settings().metrics, make_request("GET", "/metrics"), call_timeout);
        REQUIRE(got.has_value());
        return got->body.find("plumspoke_evacuated_zones " + std::to_string(zones) + "\n") !=
               std::string::npos;
    }

    [[nodiscard]] int send(const std::string& method) const
    {
        const auto got = http::call(
            vm_.settings().listen, make_request(method, std::string("/evacuate/") + zone), call_timeout);
        return got.has_value() ? got->status : 0;
    }

  private:
    [[nodiscard]] bool is_leading()
    {
        grpc::ClientContext context;
        job_server::set_timeout(context, call_timeout);
        wire::LeaderAnswer reply;
        return channel_.stub().Leader(&context, {}, &reply).ok() && reply.acting();
    }

    control_vm vm_;
    job_server::control_channel channel_;
};

/// @brief A stand-in for a leader that counts the orders sent to it.
class leader_stand_in final : public wire::JobControl::Service
{
  public:
    enum class behavior : std::uint8_t
    {
        prompt,       // carries out each order at once
        unresponsive, // knows no versions, as of an older release, and doesn't answer orders
    };

    explicit leader_stand_in(behavior kind) : behavior_(kind)
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

    grpc::Status ReadZoneVersion(grpc::ServerContext* /*context*/,
                                 const wire::ReadZoneVersionRequest* /*request*/,
                                 wire::ReadZoneVersionReply* reply) override
    {
        if (behavior_ == behavior::unresponsive)
        {
            return {grpc::StatusCode::UNIMPLEMENTED, ""};
        }
        reply->set_acting(true);
        reply->mutable_version()->set_term(1);
        return grpc::Status::OK;
    }

    grpc::Status SetEvacuation(grpc::ServerContext* context,
                               const wire::SetEvacuationRequest* /*request*/,
                               wire::OrderReply* reply) override
    {
        ++orders_;
        while (behavior_ == behavior::unresponsive && !context->IsCancelled())
        {
            std::this_thread::sleep_for(milliseconds(5));
        }
        reply->set_acting(true);
        reply->set_durable(true);
        return context->IsCancelled() ? grpc::Status::CANCELLED : grpc::Status::OK;
    }

    [[nodiscard]] int orders() const noexcept
    {
        return orders_;
    }

    const std::string address = test::free_address();

  private:
    behavior behavior_;
    std::atomic<int> orders_{0};
    std::unique_ptr<grpc::Server> server_;
};

/// @brief A control VM whose link to the leader becomes slow once it has sent an order there.
class distant_vm
{
  public:
    explicit distant_vm(milliseconds delay)
    {
        const time_point limit = boot_clock::now() + seconds(5);
        while (send() != 200 && boot_clock::now() < limit)
        {
        }
        orders_before_ = leader_.orders();
        REQUIRE(orders_before_ > 0);
        link_.delay_bytes(delay);
    }

    [[nodiscard]] int send()
    {
        const auto got =
            http::call(vm_.settings().listen, make_request("POST", "/evacuate/zone"), call_timeout);
        return got.has_value() ? got->status : 0;
    }

    /// @brief The number of orders that the leader has received over the slow link.
    [[nodiscard]] int orders() const noexcept
    {
        return leader_.orders() - orders_before_;
    }

  private:
    leader_stand_in leader_{leader_stand_in::behavior::prompt};
    test::silent_relay link_{leader_.address};
    control_vm vm_{link_.address()};
    int orders_before_ = 0;
};

} // namespace

TEST_CASE("a leader does not commit an order if another one came after its version was read")
{
    leading_vm leader;
    REQUIRE(leader.order(true, leader.read_version()).durable());
    REQUIRE(leader.has_evacuated(1));
    const wire::ZoneVersion outdated = leader.read_version();

    SECTION("that has changed the state")
    {
        REQUIRE(leader.order(false, leader.read_version()).durable());
        REQUIRE(leader.order(true, leader.read_version()).durable());
    }

    SECTION("that was without effect")
    {
        REQUIRE(leader.order(true, leader.read_version()).durable());
    }

    SECTION("that an older release has sent without a version")
    {
        REQUIRE(leader.order(true, std::nullopt).durable());
    }

    SECTION("that an operator has sent to it")
    {
        REQUIRE(leader.send("POST") == 200);
    }

    const wire::OrderReply reply = leader.order(false, outdated);
    CHECK(reply.conflict());
    CHECK_FALSE(reply.durable());
    CHECK(leader.has_evacuated(1));
    CHECK(leader.order(false, leader.read_version()).durable());
    CHECK(leader.has_evacuated(0));
}

TEST_CASE("orders on different zones do not conflict")
{
    leading_vm leader;
    const wire::ZoneVersion first = leader.read_version();
    const wire::ZoneVersion other = leader.read_version("other");
    CHECK(leader.order(true, first).durable());
    CHECK(leader.order(true, other, "other").durable());
    CHECK(leader.has_evacuated(2));
}

TEST_CASE("a version of another term is not valid")
{
    leading_vm leader;
    wire::ZoneVersion other_term = leader.read_version();
    other_term.set_term(other_term.term() + 1);
    const wire::OrderReply reply = leader.order(true, other_term);
    CHECK_FALSE(reply.acting());
    CHECK_FALSE(reply.durable());
    CHECK(leader.has_evacuated(0));
}

TEST_CASE("a control VM does not repeat an order after its operator has gone on")
{
    leader_stand_in leader(leader_stand_in::behavior::unresponsive);
    const control_vm vm(leader.address);
    std::this_thread::sleep_for(milliseconds(700)); // until it has found the leader
    const int socket = test::connect_to(vm.settings().listen);
    const std::string order = "POST /evacuate/zone HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    REQUIRE(::send(socket, order.data(), order.size(), MSG_NOSIGNAL) > 0);
    for (int i = 0; i < 200 && leader.orders() == 0; ++i)
    {
        std::this_thread::sleep_for(milliseconds(5));
    }
    REQUIRE(leader.orders() == 1);
    ::close(socket);
    std::this_thread::sleep_for(milliseconds(1500)); // longer than an order may take
    CHECK(leader.orders() == 1);
}

TEST_CASE("an operator whose order the leader does not answer is refused before it goes on")
{
    leader_stand_in leader(leader_stand_in::behavior::unresponsive);
    const control_vm vm(leader.address);
    std::this_thread::sleep_for(milliseconds(700)); // until it has found the leader
    const time_point sent_at = boot_clock::now();
    const auto got = http::call(vm.settings().listen, make_request("POST", "/evacuate/zone"), call_timeout);
    CHECK(boot_clock::now() - sent_at < milliseconds(1000));
    REQUIRE(got.has_value());
    CHECK(got->status == 503);
}

TEST_CASE("an order that is late because of a slow link is carried out")
{
    distant_vm vm(milliseconds(100));
    CHECK(vm.send() == 200);
    CHECK(vm.orders() == 1);
}

TEST_CASE("an order is refused before its operator goes on if the link to the leader is too slow")
{
    distant_vm vm(milliseconds(400));
    const time_point sent_at = boot_clock::now();
    CHECK(vm.send() == 503);
    CHECK(boot_clock::now() - sent_at < milliseconds(1000));
    std::this_thread::sleep_for(milliseconds(2000)); // several times the delay
    CHECK(vm.orders() == 0);
}
