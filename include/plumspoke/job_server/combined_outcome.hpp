#pragma once

/// @file
/// @brief The outcome reported to a caller after several attempts, of which some got no answer.

#include "plumspoke/jobs/store.hpp"

namespace plumspoke::job_server
{

/// @brief The outcome of all attempts together.
/// @param last the outcome reported for the last attempt
/// @param may_be_done whether the result of an earlier attempt is unknown
/// @note A leader reports `refused` for its own attempt only. A log entry of an earlier attempt may still be
///       committed, and a caller told "not taken" would then see its job run.
[[nodiscard]] constexpr jobs::outcome combined_outcome(jobs::outcome last, bool may_be_done) noexcept
{
    const bool refused = last == jobs::outcome::refused;
    return refused && may_be_done ? jobs::outcome::undecided : last;
}

} // namespace plumspoke::job_server
