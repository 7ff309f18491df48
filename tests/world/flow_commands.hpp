#pragma once

/// @file
/// @brief Operator commands of the flows. Each records in `facts` what was accepted.

#include "world.hpp"

namespace plumspoke::world
{

/// Creates a plan from `intent` and confirms it.
void change_configuration(world& self,
                          const std::string& request,
                          const control::intent_document& intent,
                          std::uint64_t based_on);

/// Submits a job of the team that `set_up` declares.
void submit_job(world& self, const std::string& id);

/// Whether a leader may act and every accepted job has ended.
[[nodiscard]] bool all_finished(world& self);

} // namespace plumspoke::world
