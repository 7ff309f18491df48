#pragma once

/// @file
/// @brief A leader's answer from its own state, which another leader must not have overtaken.

namespace plumspoke::job_server
{

/// @brief Reads while this process leads, and says whether it surely still did once it had read.
/// @param may_act whether this process holds the leader's lease at the time of the call
/// @param read fills an answer from the state; not called where the process doesn't lead
/// @return false where the answer must not be given
/// @note A process may get no processor time for seconds between any two steps, so a lease that was looked at
///       before the read alone says nothing of what was read.
template <typename Check, typename Read>
[[nodiscard]] bool certified_read(const Check& may_act, const Read& read)
{
    if (!may_act())
    {
        return false;
    }
    read();
    return may_act();
}

} // namespace plumspoke::job_server
