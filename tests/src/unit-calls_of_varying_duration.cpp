/// @file
/// @brief A call to another replica isn't given up where calls of its duration were answered shortly before.
///
/// Guards against a timeout that follows the last call alone: a busy peer answers some calls at once and
/// others late, and each late one would cost a new connection and everything in flight on the old one.

#include "delayed_peer_fixture.hpp"

using namespace plumspoke;

namespace
{

constexpr int calls_per_period = 8;
constexpr int periods = 5;
constexpr auto late_reply = milliseconds(220); // longer than the shortest timeout

} // namespace

TEST_CASE("a peer that answers late now and then keeps its connection")
{
    test::delayed_peer peer(
        [](int calls_before)
        {
            return calls_before % calls_per_period == calls_per_period - 1 ? late_reply : milliseconds(1);
        });
    replica::grpc_transport sender("127.0.0.1:1");
    for (int i = 0; i < calls_per_period * periods; ++i)
    {
        sender.send(peer.address(), test::make_heartbeat(1));
        std::this_thread::sleep_for(milliseconds(40));
    }
    CHECK(sender.timed_out_calls() <= 1); // the first one
}
