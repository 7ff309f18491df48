#pragma once

/// @file
/// @brief The outcome reported to a caller after several attempts, of which some got no answer.

#include "plumspoke/jobs/store.hpp"

namespace plumspoke::job_server
{

/// @brief Whether an outcome tells of the job itself, so that it holds for all attempts of a submit or a
///        cancel. The others tell of one attempt: its path, its size, the load or the leader.
[[nodiscard]] constexpr bool is_outcome_of_job(jobs::outcome value) noexcept
{
    switch (value)
    {
    case jobs::outcome::accepted:
    case jobs::outcome::known:
    case jobs::outcome::unknown_job: // of a cancel, which is then on record and also ends a later submit
        return true;
    case jobs::outcome::unknown_queue:
    case jobs::outcome::unconfigured:
    case jobs::outcome::invalid:
    case jobs::outcome::too_large:
    case jobs::outcome::refused:
    case jobs::outcome::undecided:
    case jobs::outcome::not_leading:
        break;
    }
    return false;
}

/// @brief The outcome of all attempts together.
/// @param last the outcome reported for the last attempt
/// @param may_be_done whether the result of an earlier attempt is unknown
/// @note The log entry of an earlier attempt may be committed, before or after the last one. A caller that is
///       told of a rejection would then see its job run.
[[nodiscard]] constexpr jobs::outcome combined_outcome(jobs::outcome last, bool may_be_done) noexcept
{
    return may_be_done && !is_outcome_of_job(last) ? jobs::outcome::undecided : last;
}

} // namespace plumspoke::job_server
