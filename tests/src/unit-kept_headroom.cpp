/// @file
/// @brief Headroom for short tasks doesn't keep a lasting task that is owed a start.

#include "pool_fixture.hpp"

using namespace plumspoke;
using namespace plumspoke::dispatch;
using namespace plumspoke::dispatch::dispatcher_test;

// Guards against counting a waiting task's own needs as in use.
TEST_CASE("a lasting task isn't kept waiting while under half of the pool is in use without it")
{
    pool_fixture pool(4);
    pool.demand_headroom();
    pool.submit("lasting", make_lasting_step(3, 13'000));
    pool.advance(seconds(10));
    CHECK(pool.first_wait("lasting", 2) <= seconds(3));
}

// Guards against counting what is reserved on workers that answer nothing.
TEST_CASE("a lasting task isn't kept waiting for the sake of silent workers")
{
    pool_fixture pool(6);
    pool.submit("first", make_lasting_step(1, 16'000, "w1"));
    pool.submit("second", make_lasting_step(1, 16'000, "w2"));
    pool.advance(seconds(2));
    pool.demand_headroom();
    pool.silent = {"w1", "w2"};
    pool.advance(seconds(1));
    pool.submit("lasting", make_lasting_step(3, 13'000));
    pool.advance(seconds(10));
    CHECK(pool.first_wait("lasting", 2) <= seconds(3));
}

// Guards against counting what is reserved by runs that no worker carries out.
TEST_CASE("a lasting task isn't kept waiting for the sake of starts that had no effect")
{
    pool_fixture pool(6);
    pool.never_begun = {{"first", 0}, {"second", 0}};
    pool.submit("first", make_lasting_step(1, 16'000, "w1"));
    pool.submit("second", make_lasting_step(1, 16'000, "w2"));
    pool.advance(seconds(1));
    pool.demand_headroom();
    pool.submit("lasting", make_lasting_step(3, 13'000));
    pool.advance(seconds(8));
    CHECK(pool.first_wait("lasting", 2) <= seconds(3));
}

// Guards against taking a start that had no effect for a running task of its job.
TEST_CASE("a lasting task isn't kept waiting behind a start of its job that had no effect")
{
    pool_fixture pool(6);
    pool.submit("first", make_lasting_step(4, 13'000));
    pool.advance(seconds(3));
    pool.demand_headroom();
    pool.never_begun = {{"lasting", 0}};
    pool.submit("lasting", make_lasting_step(2, 6000));
    pool.advance(seconds(10));
    REQUIRE(pool.first_wait("lasting", 0) <= seconds(3));
    CHECK(pool.first_wait("lasting", 1) <= seconds(6));
}
