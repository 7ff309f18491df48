#pragma once

/// @file
/// @brief Named invariants. A violation aborts the process before it can give a wrong answer.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plumspoke::error
{

/// @brief Invariants that are checked at run time.
enum class invariant : std::uint8_t
{
    worker_within_capacity,
    work_runs_once,
    resume_exactly_once,
    answer_to_own_caller,
    not_run_is_true,
    unsafe_at_most_once,
    leaving_gets_no_work,
    stop_cuts_nothing,
    configuration_never_reverts,
};

inline constexpr std::size_t invariant_count = 9;

/// @brief The name under which an invariant is counted and logged.
[[nodiscard]] std::string_view to_string(invariant which) noexcept;

/// @brief Called with a violated invariant. The default handler prints it to standard error and aborts.
using invariant_handler = void (*)(invariant which, const char* where);

/// @brief Replaces the handler; for tests that provoke a violation.
/// @return the previous handler
invariant_handler set_invariant_handler(invariant_handler handler) noexcept;

/// @brief Counts the check and calls the handler if `holds` is false.
/// @param which the checked invariant
/// @param holds whether the invariant holds
/// @param where a short constant string that identifies the call site
void check_invariant(invariant which, bool holds, const char* where);

/// @brief Number of checks and violations of each invariant since the start.
struct invariant_counts
{
    std::array<std::uint64_t, invariant_count> checked{};
    std::array<std::uint64_t, invariant_count> broken{};
};

/// @brief Reads the counters.
[[nodiscard]] invariant_counts read_invariant_counts() noexcept;

} // namespace plumspoke::error
