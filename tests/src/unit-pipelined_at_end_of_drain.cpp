/// @file
/// @brief Each request that is sent at once with others, and that no thread has read, gets a response at the
/// end of a drain.

#include "hanging_server_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::test;

TEST_CASE("two requests sent at once, for which no thread is free, get two responses at the end of a drain")
{
    hanging_server server(1);
    const int first = send_on_new_connection(server.address(), make_request("/queue/1"));
    server.wait_until_taken(1);
    const int queued =
        send_on_new_connection(server.address(), make_request("/queue/2") + make_request("/queue/3"));
    std::this_thread::sleep_for(settle);
    server.drain();
    CHECK(server.taken().size() == 1);
    CHECK(count_responses(queued) == 2);
    CHECK(count_responses(first) == 1);
}
