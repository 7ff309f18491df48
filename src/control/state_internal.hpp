#pragma once

// Command handlers, one overload per command. Each state_*.cpp file implements those of one subject.

#include "plumspoke/control/error.hpp"
#include "plumspoke/control/state.hpp"

namespace plumspoke::control::detail
{

command_answer apply_command(control_state& state, std::uint64_t index, const register_worker& value);
command_answer apply_command(control_state& state, std::uint64_t index, const set_worker_aside& value);
command_answer apply_command(control_state& state, std::uint64_t index, const make_plan& value);
command_answer apply_command(control_state& state, std::uint64_t index, const confirm_plan& value);
command_answer apply_command(control_state& state, std::uint64_t index, const discard_plan& value);
command_answer apply_command(control_state& state, std::uint64_t index, const submit_job& value);
command_answer apply_command(control_state& state, std::uint64_t index, const cancel_job& value);
command_answer apply_command(control_state& state, std::uint64_t index, const judge_job& value);
command_answer apply_command(control_state& state, std::uint64_t index, const place_task& value);
command_answer apply_command(control_state& state, std::uint64_t index, const order_task& value);
command_answer apply_command(control_state& state, std::uint64_t index, const resize_task& value);
command_answer apply_command(control_state& state, std::uint64_t index, const report_task& value);
command_answer apply_command(control_state& state, std::uint64_t index, const begin_claim& value);
command_answer apply_command(control_state& state, std::uint64_t index, const finish_claim& value);

/// Adds a job whose id isn't in use.
void add_job(control_state& state, std::uint64_t index, const job_spec& spec);

/// Ends the live task of a job whose lease has expired or whose worker's process was replaced.
/// @param sign crash evidence that the loss gives against the job
void handle_lost_task(control_state& state, job& lost, const std::string& reason, jobs::crash_sign sign);

command_answer refuse(errc error, const std::string& where);

} // namespace plumspoke::control::detail
