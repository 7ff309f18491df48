/// @file
/// @brief Sound jobs outlive crashes of a third of the workers while leaders change.

#include "crashing_tasks_fixture.hpp"

using namespace plumspoke;

TEST_CASE("no sound job is given up where a third of the workers crash and leaders change")
{
    test::check_widespread_crashes(0.1);
}
