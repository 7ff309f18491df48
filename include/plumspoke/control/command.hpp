#pragma once

/// @file
/// @brief The commands of the replicated log and their encoding (CBOR, by nlohmann/json).

#include "plumspoke/control/model.hpp"

#include <string_view>
#include <variant>

namespace plumspoke::control
{

/// @brief A job that was assigned to a worker's process when that process was replaced.
struct crashed_job
{
    std::string job;
    jobs::crash_sign sign = jobs::crash_sign::none;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(crashed_job, job, sign)

/// @brief Registers a worker's process, or a change of its capacity.
struct register_worker
{
    static constexpr std::string_view kind = "register_worker";
    std::string name;
    std::string incarnation;
    std::string availability_zone;
    std::string rack;
    resources capacity;
    std::vector<crashed_job> crashed = {}; // jobs of the previous process
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    register_worker, name, incarnation, availability_zone, rack, capacity, crashed)

/// @brief Excludes a worker from placement, or puts it on trial again.
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

/// @brief Submits a job. The job's id identifies the request, so a resend doesn't create another job.
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

/// @brief Records whether any registered worker can run a waiting job.
struct judge_job
{
    static constexpr std::string_view kind = "judge_job";
    std::string job;
    bool can_run = false;
    std::string reason;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(judge_job, job, can_run, reason)

/// @brief Assigns a job to a worker's process.
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

/// @brief Changes the order of a live task.
struct order_task
{
    static constexpr std::string_view kind = "order_task";
    std::string job;
    std::uint64_t token = 0;
    task_order order = task_order::run;
    std::string reason;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(order_task, job, token, order, reason)

/// @brief Changes the reservation of a live task to match its measured use.
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
    stopped, // the worker acknowledged that it no longer runs
    lost,    // its lease has expired with clock drift included, or its worker's process was replaced
};
NLOHMANN_JSON_SERIALIZE_ENUM(task_event,
                             {{task_event::started, "started"},
                              {task_event::finished, "finished"},
                              {task_event::failed, "failed"},
                              {task_event::stopped, "stopped"},
                              {task_event::lost, "lost"}})

/// @brief Reports an event of a task.
struct report_task
{
    static constexpr std::string_view kind = "report_task";
    std::string job;
    std::uint64_t token = 0;
    task_event event = task_event::started;
    std::string checkpoint;
    std::string result;
    std::string reason;
    jobs::crash_sign sign = jobs::crash_sign::none; // crash evidence from a lost task
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    report_task, job, token, event, checkpoint, result, reason, sign)

struct begin_claim
{
    static constexpr std::string_view kind = "begin_claim";
    std::string service;
    std::string key;
    std::string digest;
    std::string entry; // identifies one request of one entry's process; a repetition gets the same claim
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
        claim_state::unknown; // done, unknown, or granted: the request didn't run and the key is free again
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

/// @return the command, or nothing if the bytes are malformed or of an unknown kind
[[nodiscard]] std::optional<command> decode(std::string_view bytes);

/// @brief The result of a command, for its proposer.
struct command_answer
{
    std::int64_t error = 0; // control::errc, 0: accepted
    std::string message;
    std::uint64_t id = 0;      // number of the plan or claim, or the task's token
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
