#pragma once

/// @file
/// @brief The replicated control state and the effect of each command on it.
///
/// Deterministic: reads no clock and no random numbers, so that all replicas reach the same state.

#include "plumspoke/control/command.hpp"

#include <deque>
#include <set>

namespace plumspoke::control
{

/// @brief Limits on the size of the state.
inline constexpr std::size_t max_remembered_requests = 20000;
inline constexpr std::size_t max_finished_jobs = 20000;
inline constexpr std::size_t max_unfinished_jobs = 200000;
inline constexpr std::size_t max_claims = 50000;
inline constexpr std::size_t max_plans = 2000;
inline constexpr std::size_t set_aside_failure_threshold = 3; // distinct jobs without a success between

/// @brief The answer to an operator's request, repeated when the request is sent again.
struct request_record
{
    std::string digest;
    command_answer answer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(request_record, digest, answer)

/// @brief Decision counters. Part of the state, so that all replicas report the same values.
struct state_counters
{
    std::uint64_t plans_confirmed = 0;
    std::uint64_t plan_conflicts = 0;
    std::uint64_t jobs_submitted = 0;
    std::uint64_t jobs_done = 0;
    std::uint64_t jobs_failed = 0;
    std::uint64_t cancelled_before_run = 0;
    std::uint64_t cancelled_while_running = 0;
    std::uint64_t placements = 0;
    std::uint64_t evictions = 0;
    std::uint64_t tasks_lost = 0;
    std::uint64_t resumes = 0;
    std::uint64_t throttles = 0;
    std::uint64_t workers_set_aside = 0;
    std::uint64_t stale_reports = 0;
    std::uint64_t claims_granted = 0;
    std::uint64_t claims_repeated = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(state_counters,
                                                plans_confirmed,
                                                plan_conflicts,
                                                jobs_submitted,
                                                jobs_done,
                                                jobs_failed,
                                                cancelled_before_run,
                                                cancelled_while_running,
                                                placements,
                                                evictions,
                                                tasks_lost,
                                                resumes,
                                                throttles,
                                                workers_set_aside,
                                                stale_reports,
                                                claims_granted,
                                                claims_repeated)

/// @brief The replicated state; the fields in the JSON macro are part of each snapshot.
struct control_state
{
    configuration config;
    std::map<std::string, worker_record> workers;
    std::map<std::string, job> jobs;
    std::map<std::uint64_t, plan> plans;
    std::map<std::string, claim> claims; // by claim_map_key()
    std::map<std::string, request_record> requests;
    std::deque<std::string> request_order;
    std::deque<std::string> finished_order;
    std::deque<std::string> claim_order;
    std::uint64_t next_token = 1;
    std::uint64_t next_plan = 1;
    std::uint64_t next_claim = 1;
    state_counters counters;

    // Derived from the fields above; rebuild_derived() recomputes them after a restore.
    std::set<std::string> pending;
    std::set<std::string> open_claims;
    std::map<std::string, resources> team_usage;
    std::map<std::string, resources> service_reserve; // by worker
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(control_state,
                                                config,
                                                workers,
                                                jobs,
                                                plans,
                                                claims,
                                                requests,
                                                request_order,
                                                finished_order,
                                                claim_order,
                                                next_token,
                                                next_plan,
                                                next_claim,
                                                counters)

/// @brief Applies one command.
/// @param index log index of the command; a new job records it as its submission order
/// @return the answer for the proposer
[[nodiscard]] command_answer apply(control_state& state, std::uint64_t index, const command& value);

/// @brief Recomputes the fields that a snapshot doesn't hold.
void rebuild_derived(control_state& state);

/// @brief The capacity that services reserve, by worker.
[[nodiscard]] std::map<std::string, resources> reserve_by_worker(const configuration& config);

/// @brief Capacity left for further tasks: the worker's capacity minus services' reserve and live tasks.
[[nodiscard]] resources free_capacity_of(const control_state& state, const worker_record& worker);

/// @brief Capacity available to all tasks together: the worker's capacity minus services' reserve.
[[nodiscard]] resources task_capacity_of(const control_state& state, const worker_record& worker);

/// @brief Why a job can't run at all: its team is unknown, or the quota or every worker is too small.
/// @return the reason, for operators; empty if the job can run, or while no worker has registered
[[nodiscard]] std::string infeasibility_reason(const control_state& state, const job_spec& spec);

/// @brief Computes the effect of a document, for the operator to review before confirming.
[[nodiscard]] plan build_plan(const control_state& state, const intent_document& document);

/// @brief The configuration after a document is applied to `present`; the version stays the same.
[[nodiscard]] configuration apply_intent(const configuration& present, const intent_document& document);

/// @brief Makes a refusal.
/// @param error value of control::errc
/// @param where subject of the refused command, the start of the message
[[nodiscard]] command_answer refuse(int error, const std::string& where);

/// @brief Key of a claim in control_state::claims.
[[nodiscard]] std::string claim_map_key(const std::string& service, const std::string& key);

} // namespace plumspoke::control
