#include "plumspoke/vm_list/list.hpp"

#include <catch2/catch.hpp>

TEST_CASE("the platform's list")
{
    using namespace plumspoke::vm_list;
    list_keeper keeper;
    REQUIRE_FALSE(keeper.offer(
        R"({"version": 5, "vms": [{"name": "w1", "state": "live"}, {"name": "w2", "state": "leaving"}]})"));
    CHECK(keeper.is_leaving("w2"));
    CHECK_FALSE(keeper.is_leaving("w1"));

    SECTION("is replaced by a newer one")
    {
        CHECK_FALSE(keeper.offer(R"({"version": 6, "vms": [{"name": "w1", "state": "leaving"}]})"));
        CHECK(keeper.is_leaving("w1"));
    }
    SECTION("stays in force, whatever is wrong with the next one")
    {
        CHECK(keeper.offer(R"({"version": 6, "vms": []})") == errc::empty);
        CHECK(keeper.offer(R"({"version": 4, "vms": [{"name": "w2", "state": "live"}]})") == errc::older);
        CHECK(keeper.offer("{\"version\": 6, \"vms\": [{\"na") == errc::garbled);
        CHECK(keeper.offer(R"({"version": 6, "vms": [{"name": "w1", "state": "gone fishing"}]})") ==
              errc::garbled);
        CHECK(keeper.offer(R"({"vms": [{"name": "w1"}]})") == errc::garbled);
        CHECK(keeper.offer("[]") == errc::garbled);
        CHECK(keeper.note_unreachable() == errc::unreachable);
        CHECK(keeper.last_error() == errc::unreachable);
        CHECK(keeper.current().version == 5);
        CHECK(keeper.is_leaving("w2"));
    }
}
