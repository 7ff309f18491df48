#pragma once

/// @file
/// @brief Linearizable reads of the leader's own state, guarded by its lease.

#include <cstdint>
#include <optional>

namespace plumspoke::job_server
{

/// @brief Reads the state and checks that this process held the leader's lease before and after.
/// @param leads returns the term in which this process holds the leader's lease now, if any
/// @param read fills an answer from the state; not called if the process does not hold the lease
/// @return false if the state may be stale, so the answer must not be used
/// @note The process may get no processor time for seconds between any two steps, so checking the lease only
///       before the read is not enough.
/// @note Both checks must return the same term: another process may have led between two terms of this one.
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
