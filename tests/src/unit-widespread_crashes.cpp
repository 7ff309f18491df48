/// @file
/// @brief Jobs without crashing tasks survive crashes of a third of the workers during leader changes.

#include "crashing_tasks_fixture.hpp"

using namespace plumspoke;

TEST_CASE("no job without crashing tasks fails when a third of the workers crash and leaders change")
{
    test::check_widespread_crashes(0.1);
}
