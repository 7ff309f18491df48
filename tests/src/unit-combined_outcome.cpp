/// @file
/// @brief What a caller is told after several attempts.

#include "plumspoke/job_server/combined_outcome.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using job_server::combined_outcome;

TEST_CASE("not taken is said only where no attempt may have been taken")
{
    using jobs::outcome;
    CHECK(combined_outcome(outcome::refused, false) == outcome::refused);
    CHECK(combined_outcome(outcome::refused, true) == outcome::undecided);
    for (const outcome sure : {outcome::accepted, outcome::known, outcome::unknown_queue, outcome::undecided})
    {
        CHECK(combined_outcome(sure, true) == sure);
        CHECK(combined_outcome(sure, false) == sure);
    }
}
