#pragma once

/// @file
/// @brief Orders that control sends to a worker, and the worker's answers.

#include "plumspoke/fleet/worker_life.hpp"
#include "plumspoke/jobs/model.hpp"
#include "plumspoke/time/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace plumspoke::dispatch
{

/// @brief The life of a worker that an order is for, and its address.
struct recipient
{
    fleet::worker_life worker;
    std::string address;
};

/// @brief Polls a worker: renews the lease of all its runs and asks for running and finished runs.
struct poll_order
{
    recipient to;
    std::uint64_t fencing_token = 0;
    std::optional<std::int64_t> lease_until_ms; // on the worker's clock; absent: no renewal
    std::uint64_t ends_recorded = 0; // ends up to this number are recorded; the worker may forget them
    std::int64_t wait_ms = 0;        // how long the answer may wait for an end
};

/// @brief Starts one run; idempotent: a repeated order gets the same answer.
struct start_order
{
    recipient to;
    std::uint64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0; // on the worker's clock
    jobs::run_name name;
    std::string payload;
    std::string saved; // saved progress to resume from; empty: from the start
    std::string ticket;
};

/// @brief Stops one run, and makes the worker reject later starts of it and of earlier runs of its task.
struct stop_order
{
    recipient to;
    std::uint64_t fencing_token = 0;
    jobs::run_name name;
};

/// @brief Throttles a run to a percentage of its speed.
struct pace_order
{
    recipient to;
    std::uint64_t fencing_token = 0;
    jobs::run_name name;
    std::uint32_t percent = 100;
};

using order = std::variant<poll_order, start_order, stop_order, pace_order>;

/// @brief An order and the time at which it was sent.
struct sent_order
{
    order what;
    time_point sent_at{};
};

/// @brief The result of an order.
enum class reply : std::uint8_t
{
    done,
    fenced,     // the worker has seen a higher fencing token
    superseded, // this run or a later one of its task has ended or was stopped there
    expired,    // the lease had expired when the order arrived
    no_room,
    no_ticket,
    malformed,
    unhealthy,  // nothing was done
    other_life, // another life or another worker answers: nothing was done, and the addressed life has ended
    none,       // no answer: the order may have been carried out, or may be later
    unsent,     // of a start: it was not written to any connection, so it can't be carried out
};

/// @brief The name of a reply for log lines.
[[nodiscard]] std::string_view to_string(reply value) noexcept;

/// @brief A running run as listed by its worker.
struct running_row
{
    jobs::run_name name;
    std::string saved;        // progress from which a later run can resume
    std::int64_t percent = 0; // of its work; of a lasting task: of its start-up
    std::int64_t measured =
        0; // tail latency of a serving task in ms; otherwise processors in use, in thousandths
};

/// @brief An ended run as listed by its worker until the leader has recorded the end.
struct finished_row
{
    std::uint64_t number = 0; // increases over the worker's life
    jobs::run_name name;
    jobs::run_end how = jobs::run_end::lost;
    std::string saved;
};

/// @brief A worker's answer to one order.
struct worker_answer
{
    reply how = reply::none;
    std::optional<std::int64_t> clock_ms; // the worker's clock when it answered
    std::vector<running_row> running;     // of a poll
    std::vector<finished_row> finished;
    std::optional<std::int64_t> born_ms{}; // birth time of the answering life of that id; absent: not given
};

} // namespace plumspoke::dispatch
