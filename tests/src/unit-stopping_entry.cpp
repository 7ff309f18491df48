/// @file
/// @brief An entry that is shutting down answers the requests that arrive on open connections.

#include "stopping_entry_fixture.hpp"

using namespace plumspoke;

TEST_CASE("a request received during the shutdown of an entry is answered before it completes")
{
    test::stopping_entry entry;
    entry.stop();
    CHECK(entry.unanswered() == 0);
    CHECK(entry.took() < seconds(6));
}
