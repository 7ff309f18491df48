#pragma once

/// @file
/// @brief The commands of the replicated log, and their encoding (CBOR, by nlohmann/json).

#include "plumspoke/control/model.hpp"

#include <string_view>
#include <variant>

namespace plumspoke::control
{

/// @brief A job that a worker's process had been granted when it was replaced.
struct crashed_job
{
    std::string job;
    jobs::crash_sign sign = jobs::crash_sign::none;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(crashed_job, job, sign)

/// @brief A worker's process has come up, or its size has changed.
struct register_worker
{
    static constexpr std::string_view kind = "register_worker";
    std::string name;
    std::string incarnation;
    std::string availability_zone;
    std::string rack;
    resources capacity;
    std::vector<crashed_job> crashed = {}; // with the process before this one
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    register_worker, name, incarnation, availability_zone, rack, capacity, crashed)

/// @brief Takes a worker out of placement, or back in.
struct set_worker_aside
{
    static constexpr std::string_view kind = "set_worker_aside";
    std::string worker;
    bool aside = true;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(set_worker_aside, worker, aside)

struct make_plan
{
    static constexpr std::string_view kind = "make_plan";
    std::string request;
    std::string made_by;
    std::uint64_t based_on = 0;
    intent_document document;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(make_plan, request, made_by, based_on, document)

struct confirm_plan
{
    static constexpr std::string_view kind = "confirm_plan";
    std::string request;
    std::uint64_t plan = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(confirm_plan, request, plan)

struct discard_plan
{
    static constexpr std::string_view kind = "discard_plan";
    std::string request;
    std::uint64_t plan = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(discard_plan, request, plan)

/// @brief A job; its id is its request identity, so a resend is the same job.
struct submit_job
{
    static constexpr std::string_view kind = "submit_job";
    job_spec spec;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(submit_job, spec)

struct cancel_job
{
    static constexpr std::string_view kind = "cancel_job";
    std::string job;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(cancel_job, job)

/// @brief Whether a waiting job can run on this fleet at all.
struct judge_job
{
    static constexpr std::string_view kind = "judge_job";
    std::string job;
    bool can_run = false;
    std::string reason;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(judge_job, job, can_run, reason)

/// @brief Grants a job to a worker's process.
struct place_task
{
    static constexpr std::string_view kind = "place_task";
    std::string job;
    std::string worker;
    std::string incarnation;
    resources reserved;
    std::string reason;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(place_task, job, worker, incarnation, reserved, reason)

/// @brief Tells a live task what to do next.
struct order_task
{
    static constexpr std::string_view kind = "order_task";
    std::string job;
    std::uint64_t token = 0;
    task_order order = task_order::run;
    std::string reason;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(order_task, job, token, order, reason)

/// @brief Corrects what a live task reserves, from measured use.
struct resize_task
{
    static constexpr std::string_view kind = "resize_task";
    std::string job;
    std::uint64_t token = 0;
    resources reserved;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(resize_task, job, token, reserved)

enum class task_event : std::uint8_t
{
    started,
    finished,
    failed,
    stopped, // the worker confirms that it runs no more
    lost,    // its lease has surely run out, or its worker's process is gone
};
NLOHMANN_JSON_SERIALIZE_ENUM(task_event,
                             {{task_event::started, "started"},
                              {task_event::finished, "finished"},
                              {task_event::failed, "failed"},
                              {task_event::stopped, "stopped"},
                              {task_event::lost, "lost"}})

/// @brief What became of a grant.
struct report_task
{
    static constexpr std::string_view kind = "report_task";
    std::string job;
    std::uint64_t token = 0;
    task_event event = task_event::started;
    std::string checkpoint;
    std::string result;
    std::string reason;
    jobs::crash_sign sign = jobs::crash_sign::none; // of a lost task
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    report_task, job, token, event, checkpoint, result, reason, sign)

struct begin_claim
{
    static constexpr std::string_view kind = "begin_claim";
    std::string service;
    std::string key;
    std::string digest;
    std::string entry; // names one request of one entry's process: who repeats it gets its own claim again
    std::int64_t deadline_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(begin_claim, service, key, digest, entry, deadline_ms)

struct finish_claim
{
    static constexpr std::string_view kind = "finish_claim";
    std::string service;
    std::string key;
    std::uint64_t id = 0;
    claim_state state =
        claim_state::unknown; // done, unknown, or granted: it did not run, the key is free again
    std::int64_t status = 0;
    std::string content_type;
    std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    finish_claim, service, key, id, state, status, content_type, body)

using command = std::variant<register_worker,
                             set_worker_aside,
                             make_plan,
                             confirm_plan,
                             discard_plan,
                             submit_job,
                             cancel_job,
                             judge_job,
                             place_task,
                             order_task,
                             resize_task,
                             report_task,
                             begin_claim,
                             finish_claim>;

[[nodiscard]] std::string encode(const command& value);

/// @return the command, or nothing where it can't be read
[[nodiscard]] std::optional<command> decode(std::string_view bytes);

/// @brief What a command's proposer is told.
struct command_answer
{
    std::int64_t error = 0; // control::errc, 0: accepted
    std::string message;
    std::uint64_t id = 0;      // of a plan, a claim or a grant
    std::uint64_t version = 0; // of the configuration
    nlohmann::json detail;     // the plan, the job or the claim

    [[nodiscard]] bool accepted() const noexcept
    {
        return error == 0;
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(command_answer, error, message, id, version, detail)

[[nodiscard]] std::string encode_answer(const command_answer& value);
[[nodiscard]] command_answer decode_answer(std::string_view bytes);

} // namespace plumspoke::control
