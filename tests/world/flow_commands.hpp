#pragma once

/// @file
/// @brief What operators ask of the world in the flows; each notes in `facts` what was accepted.

#include "world.hpp"

namespace plumspoke::world
{

/// Makes a plan of `intent` and confirms it.
void change(world& self,
            const std::string& request,
            const control::intent_document& intent,
            std::uint64_t based_on);

/// Hands in a job of the team that set_up declares.
void submit_job(world& self, const std::string& id);

/// Whether a leader may act and every accepted job has ended.
[[nodiscard]] bool all_finished(world& self);

} // namespace plumspoke::world
