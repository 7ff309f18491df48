/// @file
/// @brief Which waiting tasks are reported.

#include "plumspoke/dispatch/longest_waits.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::dispatch;

namespace
{

long_wait make_wait(std::uint32_t index, duration since, wait_cause cause = wait_cause::unplaced)
{
    return {{{"job", 0, 0, index}, 1}, cause, since, {"w", 7}};
}

} // namespace

TEST_CASE("the four longest waits are reported, longest first, with each task once")
{
    longest_waits waits;
    waits.note(make_wait(0, milliseconds(2900)));
    for (std::uint32_t index = 1; index <= 6; ++index)
    {
        waits.note(make_wait(index, seconds(3 + index)));
    }
    waits.note(make_wait(6, seconds(20), wait_cause::not_listed));
    const std::vector<logging::event> lines = waits.take_report();
    REQUIRE(lines.size() == 4);
    CHECK(lines[0].to_json(0).find(R"("index":6,"attempt":1,"cause":"not_listed","since_ms":20000)") !=
          std::string::npos);
    CHECK(lines[0].to_json(0).find(R"("worker":"w","born_ms":7)") != std::string::npos);
    CHECK(lines[1].to_json(0).find(R"("index":5,)") != std::string::npos);
    CHECK(lines[3].to_json(0).find(R"("index":3,)") != std::string::npos);
    CHECK(waits.take_report().empty());
}
