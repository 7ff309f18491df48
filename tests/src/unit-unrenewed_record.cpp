/// @file
/// @brief How the record of workers that a leader hasn't renewed is stored, and from when its ages count.

#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/jobs/job_state_machine.hpp"
#include "plumspoke/replica/node.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;

namespace
{

jobs::round make_record()
{
    jobs::round out;
    out.unrenewed = {7, {{{"w1", 5}, 1500, 900}, {{"w2", 6}, 0, 0}}};
    return out;
}

replica::log_entry make_entry(time_point appended_at)
{
    replica::log_entry out;
    out.index = 1;
    out.kind = replica::entry_kind::command;
    out.data = jobs::encode(make_record());
    out.appended_at = appended_at;
    return out;
}

time_point record_time(const jobs::job_state_machine& machine)
{
    return machine.read_with_record_time(
        [](const jobs::store& /*state*/, time_point recorded_at)
        {
            return recorded_at;
        });
}

} // namespace

TEST_CASE("the record of workers that weren't renewed survives encoding and snapshots")
{
    const std::optional<jobs::command> decoded = jobs::decode(jobs::encode(make_record()));
    REQUIRE(decoded.has_value());
    jobs::store state;
    (void)state.apply(*decoded);
    CHECK(state.unrenewed() == *make_record().unrenewed);

    jobs::store restored;
    REQUIRE(restored.restore(state.save()));
    CHECK(restored.unrenewed() == state.unrenewed());

    (void)restored.apply(jobs::round{});
    CHECK(restored.unrenewed() == state.unrenewed());
    jobs::round emptied;
    emptied.unrenewed = {8, {}};
    (void)restored.apply(emptied);
    CHECK(restored.unrenewed().workers.empty());
}

TEST_CASE("the ages in a record count from when the replica's log got it")
{
    jobs::job_state_machine machine;
    const time_point before = boot_clock::now();

    SECTION("if this process got it")
    {
        const time_point appended_at = before - seconds(3);
        (void)machine.try_apply(make_entry(appended_at), seconds(1));
        CHECK(record_time(machine) == appended_at);
    }
    SECTION("or at the latest from when it was read from the disk")
    {
        (void)machine.try_apply(make_entry({}), seconds(1));
        CHECK(record_time(machine) >= before);
    }
    SECTION("or from when it was restored")
    {
        jobs::job_state_machine saved;
        (void)saved.try_apply(make_entry(before - seconds(3)), seconds(1));
        machine.restore(saved.save());
        CHECK(record_time(machine) >= before);
    }
}

TEST_CASE("a follower notes when its log got an entry")
{
    replica::restored_state state;
    state.base.members.members = {{"a", "a", "address-a", true}, {"b", "b", "address-b", true}};
    replica::node follower("a", {}, state, time_point(seconds(100)), 1);
    const time_point got_at(seconds(110));
    replica::log_entry entry = make_entry(time_point(seconds(1))); // a time of the sender means nothing here
    entry.term = 1;
    follower.receive(got_at, {"b", "a", 1, replica::append{0, 0, 1, 0, {entry}}});
    const replica::node_output output = follower.take_output();
    REQUIRE(output.committed.size() == 1);
    CHECK(output.committed[0].appended_at == got_at);
}
