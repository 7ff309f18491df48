#pragma once

/// @file
/// @brief A leader's answer from its own state, which another leader must not have overtaken.

#include <cstdint>
#include <optional>

namespace plumspoke::job_server
{

/// @brief Reads while this process leads, and says whether it surely still did once it had read.
/// @param leads the term in which this process holds the leader's lease at the time of the call, if any
/// @param read fills an answer from the state; not called where the process doesn't lead
/// @return false where the answer must not be given
/// @note A process may get no processor time for seconds between any two steps, so a lease that was looked at
///       before the read alone says nothing of what was read.
/// @note Both looks have to find the same term: between two terms of one process another one may have led.
template <typename Check, typename Read>
[[nodiscard]] bool linearizable_read(const Check& leads, const Read& read)
{
    const std::optional<std::uint64_t> before = leads();
    if (!before.has_value())
    {
        return false;
    }
    read();
    return leads() == before;
}

} // namespace plumspoke::job_server
