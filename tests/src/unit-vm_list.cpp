#include "plumspoke/vm_list/list.hpp"

#include <catch2/catch.hpp>

TEST_CASE("the VM list of the platform")
{
    using namespace plumspoke::vm_list;
    list_cache cache;
    REQUIRE_FALSE(cache.update(
        R"({"version": 5, "vms": [{"name": "w1", "state": "live"}, {"name": "w2", "state": "leaving"}]})"));
    CHECK(cache.is_leaving("w2"));
    CHECK_FALSE(cache.is_leaving("w1"));

    SECTION("is replaced by a newer version")
    {
        CHECK_FALSE(cache.update(R"({"version": 6, "vms": [{"name": "w1", "state": "leaving"}]})"));
        CHECK(cache.is_leaving("w1"));
    }
    SECTION("is kept when an update is invalid or unavailable")
    {
        CHECK(cache.update(R"({"version": 6, "vms": []})") == errc::empty);
        CHECK(cache.update(R"({"version": 4, "vms": [{"name": "w2", "state": "live"}]})") == errc::older);
        CHECK(cache.update("{\"version\": 6, \"vms\": [{\"na") == errc::garbled);
        CHECK(cache.update(R"({"version": 6, "vms": [{"name": "w1", "state": "gone fishing"}]})") ==
              errc::garbled);
        CHECK(cache.update(R"({"vms": [{"name": "w1"}]})") == errc::garbled);
        CHECK(cache.update("[]") == errc::garbled);
        CHECK(cache.mark_unreachable() == errc::unreachable);
        CHECK(cache.last_error() == errc::unreachable);
        CHECK(cache.current().version == 5);
        CHECK(cache.is_leaving("w2"));
    }
}
