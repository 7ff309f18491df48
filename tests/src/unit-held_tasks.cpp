/// @file
/// @brief Which tasks the line on long waits tells of.

#include "plumspoke/dispatch/held_tasks.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using namespace plumspoke::dispatch;

namespace
{

held_task waiting(std::uint32_t index, duration since, hold_cause why = hold_cause::not_placed)
{
    return {{{"job", 0, 0, index}, 1}, why, since, {"w", 7}};
}

} // namespace

TEST_CASE("the four longest waits are told, the longest first, and each task once")
{
    held_tasks held;
    held.note(waiting(0, milliseconds(2900)));
    for (std::uint32_t index = 1; index <= 6; ++index)
    {
        held.note(waiting(index, seconds(3 + index)));
    }
    held.note(waiting(6, seconds(20), hold_cause::not_listed));
    const std::vector<logging::event> lines = held.take_report();
    REQUIRE(lines.size() == 4);
    CHECK(lines[0].to_json(0).find(R"("index":6,"attempt":1,"cause":"not_listed","since_ms":20000)") !=
          std::string::npos);
    CHECK(lines[0].to_json(0).find(R"("worker":"w","born_ms":7)") != std::string::npos);
    CHECK(lines[1].to_json(0).find(R"("index":5,)") != std::string::npos);
    CHECK(lines[3].to_json(0).find(R"("index":3,)") != std::string::npos);
    CHECK(held.take_report().empty());
}
