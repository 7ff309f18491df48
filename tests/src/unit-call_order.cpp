/// @file
/// @brief Concurrent calls of one sender take effect in the order in which they were sent.

#include "plumspoke/replica/call_order.hpp"

#include <catch2/catch.hpp>
#include <future>

using namespace plumspoke;
using replica::call_number;
using replica::call_order;

namespace
{

constexpr auto limit = milliseconds(100);
constexpr auto long_limit = seconds(10);

duration time_to_begin(call_order& order, const std::string& sender, call_number which)
{
    const time_point before = boot_clock::now();
    order.begin(sender, which);
    return std::chrono::duration_cast<duration>(boot_clock::now() - before);
}

} // namespace

TEST_CASE("a call waits for the one before it")
{
    call_order order(long_limit, 8);
    order.begin("a", {1, 1});
    std::future<duration> second = std::async(std::launch::async,
                                              [&order]
                                              {
                                                  return time_to_begin(order, "a", {1, 2});
                                              });
    CHECK(second.wait_for(milliseconds(50)) == std::future_status::timeout);
    order.end("a", {1, 1});
    CHECK(second.get() < long_limit);
    order.end("a", {1, 2});
    CHECK(time_to_begin(order, "a", {1, 3}) < limit);
}

TEST_CASE("a call that waits for a lost one begins after the limit")
{
    call_order order(limit, 8);
    order.begin("a", {1, 1});
    order.end("a", {1, 1});
    CHECK(time_to_begin(order, "a", {1, 3}) >= limit);
    order.end("a", {1, 3});
    CHECK(time_to_begin(order, "a", {1, 4}) < limit);
}

TEST_CASE("calls of other senders and of other connections don't wait")
{
    call_order order(long_limit, 8);
    order.begin("a", {1, 1});
    CHECK(time_to_begin(order, "b", {1, 5}) < long_limit);
    CHECK(time_to_begin(order, "a", {2, 1}) < long_limit);
    order.end("a", {1, 1}); // the late end of a call on the earlier connection changes nothing
    order.end("a", {2, 1});
    CHECK(time_to_begin(order, "a", {2, 2}) < long_limit);
}

TEST_CASE("the number of remembered senders is limited")
{
    call_order order(limit, 2);
    for (const char* sender : {"a", "b", "c"})
    {
        order.begin(sender, {1, 1});
        order.end(sender, {1, 1});
    }
    CHECK(time_to_begin(order, "a", {1, 7}) < limit); // forgotten, so its first call doesn't wait
}
