#pragma once

/// @file
/// @brief The key of what is known of a step of a job, over all its occurrences.

#include "plumspoke/jobs/model.hpp"

namespace plumspoke::dispatch
{

/// @return the job's id, a dot and the step's number
[[nodiscard]] inline std::string step_key(const jobs::task_name& name)
{
    return name.job + "." + std::to_string(name.step);
}

} // namespace plumspoke::dispatch
