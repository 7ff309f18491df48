/// @file
/// @brief Requests that reach an entry on open connections while it stops.

#include "stopping_entry_fixture.hpp"

using namespace plumspoke;

TEST_CASE("a request taken while an entry stops is answered before the stop ends")
{
    test::stopping_entry entry;
    entry.stop();
    CHECK(entry.unanswered() == 0);
    CHECK(entry.took() < seconds(6));
}
