/// @file
/// @brief Messages that come in quick succession don't use up the calls that later ones need.
///
/// Guards against a window of calls in flight that a few messages fill within milliseconds: each later one
/// then waits for the whole duration of a call.

#include "delayed_peer_fixture.hpp"

#include <algorithm>
#include <thread>
#include <vector>

using namespace plumspoke;

namespace
{

constexpr auto reply_delay = milliseconds(120);
constexpr auto send_interval = milliseconds(5);
constexpr replica::term_number message_count = 100;

} // namespace

TEST_CASE("a message waits for a fraction of a call's duration")
{
    test::delayed_peer peer(
        [](int)
        {
            return reply_delay;
        });
    replica::grpc_transport sender("127.0.0.1:1");
    sender.send(peer.address(), test::make_heartbeat(message_count + 1)); // connects
    std::this_thread::sleep_for(2 * reply_delay);
    std::map<replica::term_number, time_point> sent;
    for (replica::term_number term = 1; term <= message_count; ++term)
    {
        sent[term] = boot_clock::now();
        sender.send(peer.address(), test::make_heartbeat(term));
        std::this_thread::sleep_for(send_interval);
    }
    std::this_thread::sleep_for(2 * reply_delay);
    const std::map<replica::term_number, time_point> arrivals = peer.arrivals();
    std::vector<duration> waits;
    for (const auto& [term, at] : sent)
    {
        REQUIRE(arrivals.contains(term));
        waits.push_back(std::chrono::duration_cast<duration>(arrivals.at(term) - at));
    }
    // A few of the longest are left out: other processes may delay them.
    const auto at = waits.end() - 6;
    std::nth_element(waits.begin(), at, waits.end());
    INFO("longest wait " << at->count() / 1000 << " ms");
    CHECK(*at < reply_delay / 2);
}
