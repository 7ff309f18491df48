#include "plumspoke/endpoint/error.hpp"
#include "plumspoke/entry/admission.hpp"
#include "plumspoke/entry/request_flow.hpp"
#include "plumspoke/entry/route_table.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace plumspoke;
using namespace plumspoke::entry;

const time_point start = from_microseconds(3'600'000'000);
const time_point deadline = start + seconds(1);

attempt_result not_sent()
{
    return {endpoint::progress::nothing_sent, endpoint::errc::connect_refused, 0, false};
}

attempt_result sent_without_answer()
{
    return {endpoint::progress::sent, endpoint::errc::closed_before_answer, 0, false};
}

attempt_result answered(int status, bool refused = false)
{
    return {endpoint::progress::answered, {}, status, refused};
}

control::configuration one_service(int endpoints)
{
    control::configuration config;
    config.version = 1;
    control::service_config service;
    service.name = "quick";
    for (int i = 0; i < endpoints; ++i)
    {
        service.endpoints.push_back(
            {"w" + std::to_string(i), i == 0 ? "near" : "far", "127.0.0.1:" + std::to_string(9000 + i)});
    }
    config.services["quick"] = service;
    return config;
}

} // namespace

TEST_CASE("retry decision after an attempt")
{
    retry_budget budget(10, 10);

    SECTION("a complete answer is forwarded to the caller")
    {
        request_flow flow(true, 3, deadline);
        flow.begin_attempt();
        const retry_decision decided = flow.decide(start, answered(404), budget);
        REQUIRE(std::holds_alternative<forward_answer>(decided));
        CHECK(std::get<forward_answer>(decided).reported == outcome::done);
    }
    SECTION(
        "an unsafe request that was not sent is retried, and reported as not run once attempts are exhausted")
    {
        request_flow flow(false, 2, deadline);
        flow.begin_attempt();
        CHECK(std::holds_alternative<retry_attempt>(flow.decide(start, not_sent(), budget)));
        flow.begin_attempt();
        const retry_decision decided = flow.decide(start, not_sent(), budget);
        REQUIRE(std::holds_alternative<abandon_request>(decided));
        CHECK(std::get<abandon_request>(decided).reported == outcome::not_run);
        CHECK(std::get<abandon_request>(decided).reason == refusal::attempts_used_up);
    }
    SECTION("an unsafe request that was sent is never retried, and its outcome is unknown")
    {
        request_flow flow(false, 3, deadline);
        flow.begin_attempt();
        const retry_decision decided = flow.decide(start, sent_without_answer(), budget);
        REQUIRE(std::holds_alternative<abandon_request>(decided));
        CHECK(std::get<abandon_request>(decided).reported == outcome::unknown);
        CHECK(std::get<abandon_request>(decided).reason == refusal::unsafe_not_repeated);
    }
    SECTION("a refusal by the endpoint proves that an unsafe request did not run")
    {
        request_flow flow(false, 3, deadline);
        flow.begin_attempt();
        CHECK(std::holds_alternative<retry_attempt>(flow.decide(start, answered(503, true), budget)));
        CHECK(flow.outcome_if_abandoned() == outcome::not_run);
    }
    SECTION("a safe request that was sent once may have run, even if the next attempt was not sent")
    {
        request_flow flow(true, 2, deadline);
        flow.begin_attempt();
        CHECK(std::holds_alternative<retry_attempt>(flow.decide(start, sent_without_answer(), budget)));
        flow.begin_attempt();
        CHECK(std::get<abandon_request>(flow.decide(start, not_sent(), budget)).reported == outcome::unknown);
    }
    SECTION("a server error of an unsafe request is forwarded unchanged")
    {
        request_flow flow(false, 3, deadline);
        flow.begin_attempt();
        const retry_decision decided = flow.decide(start, answered(500), budget);
        REQUIRE(std::holds_alternative<forward_answer>(decided));
        CHECK(std::get<forward_answer>(decided).reported == outcome::unknown);
    }
    SECTION("no retry after the deadline or with an empty retry budget")
    {
        request_flow late(true, 3, deadline);
        late.begin_attempt();
        CHECK(std::get<abandon_request>(late.decide(deadline, not_sent(), budget)).reason ==
              refusal::deadline_passed);
        retry_budget empty(10, 0);
        request_flow flow(true, 3, deadline);
        flow.begin_attempt();
        CHECK(std::get<abandon_request>(flow.decide(start, not_sent(), empty)).reason ==
              refusal::retry_budget_empty);
    }
}

TEST_CASE("a retry budget grows by a share of the requests up to its reserve")
{
    retry_budget budget(10, 2);
    CHECK(budget.try_consume());
    CHECK(budget.try_consume());
    CHECK_FALSE(budget.try_consume());
    for (int i = 0; i < 9; ++i)
    {
        budget.record_request();
    }
    CHECK_FALSE(budget.try_consume());
    budget.record_request();
    CHECK(budget.try_consume());
    for (int i = 0; i < 1000; ++i)
    {
        budget.record_request();
    }
    CHECK(budget.try_consume());
    CHECK(budget.try_consume());
    CHECK_FALSE(budget.try_consume());
}

TEST_CASE("admission control")
{
    admission_input input;
    input.slots = 8;
    input.usable = 2;
    input.max_waiting = 10;
    input.mean_slot_time_us = 10'000;
    input.left = milliseconds(100);

    SECTION("admits a request that can meet its deadline")
    {
        CHECK_FALSE(admit(input).has_value());
    }
    SECTION("refuses at once a request that would miss its deadline, with a retry delay")
    {
        input.waiting = 9;
        input.mean_slot_time_us = 80'000;
        const auto refused = admit(input);
        REQUIRE(refused.has_value());
        CHECK(refused->reason == refusal::cannot_meet_deadline);
        CHECK(refused->retry_after == milliseconds(100));
    }
    SECTION("limits the number of waiting requests")
    {
        input.waiting = 10;
        CHECK(admit(input)->reason == refusal::queue_full);
    }
    SECTION("limits the requests in flight")
    {
        input.max_in_flight = 5;
        input.in_flight = 5;
        CHECK(admit(input)->reason == refusal::over_quota);
    }
    SECTION("reports whether slots or endpoints are missing")
    {
        input.slots = 0;
        CHECK(admit(input)->reason == refusal::no_slots);
        input.usable = 0;
        CHECK(admit(input)->reason == refusal::no_endpoint);
    }
}

TEST_CASE("endpoint guard")
{
    endpoint::guard_options options;
    options.failures = 3;
    endpoint::guard self(options);
    for (int i = 0; i < 2; ++i)
    {
        self.record_failure(start, true);
    }
    CHECK(self.permits(start));
    self.record_failure(start, true);
    CHECK_FALSE(self.permits(start + milliseconds(999)));

    SECTION("permits one trial request after the open time")
    {
        CHECK(self.permits(start + milliseconds(1000)));
        self.record_sent(start + milliseconds(1000));
        CHECK_FALSE(self.permits(start + milliseconds(1001)));
        self.record_success();
        CHECK(self.permits(start + milliseconds(1002)));
    }
    SECTION("doubles the open time after a failed trial")
    {
        self.record_sent(start + milliseconds(1000));
        self.record_failure(start + milliseconds(1001), true);
        CHECK_FALSE(self.permits(start + milliseconds(3000)));
        CHECK(self.permits(start + milliseconds(3001)));
    }
    SECTION("stays closed if too many guards are open")
    {
        endpoint::guard other(options);
        for (int i = 0; i < 9; ++i)
        {
            other.record_failure(start, false);
        }
        CHECK(other.permits(start));
    }
}

TEST_CASE("endpoint choice")
{
    const std::unique_ptr<route_table> table = make_table(one_service(4), nullptr, {"w3"}, start, {});
    const service_route& route = *table->find("quick");
    for (const auto& [worker, slots] : table->slots)
    {
        slots->set_granted(2);
    }

    SECTION("prefers the local availability zone")
    {
        for (std::uint64_t random = 0; random < 4; ++random)
        {
            const endpoint_pointer chosen = choose_endpoint(route, "near", start, random, {});
            REQUIRE(chosen != nullptr);
            CHECK(chosen->slots().worker() == "w0");
            chosen->slots().release();
        }
    }
    SECTION("never acquires more slots than granted, and none of a leaving worker")
    {
        std::vector<endpoint_pointer> taken;
        for (std::uint64_t random = 0; random < 20; ++random)
        {
            if (endpoint_pointer chosen = choose_endpoint(route, "near", start, random, {});
                chosen != nullptr)
            {
                CHECK(chosen->slots().worker() != "w3");
                taken.push_back(std::move(chosen));
            }
        }
        CHECK(taken.size() == 6);
    }
    SECTION("avoids an endpoint that the request was already sent to")
    {
        const endpoint_pointer first = choose_endpoint(route, "near", start, 0, {});
        const std::vector<const endpoint_state*> tried = {first.get()};
        CHECK(choose_endpoint(route, "near", start, 0, tried) != first);
    }
    SECTION("skips an endpoint excluded by its guard, and limits the share of excluded endpoints")
    {
        for (int i = 0; i < 5; ++i)
        {
            route.endpoints[0]->record_failure(start, may_open_guard(route, start, 50));
        }
        CHECK(route.endpoints[0]->is_excluded(start));
        CHECK(may_open_guard(route, start, 50));
        CHECK_FALSE(may_open_guard(route, start, 25));
        CHECK(choose_endpoint(route, "near", start, 0, {}) != route.endpoints[0]);
    }
    SECTION("excludes an endpoint whose latency is far above its peers'")
    {
        for (int i = 0; i < 3; ++i)
        {
            route.endpoints[static_cast<std::size_t>(i)]->record_success(i == 2 ? seconds(1)
                                                                                : milliseconds(10));
        }
        CHECK(exclude_slow_endpoints(route, start, 50) == 1);
        CHECK(route.endpoints[2]->is_excluded(start));
    }
    SECTION("keeps the endpoint state across configuration versions")
    {
        route.endpoints[0]->record_success(milliseconds(7));
        control::configuration changed = one_service(5);
        changed.version = 2;
        const std::unique_ptr<route_table> next = make_table(changed, table.get(), {}, start, {});
        CHECK(next->find("quick")->endpoints[0] == route.endpoints[0]);
        CHECK(next->slots.at("w0")->granted() == 2);
    }
}

TEST_CASE("a lower grant applies at once and held slots include requests in flight")
{
    worker_slots slots("w1");
    slots.set_granted(2);
    CHECK(slots.acquire());
    CHECK(slots.acquire());
    CHECK_FALSE(slots.acquire());
    slots.set_granted(1);
    CHECK(slots.held() == 2);
    slots.release();
    CHECK_FALSE(slots.acquire());
    CHECK(slots.held() == 1);

    SECTION("an abandoned request keeps its slot until its release time")
    {
        // A hanging endpoint must not receive the next request in the slot of an abandoned one.
        slots.schedule_release(start + seconds(1));
        CHECK(slots.release_expired(start) == 0);
        CHECK_FALSE(slots.acquire());
        CHECK(slots.release_expired(start + seconds(1)) == 1);
        CHECK(slots.acquire());
    }
}
