#pragma once

/// @file
/// @brief What control tells a worker, and what the worker answers.

#include "plumspoke/fleet/worker_life.hpp"
#include "plumspoke/jobs/model.hpp"
#include "plumspoke/time/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace plumspoke::dispatch
{

/// @brief Which life of a worker an order is for, and where that life is reached.
struct recipient
{
    fleet::worker_life worker;
    std::string address;
};

/// @brief Renews the lease of all that runs on a worker and asks what runs and what has ended.
struct poll_order
{
    recipient to;
    std::uint64_t fencing_token = 0;
    std::optional<std::int64_t> lease_until_ms; // on the worker's clock; absent: ask only
    std::uint64_t ends_recorded = 0;            // the worker may forget ends up to this one
    std::int64_t wait_ms = 0;                   // the answer may wait so long for an end
};

/// @brief Starts one run; the same order again is answered as the first.
struct start_order
{
    recipient to;
    std::uint64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0; // on the worker's clock
    jobs::run_name name;
    std::string payload;
    std::string saved; // progress to go on from; empty: from the start
    std::string ticket;
};

/// @brief Stops one run, and keeps it and earlier ones of its task from starting there.
struct stop_order
{
    recipient to;
    std::uint64_t fencing_token = 0;
    jobs::run_name name;
};

/// @brief Lets a run work, and disturb others, at a share of its speed.
struct pace_order
{
    recipient to;
    std::uint64_t fencing_token = 0;
    jobs::run_name name;
    std::uint32_t percent = 100;
};

using order = std::variant<poll_order, start_order, stop_order, pace_order>;

/// @brief An order with the time at which it was handed out.
struct sent_order
{
    order what;
    time_point sent_at{};
};

/// @brief How a worker took an order.
enum class reply : std::uint8_t
{
    done,
    fenced,     // it has seen a higher fencing token
    superseded, // this run, or a later one of its task, has ended or was stopped there
    expired,    // the lease was over when the order arrived
    no_room,
    no_ticket,
    malformed,
    unhealthy,  // nothing was done
    other_life, // another life answers, or another worker: nothing was done, and that life is over
    none,       // no answer: it may have been done, or may be done later
};

/// @brief The name of a reply, for log lines.
[[nodiscard]] std::string_view to_string(reply value) noexcept;

/// @brief One run that goes on, as its worker lists it.
struct running_row
{
    jobs::run_name name;
    std::string saved;         // progress that a later run can go on from
    std::int64_t percent = 0;  // of its work; of a lasting task: how far it is from being at work
    std::int64_t measured = 0; // a serving task's tail in ms; else processors in use, in thousandths
};

/// @brief One run that has ended, as its worker lists it until the end is noted.
struct finished_row
{
    std::uint64_t number = 0; // rises over the worker's life
    jobs::run_name name;
    jobs::run_end how = jobs::run_end::lost;
    std::string saved;
};

/// @brief A worker's answer to one order.
struct worker_answer
{
    reply how = reply::none;
    std::optional<std::int64_t> clock_ms; // the worker's clock when it answered
    std::vector<running_row> running;     // of a hold
    std::vector<finished_row> finished;
    std::optional<std::int64_t> born_ms{}; // of the life that answers, under the same id; absent: not told
};

} // namespace plumspoke::dispatch
