#pragma once

/// @file
/// @brief Interfaces for translating between plumspoke and external protocols. Implementations are stateless
///        and make no scheduling decisions.

#include "plumspoke/dispatch/orders.hpp"
#include "plumspoke/fleet/announcement.hpp"
#include "plumspoke/http/message.hpp"
#include "plumspoke/jobs/store.hpp"

#include <variant>

namespace plumspoke::protocol
{

// ---- callers -----------------------------------------------------------------------------------

/// @brief Submits a job.
struct submit_call
{
    jobs::job_spec spec;
};

/// @brief Reads the state of a job or the job count of a queue, depending on the path.
struct read_call
{
};

/// @brief Cancels the job named by the path.
struct cancel_call
{
};

/// @brief An invalid request, with the status and message of the response.
struct bad_call
{
    int status = 400;
    std::string message;
};

/// @brief A caller's request. Queue and job are resolved later from host and path, using the configuration.
struct caller_request
{
    std::string host;
    std::string path;
    std::int64_t time_left_ms = 0; // until the caller's deadline; 0: unknown
    bool was_queued = false;       // until an HTTP thread of the entry was free
    duration queued_for{};         // zero: not known
    std::variant<submit_call, read_call, cancel_call, bad_call> call;
};

/// @brief The answer to a caller.
struct caller_answer
{
    jobs::outcome result = jobs::outcome::accepted;
    std::optional<jobs::job_phase> phase;
    std::optional<std::uint32_t> pending;
    std::int64_t return_after_ms = 0;
};

/// @brief Translates the requests of callers and the answers to them.
class caller_protocol
{
  public:
    virtual ~caller_protocol() = default;
    [[nodiscard]] virtual caller_request read(const http::request& received) const = 0;
    [[nodiscard]] virtual http::response write(const caller_answer& answer) const = 0;
    [[nodiscard]] virtual http::response write(const bad_call& refusal) const = 0;
};

// ---- operators and workers that call control ---------------------------------------------------

/// @brief Replaces the configuration.
struct configure_call
{
    jobs::configuration value;
};

/// @brief Reads the newest configuration.
struct read_configuration_call
{
};

/// @brief Starts or withdraws the evacuation of an availability zone.
struct evacuation_call
{
    jobs::set_evacuation value;
};

/// @brief A worker's announcement, which is also its heartbeat.
struct announce_call
{
    fleet::announcement worker;
};

/// @brief Acknowledges an announcement.
struct announce_answer
{
    std::string next_address; // where the worker should send its next announcements; empty: as before
};

/// @brief A worker announces its end.
struct goodbye_call
{
    std::string worker;
};

using control_call = std::
    variant<configure_call, read_configuration_call, evacuation_call, announce_call, goodbye_call, bad_call>;

/// @brief Translates the requests of operators and workers to control.
class control_protocol
{
  public:
    virtual ~control_protocol() = default;
    [[nodiscard]] virtual control_call read(const http::request& received) const = 0;
    [[nodiscard]] virtual http::response write(const announce_answer& answer) const = 0;
};

// ---- control that calls workers ----------------------------------------------------------------

/// @brief Translates orders to workers, and their answers.
class worker_protocol
{
  public:
    virtual ~worker_protocol() = default;
    [[nodiscard]] virtual http::request write(const dispatch::order& what) const = 0;
    [[nodiscard]] virtual dispatch::worker_answer read(const dispatch::order& what,
                                                       const http::response& got) const = 0;
};

} // namespace plumspoke::protocol
