/// @file
/// @brief The answer to a submit or cancel after an attempt whose effect is unknown.
///
/// Guards against a job that runs although its client was told at its only attempt that it was rejected: an
/// entry repeated a submit whose record may be committed, and passed on the second attempt's 404.

#include "plumspoke/job_server/entry_server.hpp"

#include "../../platform/callers.hpp"
#include "job_group.hpp"
#include "plumspoke/http/client.hpp"
#include "plumspoke/job_server/combined_outcome.hpp"
#include "plumspoke/job_server/job_path.hpp"
#include "stopping_entry_fixture.hpp"

#include <array>

using namespace plumspoke;
using job_server::combined_outcome;

namespace
{

constexpr auto caller_timeout = milliseconds(3000);
constexpr const char* job_body = R"({"spec":"x","steps":[{"count":1,"cpu":100,"mem-mb":10}]})";

/// @brief A leader whose first answer to a submit or cancel is lost, and which gives the rest one outcome.
class leader_with_lost_answer final : public wire::JobControl::Service
{
  public:
    explicit leader_with_lost_answer(jobs::outcome later) : address(test::free_address()), later_(later)
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

    grpc::Status Submit(grpc::ServerContext* /*context*/,
                        const wire::SubmitRequest* /*request*/,
                        wire::JobReply* reply) override
    {
        return answer(*reply);
    }

    grpc::Status Cancel(grpc::ServerContext* /*context*/,
                        const wire::JobRequest* /*request*/,
                        wire::JobReply* reply) override
    {
        return answer(*reply);
    }

    [[nodiscard]] int calls() const noexcept
    {
        return calls_;
    }

    std::string address;

  private:
    grpc::Status answer(wire::JobReply& reply)
    {
        if (++calls_ == 1)
        {
            return {grpc::StatusCode::UNAVAILABLE, "the answer was lost"};
        }
        reply.set_acting(true);
        reply.set_outcome(static_cast<std::uint32_t>(later_));
        return grpc::Status::OK;
    }

    jobs::outcome later_;
    std::atomic<int> calls_{0};
    std::unique_ptr<grpc::Server> server_;
};

/// @brief The status that a caller gets from an entry that has this leader.
int call_entry(leader_with_lost_answer& leader, const std::string& method)
{
    const settings::job_settings settings = test::entry_settings();
    const platform::callers callers;
    job_server::entry_server entry(
        settings,
        [&leader]
        {
            return std::vector<std::string>{leader.address};
        },
        callers);
    REQUIRE_FALSE(entry.start());
    http::request sent;
    sent.method = method;
    sent.path = "/queue/job";
    sent.headers = {{"Host", "x.example"}, {"Deadline-Ms", std::to_string(caller_timeout.count())}};
    sent.body = method == "POST" ? job_body : "";
    const std::optional<http::response> got = http::call(settings.listen, sent, caller_timeout);
    CHECK(leader.calls() == 2);
    REQUIRE(got.has_value());
    return got->status;
}

jobs::configuration make_configuration(std::uint64_t version, bool has_queue)
{
    jobs::configuration out;
    out.version = version;
    out.services.push_back({"pool", true, false});
    if (has_queue)
    {
        jobs::queue queue;
        queue.name = "queue";
        queue.host = "x.example";
        queue.path_prefix = "/queue/";
        queue.service = "pool";
        out.queues.push_back(queue);
    }
    return out;
}

} // namespace

TEST_CASE("an entry does not reject a submit whose first attempt may have been accepted")
{
    using jobs::outcome;
    struct example
    {
        outcome later;
        int expected_status;
    };
    const example one = GENERATE(example{outcome::accepted, 200},
                                 example{outcome::known, 200},
                                 example{outcome::unknown_queue, 504},
                                 example{outcome::unconfigured, 504},
                                 example{outcome::invalid, 504},
                                 example{outcome::too_large, 504},
                                 example{outcome::refused, 504},
                                 example{outcome::undecided, 504});
    INFO("outcome of the second attempt: " << static_cast<int>(one.later));
    leader_with_lost_answer leader(one.later);
    CHECK(call_entry(leader, "POST") == one.expected_status);
}

TEST_CASE("an entry does not report a missing queue to a cancel whose first attempt may have taken effect")
{
    leader_with_lost_answer dropped_queue(jobs::outcome::unknown_queue);
    CHECK(call_entry(dropped_queue, "DELETE") == 504);
    leader_with_lost_answer unknown_job(jobs::outcome::unknown_job);
    CHECK(call_entry(unknown_job, "DELETE") == 410);
}

TEST_CASE("a job that was committed before its leader was killed is not rejected when its queue is dropped")
{
    const std::uint64_t seed = GENERATE(range(1, 11));
    INFO("seed " << seed);
    test::job_group group(seed);
    const std::size_t first = group.run_until_led();
    REQUIRE(group.propose(first, jobs::configure{make_configuration(1, true)}).has_value());
    jobs::submit job;
    job.id = "job";
    job.source_queue = make_configuration(1, true).queues[0];
    job.spec.steps.emplace_back();
    const std::optional<replica::log_index> submitted = group.propose(first, job);
    REQUIRE(submitted.has_value());
    group.run_until_applied(first, *submitted);
    group.kill(first); // before it answers

    const std::size_t second = group.run_until_led();
    const std::optional<replica::log_index> dropped =
        group.propose(second, jobs::configure{make_configuration(2, false)});
    REQUIRE(dropped.has_value());
    group.run_until_applied(second, *dropped);
    const job_server::job_path to =
        job_server::resolve_job_path(group.state(second), "x.example", "/queue/job");
    REQUIRE(to.problem == jobs::outcome::unknown_queue);
    REQUIRE(group.state(second).find("job") != nullptr); // it will run
    CHECK(combined_outcome(to.problem, true) == jobs::outcome::undecided);
}
