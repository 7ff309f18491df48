/// @file
/// @brief The cancel of a job whose submit is in flight.
///
/// Guards against a job that runs after its cancel was answered. A submit gets no definite answer in time, so
/// the caller cancels the job. The leader looked it up only in the applied state, did not find it and
/// answered that it does not exist; then the submit was committed, and the job ran.

#include "plumspoke/job_server/control_server.hpp"

#include "../../platform/control_plane.hpp"
#include "../../platform/workers.hpp"
#include "control_channel.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "single_control_vm_fixture.hpp"

#include <thread>
#include <unistd.h>

using namespace plumspoke;

namespace
{

constexpr auto call_timeout = milliseconds(3000);
constexpr std::size_t slow_payload_bytes = 8U << 20U; // committing it takes longer than the submit waits
constexpr int tries = 10;

/// @brief A single control VM, which leads, and a client.
class fixture
{
  public:
    fixture()
    {
        REQUIRE(::mkdtemp(folder_.data()) != nullptr);
        settings_ = test::single_control_vm(folder_);
        server_ = std::make_unique<job_server::control_server>(settings_, no_seeds, operators_, workers_);
        REQUIRE_FALSE(server_->start());
        channel_ = std::make_unique<job_server::control_channel>(settings_.internal);
        configure();
    }

    ~fixture()
    {
        server_->stop();
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] jobs::outcome submit(const std::string& id, milliseconds limit)
    {
        jobs::job_spec spec;
        spec.payload.assign(slow_payload_bytes, 'x');
        jobs::step_spec step;
        step.needs = {1000, 100, 0};
        spec.steps.push_back(step);
        wire::SubmitRequest request;
        request.set_host("host");
        request.set_path("/jobs/" + id);
        *request.mutable_spec() = jobs::to_wire(spec);
        request.set_limit_ms(static_cast<std::uint32_t>(limit.count()));
        grpc::ClientContext context;
        job_server::set_timeout(context, call_timeout);
        wire::JobReply reply;
        REQUIRE(channel_->stub().Submit(&context, request, &reply).ok());
        return static_cast<jobs::outcome>(reply.outcome());
    }

    [[nodiscard]] jobs::outcome cancel(const std::string& id)
    {
        grpc::ClientContext context;
        job_server::set_timeout(context, call_timeout);
        wire::JobReply reply;
        REQUIRE(channel_->stub().Cancel(&context, make_request(id), &reply).ok());
        return static_cast<jobs::outcome>(reply.outcome());
    }

    [[nodiscard]] wire::JobReply state(const std::string& id)
    {
        grpc::ClientContext context;
        job_server::set_timeout(context, call_timeout);
        wire::JobReply reply;
        REQUIRE(channel_->stub().State(&context, make_request(id), &reply).ok());
        return reply;
    }

  private:
    static std::vector<std::string> no_seeds()
    {
        return {};
    }

    [[nodiscard]] static wire::JobRequest make_request(const std::string& id)
    {
        wire::JobRequest request;
        request.set_host("host");
        request.set_path("/jobs/" + id);
        return request;
    }

    void configure()
    {
        jobs::configuration value;
        value.version = 1;
        value.services.push_back({"pool", true, false});
        jobs::queue queue;
        queue.name = "jobs";
        queue.host = "host";
        queue.path_prefix = "/jobs/";
        queue.service = "pool";
        value.queues.push_back(queue);
        wire::ConfigureRequest request;
        *request.mutable_configuration() = jobs::to_wire(value);
        wire::OrderReply reply;
        for (int i = 0; i < 100 && !reply.durable(); ++i)
        {
            std::this_thread::sleep_for(milliseconds(50)); // until it leads
            grpc::ClientContext context;
            job_server::set_timeout(context, call_timeout);
            (void)channel_->stub().Configure(&context, request, &reply);
        }
        REQUIRE(reply.durable());
    }

    std::string folder_ = (std::filesystem::temp_directory_path() / "plumspoke-cancel-XXXXXX").string();
    settings::job_settings settings_;
    platform::control_plane operators_;
    platform::workers workers_;
    std::unique_ptr<job_server::control_server> server_;
    std::unique_ptr<job_server::control_channel> channel_;
};

bool is_open(const wire::JobReply& of)
{
    const auto phase = static_cast<jobs::job_phase>(of.phase());
    return static_cast<jobs::outcome>(of.outcome()) == jobs::outcome::accepted && !jobs::is_final(phase);
}

} // namespace

TEST_CASE("a job with an undecided submit does not stay open once its cancel is answered")
{
    fixture f;
    int undecided = 0;
    int still_open = 0;
    for (int i = 0; i < tries; ++i)
    {
        const std::string id = "job" + std::to_string(i);
        if (f.submit(id, milliseconds(1)) != jobs::outcome::undecided)
        {
            continue;
        }
        ++undecided;
        const jobs::outcome result = f.cancel(id);
        std::this_thread::sleep_for(milliseconds(500)); // time for the submit to be committed
        const bool is_answered = result == jobs::outcome::accepted || result == jobs::outcome::unknown_job;
        still_open += is_answered && is_open(f.state(id)) ? 1 : 0;
    }
    REQUIRE(undecided > 0);
    INFO(still_open << " of " << undecided << " jobs are still open after their cancel was answered");
    CHECK(still_open == 0);
}

TEST_CASE("a submit that arrives after the cancel of its id is cancelled")
{
    fixture f;
    REQUIRE(f.cancel("job") == jobs::outcome::unknown_job);
    CHECK(static_cast<jobs::outcome>(f.state("job").outcome()) == jobs::outcome::unknown_job);
    REQUIRE(f.submit("job", call_timeout) == jobs::outcome::accepted);
    CHECK(static_cast<jobs::job_phase>(f.state("job").phase()) == jobs::job_phase::cancelled);
}

TEST_CASE("a job whose submit is in flight is not reported as unknown")
{
    fixture f;
    int undecided = 0;
    int unknown = 0;
    for (int i = 0; i < tries; ++i)
    {
        const std::string id = "job" + std::to_string(i);
        if (f.submit(id, milliseconds(1)) == jobs::outcome::undecided)
        {
            ++undecided;
            const time_point end = boot_clock::now() + call_timeout;
            wire::JobReply seen = f.state(id);
            while (seen.outcome() == static_cast<std::uint32_t>(jobs::outcome::undecided) &&
                   boot_clock::now() < end)
            {
                std::this_thread::sleep_for(milliseconds(20));
                seen = f.state(id);
            }
            unknown += seen.outcome() == static_cast<std::uint32_t>(jobs::outcome::unknown_job) ? 1 : 0;
            INFO("outcome " << seen.outcome() << ", phase " << seen.phase());
            CHECK(is_open(seen));
        }
    }
    REQUIRE(undecided > 0);
    CHECK(unknown == 0);
}
