#pragma once

/// @file
/// @brief What may be said to a caller after several attempts, of which an earlier one got no answer.

#include "plumspoke/jobs/store.hpp"

namespace plumspoke::job_server
{

/// @brief The outcome that is true for all attempts together.
/// @param told what the last leader that was asked says
/// @param may_be_done whether an earlier attempt got no clear answer
/// @note A leader says `refused` of its own attempt only: what an earlier one left in the log may yet be
///       committed, and a caller that was told "not taken" would see its job run.
[[nodiscard]] constexpr jobs::outcome combined_outcome(jobs::outcome told, bool may_be_done) noexcept
{
    const bool refused = told == jobs::outcome::refused;
    return refused && may_be_done ? jobs::outcome::undecided : told;
}

} // namespace plumspoke::job_server
