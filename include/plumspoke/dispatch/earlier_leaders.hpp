#pragma once

/// @file
/// @brief What a new leader knows of the leaders before it.

#include "plumspoke/time/time.hpp"

#include <cstdint>

namespace plumspoke::dispatch
{

/// @brief What a new leader knows of the leaders before it.
struct earlier_leaders
{
    // When all of them had certainly lost their leader lease: they decided on no order later. At most the
    // start of the new term counts.
    time_point lease_end = time_point::max();
    // The latest earlier term whose leader may have held a lease; 0: not known.
    std::uint64_t last_term = 0;
    // `store::unrenewed()` was recorded no later, on this process's clock.
    time_point unrenewed_recorded_at{};
};

} // namespace plumspoke::dispatch
