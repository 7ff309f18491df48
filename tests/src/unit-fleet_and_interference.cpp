/// @file
/// @brief The registry of workers on a control VM, the estimate of a worker's clock, and effects between
/// images.

#include "plumspoke/dispatch/interference.hpp"
#include "plumspoke/dispatch/worker_clock.hpp"
#include "plumspoke/fleet/announcement.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

namespace
{

const time_point start{seconds(100)};

fleet::announcement make_announcement(const std::string& id, std::uint64_t sequence)
{
    fleet::announcement out;
    out.life.id = id;
    out.address = "address";
    out.sequence = sequence;
    return out;
}

} // namespace

TEST_CASE("the registry relays announcements that the leader doesn't have")
{
    fleet::worker_registry registry;
    CHECK(registry.receive(start, make_announcement("w", 2)));

    SECTION("an outdated announcement is ignored")
    {
        fleet::announcement late = make_announcement("w", 1);
        late.address = "old";
        CHECK_FALSE(registry.receive(start, late));
        CHECK(registry.find({"w"})->address == "address");
    }
    SECTION("in full at first, then only that the worker is alive, and in full again to a new leader")
    {
        CHECK_FALSE(registry.is_relayed(5, {"w"}));
        const auto changed = registry.changed_since_relay(5);
        REQUIRE(changed.size() == 1);
        registry.mark_relayed(5, changed);
        CHECK(registry.is_relayed(5, {"w"}));
        CHECK(registry.changed_since_relay(5).empty());
        CHECK(registry.alive_since_relay(5).empty());
        CHECK(registry.receive(start, make_announcement("w", 3)));
        CHECK(registry.is_relayed(5, {"w"}));
        CHECK(registry.alive_since_relay(5) == std::vector<fleet::worker_life>{{"w"}});
        CHECK(registry.changed_since_relay(6).size() == 1);
    }
    SECTION("in full again after a change, or when the leader no longer knows the worker")
    {
        registry.mark_relayed(5, registry.changed_since_relay(5));
        fleet::announcement leaving = make_announcement("w", 3);
        leaving.state = fleet::worker_state::draining;
        CHECK(registry.receive(start, leaving));
        CHECK_FALSE(registry.is_relayed(5, {"w"}));
        registry.mark_relayed(5, registry.changed_since_relay(5));
        registry.mark_unknown({{"w"}});
        CHECK_FALSE(registry.is_relayed(5, {"w"}));
    }
    SECTION("a goodbye is relayed, and silent workers are removed")
    {
        fleet::announcement leaving = make_announcement("w", 3);
        leaving.state = fleet::worker_state::draining;
        CHECK(registry.receive(start, leaving));
        CHECK(registry.handle_goodbye(start, "w").size() == 1);
        CHECK(registry.find({"w"})->state == fleet::worker_state::gone);
        registry.expire(start + seconds(11), seconds(10));
        CHECK(registry.size() == 0);
    }
}

TEST_CASE("a goodbye, which names no life, applies to the life that was leaving")
{
    fleet::worker_registry registry;
    fleet::announcement next = make_announcement("w", 1);
    next.life.born_ms = 7;
    CHECK(registry.receive(start, next));

    SECTION("and not to the next life, which may run tasks by then")
    {
        fleet::announcement leaving = make_announcement("w", 90);
        leaving.state = fleet::worker_state::draining;
        CHECK(registry.receive(start, leaving));
        REQUIRE(registry.handle_goodbye(start, "w").size() == 1);
        CHECK(registry.find({"w"})->state == fleet::worker_state::gone);
        CHECK(registry.find(next.life)->state == fleet::worker_state::ready);
    }
    SECTION("if no life is known to be leaving, the worker is unconfirmed until it announces itself again")
    {
        REQUIRE(registry.handle_goodbye(start, "w").size() == 1);
        CHECK(registry.find(next.life)->state == fleet::worker_state::leave_unconfirmed);
        fleet::announcement again = next;
        again.sequence = 2;
        CHECK(registry.receive(start, again));
        CHECK(registry.find(next.life)->state == fleet::worker_state::ready);
    }
}

TEST_CASE("the estimate of a worker's clock is never ahead of that clock")
{
    dispatch::worker_clock clock(0.98);
    CHECK_FALSE(clock.known());
    clock.observe(10'000, start);
    CHECK(clock.lower_bound(start + seconds(10)) == 19'800);

    SECTION("an answer that arrives out of order changes nothing")
    {
        clock.observe(10'100, start + seconds(5));
        CHECK(clock.lower_bound(start + seconds(10)) == 19'800);
    }
    SECTION("a time is past only once the slowest permitted clock has reached it")
    {
        CHECK(clock.certainly_past(14'000) > start + milliseconds(4080));
        CHECK(clock.certainly_past(14'000) < start + milliseconds(4085));
        CHECK(clock.certainly_past(9'000) == start);
    }
}

TEST_CASE("effects are estimated separately for each pair of images")
{
    dispatch::interference estimates;
    const dispatch::image_number serving = estimates.number_of("s");
    const dispatch::image_number harmful = estimates.number_of("harmful");
    const dispatch::image_number harmless = estimates.number_of("harmless");
    const double unknown = estimates.effect("s", "harmful");
    CHECK(unknown > 0.2);
    for (int i = 0; i < 20; ++i)
    {
        const std::vector<dispatch::colocated_filler> both = {{harmful, 1}, {harmless, 1}};
        const std::vector<dispatch::colocated_filler> one = {{harmless, 1}};
        estimates.observe(serving, 1.2, false, both);
        estimates.observe(serving, 0.0, false, one);
    }
    CHECK(estimates.effect("s", "harmful") > 0.8);
    CHECK(estimates.effect("s", "harmless") < 0.2);
    CHECK(estimates.effect("other", "harmful") == unknown);

    SECTION("a saturated report never lowers an effect")
    {
        const double before = estimates.effect("s", "harmful");
        const std::vector<dispatch::colocated_filler> one = {{harmful, 1}};
        estimates.observe(serving, 0.5, true, one);
        CHECK(estimates.effect("s", "harmful") == before);
    }
    SECTION("a report beside a paused filler changes no effect")
    {
        const double before = estimates.effect("s", "harmful");
        const std::vector<dispatch::colocated_filler> paused = {{harmful, 0}};
        estimates.observe(serving, 0.0, false, paused);
        CHECK(estimates.effect("s", "harmful") == before);
    }
}
