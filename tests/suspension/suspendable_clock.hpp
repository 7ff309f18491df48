#pragma once

/// @file
/// @brief Replaces the C library's clock of a test program, so that its VM can seem to have been suspended.
///
/// Linked into a program, suspendable_clock.cpp holds back CLOCK_MONOTONIC by the time set here, and the
/// waits that count it. CLOCK_BOOTTIME and the time of day run on, as on a VM that is suspended.

#include <chrono>

namespace plumspoke::test
{

/// @brief Holds CLOCK_MONOTONIC back by this much more.
/// @note The variable PLUMSPOKE_TEST_SUSPENDED_NS names a file that holds this time as a 64-bit number of
///       nanoseconds instead; another process may change it while this one is stopped.
void add_suspended_time(std::chrono::nanoseconds missed);

} // namespace plumspoke::test
