/// @file
/// @brief Whatever a server takes before its drain has ended gets a response: after the end, nobody sends
/// one.

#include "hanging_server_fixture.hpp"

#include <set>
#include <string>
#include <vector>

using namespace plumspoke;
using namespace plumspoke::test;

namespace
{

constexpr int drains = 5;
constexpr std::int64_t many_threads = 400;
constexpr std::size_t callers = 2;
constexpr auto pause_of_caller = milliseconds(1);

std::string path_of(std::size_t caller, std::size_t number)
{
    return "/queue/" + std::to_string(caller) + "-" + std::to_string(number);
}

} // namespace

TEST_CASE("a request that is taken while a drain ends gets a response")
{
    std::size_t unanswered = 0;
    for (int i = 0; i < drains; ++i)
    {
        hanging_server server(many_threads);
        std::atomic<bool> ended{false};
        std::array<std::vector<int>, callers> sockets;
        std::vector<std::thread> threads;
        for (std::size_t caller = 0; caller < callers; ++caller)
        {
            threads.emplace_back(
                [&own = sockets.at(caller), caller, &ended, &server]
                {
                    while (!ended)
                    {
                        own.push_back(send_on_new_connection(server.address(),
                                                             make_request(path_of(caller, own.size()))));
                        std::this_thread::sleep_for(pause_of_caller);
                    }
                });
        }
        server.wait_until_taken(1);
        server.drain();
        ended = true;
        for (std::thread& one : threads)
        {
            one.join();
        }
        std::this_thread::sleep_for(settle); // lets threads begin what they have read
        const std::set<std::string> taken = server.taken();
        for (std::size_t caller = 0; caller < callers; ++caller)
        {
            for (std::size_t number = 0; number < sockets.at(caller).size(); ++number)
            {
                const bool answered = count_responses(sockets.at(caller).at(number)) > 0;
                unanswered += taken.contains(path_of(caller, number)) && !answered ? 1 : 0;
            }
        }
    }
    CHECK(unanswered == 0);
}

TEST_CASE("a server whose drain has ended takes no request")
{
    hanging_server server(4);
    server.drain();
    const int socket = send_on_new_connection(server.address(), make_request("/queue/1"));
    std::this_thread::sleep_for(settle);
    CHECK(server.taken().empty());
    CHECK(test::is_closed(socket));
    ::close(socket);
}
