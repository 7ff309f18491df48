/// @file
/// @brief An HTTP server whose process is suspended. Run by tests/suspended_server.sh, which suspends it.

#include "plumspoke/http/server.hpp"

#include "free_address.hpp"

#include <catch2/catch.hpp>
#include <iostream>
#include <thread>

using namespace plumspoke;

TEST_CASE("a server that is suspended for longer than its idle timeout", "[.][suspended_server]")
{
    http::server_options options;
    options.address = test::free_address();
    options.keep_alive_ms = 1000;
    http::server server(options,
                        [](const http::request& /*received*/)
                        {
                            return http::response{};
                        });
    REQUIRE(server.start());
    std::cout << "serving " << options.address << std::endl;
    std::string line;
    std::getline(std::cin, line); // until the script closes its end
    server.stop();
}
