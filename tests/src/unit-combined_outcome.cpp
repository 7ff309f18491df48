/// @file
/// @brief The outcome reported to a caller after several attempts.

#include "plumspoke/job_server/combined_outcome.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using job_server::combined_outcome;

TEST_CASE("refused is reported only if no attempt may have been accepted")
{
    using jobs::outcome;
    CHECK(combined_outcome(outcome::refused, false) == outcome::refused);
    CHECK(combined_outcome(outcome::refused, true) == outcome::undecided);
    for (const outcome definite :
         {outcome::accepted, outcome::known, outcome::unknown_queue, outcome::undecided})
    {
        CHECK(combined_outcome(definite, true) == definite);
        CHECK(combined_outcome(definite, false) == definite);
    }
}
