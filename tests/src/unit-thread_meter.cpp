/// @file
/// @brief A thread's processor time counts once, for the innermost part that is open.

#include "plumspoke/metrics/thread_meter.hpp"

#include <catch2/catch.hpp>
#include <set>
#include <thread>

using namespace plumspoke::metrics;

namespace
{

constexpr std::uint64_t spent_ns = 5'000'000; // far above the step of any processor clock

void spend()
{
    const std::uint64_t until = read_thread_nanoseconds() + spent_ns;
    while (read_thread_nanoseconds() < until)
    {
    }
}

std::uint64_t sum(const thread_meter& of)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < loop_part_count; ++i)
    {
        total += of.microseconds(static_cast<loop_part>(i));
    }
    return total;
}

} // namespace

TEST_CASE("processor time counts for the innermost part")
{
    thread_meter meter;
    std::uint64_t whole_us = 0;
    std::thread(
        [&]
        {
            meter.start();
            const std::uint64_t begun = read_thread_nanoseconds();
            {
                const scoped_loop_part outer(loop_part::decide);
                spend();
                {
                    const scoped_loop_part inner(loop_part::place);
                    spend();
                    spend();
                }
                spend();
            }
            whole_us = (read_thread_nanoseconds() - begun) / 1000;
        })
        .join();
    CHECK(meter.passes(loop_part::decide) == 1);
    CHECK(meter.passes(loop_part::place) == 1);
    CHECK(meter.passes(loop_part::watch) == 0);
    CHECK(meter.microseconds(loop_part::place) >= 2 * spent_ns / 1000);
    CHECK(meter.microseconds(loop_part::decide) >= 2 * spent_ns / 1000);
    CHECK(meter.microseconds(loop_part::watch) == 0);
    // Counted twice, the inner part would make the sum half as long again. Each part is cut to microseconds.
    CHECK(sum(meter) <= whole_us + loop_part_count);
    CHECK(sum(meter) + loop_part_count >= 4 * spent_ns / 1000);
}

TEST_CASE("a thread without a meter is not measured")
{
    std::thread(
        []
        {
            CHECK(thread_meter::of_this_thread() == nullptr);
            const scoped_loop_part nothing(loop_part::decide);
        })
        .join();
}

TEST_CASE("each part of the loop has a name of its own")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < loop_part_count; ++i)
    {
        names.insert(to_string(static_cast<loop_part>(i)));
    }
    CHECK(names.size() == loop_part_count);
    CHECK_FALSE(names.contains(""));
    CHECK(to_string(static_cast<loop_part>(loop_part_count)).empty());
}
