/// @file
/// @brief Cancels that are recorded before the submit of their job.

#include "plumspoke/jobs/store.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke::jobs;

namespace
{

submit submit_of(const std::string& id, std::int64_t at_ms)
{
    submit value;
    value.id = id;
    step_spec step;
    step.needs = {1000, 100, 0};
    value.spec.steps = {step};
    value.at_ms = at_ms;
    return value;
}

} // namespace

TEST_CASE("a job that is cancelled before its submit never runs")
{
    store state;
    REQUIRE(state.apply(cancel{"a", 1000}).result == outcome::unknown_job);
    CHECK(state.find("a") == nullptr);

    SECTION("if the submit follows directly")
    {
    }
    SECTION("if a snapshot is restored in between")
    {
        const std::string saved = state.save();
        REQUIRE(state.restore(saved));
    }
    SECTION("if the cancel is repeated")
    {
        REQUIRE(state.apply(cancel{"a", 2000}).result == outcome::unknown_job);
        CHECK(state.cancelled_early().size() == 1);
    }
    CHECK(state.apply(submit_of("a", 3000)).result == outcome::accepted);
    REQUIRE(state.find("a") != nullptr);
    CHECK(state.find("a")->phase == job_phase::cancelled);
    CHECK(state.live().empty());
    CHECK(state.cancelled_early().size() == 0);
    CHECK(state.apply(submit_of("a", 4000)).result == outcome::known);
}

TEST_CASE("a cancel of a job that is never submitted expires")
{
    store state;
    REQUIRE(state.apply(cancel{"a", 1000}).result == outcome::unknown_job);

    SECTION("after the retention time")
    {
        REQUIRE(state.apply(cancel{"b", 1'000'000}).result == outcome::unknown_job);
        CHECK(state.cancelled_early().size() == 1);
    }
    SECTION("when there are too many others")
    {
        constexpr int others = 20'000;
        for (int i = 0; i < others; ++i)
        {
            REQUIRE(state.apply(cancel{"other" + std::to_string(i), 1000}).result == outcome::unknown_job);
        }
        CHECK(state.cancelled_early().size() < others);
    }
    CHECK_FALSE(state.cancelled_early().contains("a"));
}
