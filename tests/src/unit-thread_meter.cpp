/// @file
/// @brief The processor time of a thread is counted once, for the innermost active part of its loop.

#include "plumspoke/metrics/thread_meter.hpp"

#include <catch2/catch.hpp>
#include <set>
#include <thread>

using namespace plumspoke::metrics;

namespace
{

constexpr std::uint64_t busy_ns = 5'000'000; // far above the resolution of any thread clock

void busy_wait()
{
    const std::uint64_t until = read_thread_nanoseconds() + busy_ns;
    while (read_thread_nanoseconds() < until)
    {
    }
}

std::uint64_t sum(const thread_meter& meter)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < loop_part_count; ++i)
    {
        total += meter.microseconds(static_cast<loop_part>(i));
    }
    return total;
}

} // namespace

TEST_CASE("processor time is attributed to the innermost part")
{
    thread_meter meter;
    std::uint64_t elapsed_us = 0;
    std::thread(
        [&]
        {
            meter.start();
            const std::uint64_t start_ns = read_thread_nanoseconds();
            {
                const scoped_loop_part outer(loop_part::decide);
                busy_wait();
                {
                    const scoped_loop_part inner(loop_part::place);
                    busy_wait();
                    busy_wait();
                }
                busy_wait();
            }
            elapsed_us = (read_thread_nanoseconds() - start_ns) / 1000;
        })
        .join();
    CHECK(meter.passes(loop_part::decide) == 1);
    CHECK(meter.passes(loop_part::place) == 1);
    CHECK(meter.passes(loop_part::watch) == 0);
    CHECK(meter.microseconds(loop_part::place) >= 2 * busy_ns / 1000);
    CHECK(meter.microseconds(loop_part::decide) >= 2 * busy_ns / 1000);
    CHECK(meter.microseconds(loop_part::watch) == 0);
    // Counting the inner part twice would make the sum half as large again. Each part is truncated to
    // microseconds.
    CHECK(sum(meter) <= elapsed_us + loop_part_count);
    CHECK(sum(meter) + loop_part_count >= 4 * busy_ns / 1000);
}

TEST_CASE("a thread without a meter is not measured")
{
    std::thread(
        []
        {
            CHECK(thread_meter::of_this_thread() == nullptr);
            const scoped_loop_part unmeasured(loop_part::decide);
        })
        .join();
}

TEST_CASE("each part of the loop has a unique name")
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
