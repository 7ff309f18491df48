/// @file
/// @brief Guards against calls of a control VM whose processor time grows with the files that it has open: a
///        leader with a connection to each of 490 workers then has no processor left for its decisions.

#include "control_cost_fixture.hpp"

#include <limits>

using namespace plumspoke;
using test::measured_control_vm;

namespace
{

constexpr std::size_t other_sockets = 2000;
constexpr std::size_t worker_count = 10;
constexpr double max_growth = 1.5;
constexpr auto step_pause = milliseconds(1); // in which the leader decides, as after each announcement
// Other processes disturb rounds, so the least time of each kind counts, and more of them follow if it has
// grown.
constexpr int min_rounds = 8;
constexpr int max_rounds = 40;

struct call_cost
{
    double alone_us = std::numeric_limits<double>::max();
    double beside_open_files_us = std::numeric_limits<double>::max();
};

bool has_grown(const call_cost& cost)
{
    return cost.beside_open_files_us > max_growth * cost.alone_us;
}

/// @param calls makes calls and returns their number
template <typename Calls> double measure(const measured_control_vm& vm, const Calls& calls)
{
    (void)calls(); // after a pause, or when many sockets were opened or closed, the first calls take longer
    const std::uint64_t before_ns = vm.processor_ns();
    const auto count = static_cast<double>(calls());
    return static_cast<double>(vm.processor_ns() - before_ns) / 1000 / count;
}

template <typename Calls> call_cost compare(const measured_control_vm& vm, const Calls& calls)
{
    call_cost least;
    for (int i = 0; i < min_rounds || (has_grown(least) && i < max_rounds); ++i)
    {
        least.alone_us = std::min(least.alone_us, measure(vm, calls));
        const test::unused_sockets others(other_sockets);
        least.beside_open_files_us = std::min(least.beside_open_files_us, measure(vm, calls));
    }
    return least;
}

template <typename Call> auto repeat(int count, const Call& call)
{
    return [count, call]
    {
        for (int i = 0; i < count; ++i)
        {
            call();
        }
        return count;
    };
}

} // namespace

TEST_CASE("a call of a control VM takes about as much processor time beside many open files")
{
    measured_control_vm vm(worker_count);
    call_cost cost;

    SECTION("an announcement")
    {
        cost = compare(vm,
                       repeat(50,
                              [&vm]
                              {
                                  vm.announce();
                                  std::this_thread::sleep_for(step_pause);
                              }));
    }
    SECTION("an announcement while most threads are in use")
    {
        vm.use_most_threads();
        cost = compare(vm,
                       repeat(50,
                              [&vm]
                              {
                                  vm.announce();
                                  std::this_thread::sleep_for(step_pause);
                              }));
        CHECK(vm.most_threads_in_use());
    }
    SECTION("an operator's call on an open connection")
    {
        const int socket = vm.connect();
        cost = compare(vm,
                       repeat(100,
                              [&vm, socket]
                              {
                                  vm.read_configuration(socket);
                              }));
        ::close(socket);
    }
    SECTION("an entry's call")
    {
        vm.submit("");
        cost = compare(vm,
                       repeat(200,
                              [&vm]
                              {
                                  vm.ask_state();
                              }));
    }
    SECTION("a poll")
    {
        for (std::size_t i = 0; i < worker_count; ++i)
        {
            vm.submit("lasting", true);
        }
        cost = compare(vm,
                       [&vm]
                       {
                           const std::uint64_t before = vm.workers().polls();
                           std::this_thread::sleep_for(milliseconds(200));
                           return vm.workers().polls() - before;
                       });
    }
    SECTION("a job and the order that starts it")
    {
        cost = compare(vm,
                       [&vm]
                       {
                           const std::uint64_t before = vm.workers().starts();
                           for (int i = 0; i < 40; ++i)
                           {
                               vm.submit("");
                           }
                           std::this_thread::sleep_for(milliseconds(100)); // the last starts and ends
                           return vm.workers().starts() - before;
                       });
    }

    INFO(cost.alone_us << " us, beside " << other_sockets << " open files " << cost.beside_open_files_us
                       << " us");
    CHECK_FALSE(has_grown(cost));
}
