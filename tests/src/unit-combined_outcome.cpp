/// @file
/// @brief The outcome reported to a caller after several attempts.
///
/// Guards against a rejection that holds for the last attempt only, while an earlier one may have been
/// accepted.

#include "plumspoke/job_server/combined_outcome.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke;
using job_server::combined_outcome;

TEST_CASE("after an attempt with an unknown effect only an outcome of the job itself is reported")
{
    using jobs::outcome;
    for (const outcome of_job : {outcome::accepted, outcome::known, outcome::unknown_job})
    {
        CHECK(combined_outcome(of_job, true) == of_job);
    }
    for (const outcome of_attempt : {outcome::unknown_queue,
                                     outcome::unconfigured,
                                     outcome::invalid,
                                     outcome::too_large,
                                     outcome::refused,
                                     outcome::undecided,
                                     outcome::not_leading})
    {
        INFO("outcome " << static_cast<int>(of_attempt));
        CHECK(combined_outcome(of_attempt, true) == outcome::undecided);
        CHECK(combined_outcome(of_attempt, false) == of_attempt);
    }
}
