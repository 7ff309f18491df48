#include "plumspoke/error/invariant.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace plumspoke::error
{

namespace
{

constexpr std::array<std::string_view, invariant_count> names = {
    "worker_within_capacity",
    "work_runs_once",
    "resume_exactly_once",
    "answer_to_own_caller",
    "not_run_is_true",
    "unsafe_at_most_once",
    "leaving_gets_no_work",
    "stop_cuts_nothing",
    "configuration_never_reverts",
};

std::array<std::atomic<std::uint64_t>, invariant_count> checked;
std::array<std::atomic<std::uint64_t>, invariant_count> broken;

void abort_on_violation(invariant which, const char* where)
{
    const std::string_view name = to_string(which);
    std::fprintf(
        stderr, "invariant: %.*s is broken at %s\n", static_cast<int>(name.size()), name.data(), where);
    std::abort();
}

std::atomic<invariant_handler> handler{&abort_on_violation};

} // namespace

std::string_view to_string(invariant which) noexcept
{
    return names.at(static_cast<std::size_t>(which));
}

invariant_handler set_invariant_handler(invariant_handler replacement) noexcept
{
    return handler.exchange(replacement == nullptr ? &abort_on_violation : replacement);
}

void check_invariant(invariant which, bool holds, const char* where)
{
    const auto index = static_cast<std::size_t>(which);
    checked.at(index).fetch_add(1, std::memory_order_relaxed);
    if (holds)
    {
        return;
    }
    broken.at(index).fetch_add(1, std::memory_order_relaxed);
    handler.load()(which, where);
}

invariant_counts read_invariant_counts() noexcept
{
    invariant_counts result;
    for (std::size_t i = 0; i < invariant_count; ++i)
    {
        result.checked.at(i) = checked.at(i).load(std::memory_order_relaxed);
        result.broken.at(i) = broken.at(i).load(std::memory_order_relaxed);
    }
    return result;
}

} // namespace plumspoke::error
