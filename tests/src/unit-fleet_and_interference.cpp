/// @file
/// @brief What a control VM has heard from workers; a worker's clock; effects between images.

#include "plumspoke/dispatch/interference.hpp"
#include "plumspoke/dispatch/worker_clock.hpp"
#include "plumspoke/fleet/announcement.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

namespace
{

const time_point start{seconds(100)};

fleet::announcement heard(const std::string& id, std::uint64_t sequence)
{
    fleet::announcement out;
    out.life.id = id;
    out.address = "address";
    out.sequence = sequence;
    return out;
}

} // namespace

TEST_CASE("the registry relays what the leader doesn't have")
{
    fleet::registry registry;
    CHECK(registry.receive(start, heard("w", 2)));

    SECTION("a late announcement is passed over")
    {
        fleet::announcement late = heard("w", 1);
        late.address = "old";
        CHECK_FALSE(registry.receive(start, late));
        CHECK(registry.find({"w"})->address == "address");
    }
    SECTION("whole at first, then only that it is alive, then whole to a new leader")
    {
        CHECK_FALSE(registry.is_relayed(5, {"w"}));
        const auto changed = registry.changed_since_relay(5);
        REQUIRE(changed.size() == 1);
        registry.note_relayed(5, changed);
        CHECK(registry.is_relayed(5, {"w"}));
        CHECK(registry.changed_since_relay(5).empty());
        CHECK(registry.alive_since_relay(5).empty());
        CHECK(registry.receive(start, heard("w", 3)));
        CHECK(registry.is_relayed(5, {"w"}));
        CHECK(registry.alive_since_relay(5) == std::vector<fleet::worker_life>{{"w"}});
        CHECK(registry.changed_since_relay(6).size() == 1);
    }
    SECTION("whole again where it says something new, or the leader has forgotten it")
    {
        registry.note_relayed(5, registry.changed_since_relay(5));
        fleet::announcement leaving = heard("w", 3);
        leaving.state = fleet::worker_state::draining;
        CHECK(registry.receive(start, leaving));
        CHECK_FALSE(registry.is_relayed(5, {"w"}));
        registry.note_relayed(5, registry.changed_since_relay(5));
        registry.note_unknown({{"w"}});
        CHECK_FALSE(registry.is_relayed(5, {"w"}));
    }
    SECTION("a goodbye is told, and silence forgets")
    {
        fleet::announcement leaving = heard("w", 3);
        leaving.state = fleet::worker_state::draining;
        CHECK(registry.receive(start, leaving));
        CHECK(registry.say_goodbye(start, "w").size() == 1);
        CHECK(registry.find({"w"})->state == fleet::worker_state::gone);
        registry.expire(start + seconds(11), seconds(10));
        CHECK(registry.size() == 0);
    }
}

TEST_CASE("a goodbye names no life: it is that of the one that was leaving")
{
    fleet::registry registry;
    fleet::announcement next = heard("w", 1);
    next.life.born_ms = 7;
    CHECK(registry.receive(start, next));

    SECTION("and not of the next one, on which tasks run by then")
    {
        fleet::announcement leaving = heard("w", 90);
        leaving.state = fleet::worker_state::draining;
        CHECK(registry.receive(start, leaving));
        REQUIRE(registry.say_goodbye(start, "w").size() == 1);
        CHECK(registry.find({"w"})->state == fleet::worker_state::gone);
        CHECK(registry.find(next.life)->state == fleet::worker_state::ready);
    }
    SECTION("where none is known to leave, it is only a reason to ask")
    {
        REQUIRE(registry.say_goodbye(start, "w").size() == 1);
        CHECK(registry.find(next.life)->state == fleet::worker_state::doubtful);
        fleet::announcement again = next;
        again.sequence = 2;
        CHECK(registry.receive(start, again));
        CHECK(registry.find(next.life)->state == fleet::worker_state::ready);
    }
}

TEST_CASE("a worker's clock is never thought to be ahead of itself")
{
    dispatch::worker_clock clock(0.98);
    CHECK_FALSE(clock.known());
    clock.observe(10'000, start);
    CHECK(clock.lower_bound(start + seconds(10)) == 19'800);

    SECTION("an answer that was overtaken changes nothing")
    {
        clock.observe(10'100, start + seconds(5));
        CHECK(clock.lower_bound(start + seconds(10)) == 19'800);
    }
    SECTION("a time is past only when the slowest clock has reached it")
    {
        CHECK(clock.certainly_past(14'000) > start + milliseconds(4080));
        CHECK(clock.certainly_past(14'000) < start + milliseconds(4085));
        CHECK(clock.certainly_past(9'000) == start);
    }
}

TEST_CASE("effects between images are told apart")
{
    dispatch::interference known;
    const dispatch::image_number serving = known.number_of("s");
    const dispatch::image_number harmful = known.number_of("harmful");
    const dispatch::image_number harmless = known.number_of("harmless");
    const double unknown = known.effect("s", "harmful");
    CHECK(unknown > 0.2);
    for (int i = 0; i < 20; ++i)
    {
        const std::vector<dispatch::filler_beside> both = {{harmful, 1}, {harmless, 1}};
        const std::vector<dispatch::filler_beside> one = {{harmless, 1}};
        known.observe(serving, 1.2, false, both);
        known.observe(serving, 0.0, false, one);
    }
    CHECK(known.effect("s", "harmful") > 0.8);
    CHECK(known.effect("s", "harmless") < 0.2);
    CHECK(known.effect("other", "harmful") == unknown);

    SECTION("a saturated report never lowers an effect")
    {
        const double before = known.effect("s", "harmful");
        const std::vector<dispatch::filler_beside> one = {{harmful, 1}};
        known.observe(serving, 0.5, true, one);
        CHECK(known.effect("s", "harmful") == before);
    }
    SECTION("a filler that stands still tells nothing")
    {
        const double before = known.effect("s", "harmful");
        const std::vector<dispatch::filler_beside> still = {{harmful, 0}};
        known.observe(serving, 0.0, false, still);
        CHECK(known.effect("s", "harmful") == before);
    }
}
