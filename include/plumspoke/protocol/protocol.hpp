#pragma once

/// @file
/// @brief What the shells need of whoever translates between plumspoke and the protocols of its
///        surroundings. An implementation only translates: it decides nothing and keeps no state.

#include "plumspoke/dispatch/orders.hpp"
#include "plumspoke/fleet/announcement.hpp"
#include "plumspoke/http/message.hpp"
#include "plumspoke/jobs/store.hpp"

#include <variant>

namespace plumspoke::protocol
{

// ---- callers -----------------------------------------------------------------------------------

/// @brief Hands a job in.
struct submit_call
{
    jobs::job_spec spec;
};

/// @brief Asks for a job's state, or a queue's count: the path tells which.
struct read_call
{
};

/// @brief Cancels the job that the path names.
struct cancel_call
{
};

/// @brief What can't be read; the answer says why.
struct bad_call
{
    int status = 400;
    std::string message;
};

/// @brief A caller's request. Which queue and job it means is for whoever holds the configuration.
struct caller_request
{
    std::string host;
    std::string path;
    std::int64_t time_left_ms = 0; // until the caller gives up; 0: not told
    std::variant<submit_call, read_call, cancel_call, bad_call> call;
};

/// @brief What a caller is told.
struct caller_answer
{
    jobs::outcome result = jobs::outcome::accepted;
    std::optional<jobs::job_phase> phase;
    std::optional<std::uint32_t> pending;
    std::int64_t return_after_ms = 0;
};

/// @brief Translates for callers.
class caller_protocol
{
  public:
    virtual ~caller_protocol() = default;
    [[nodiscard]] virtual caller_request read(const http::request& received) const = 0;
    [[nodiscard]] virtual http::response write(const caller_answer& answer) const = 0;
    [[nodiscard]] virtual http::response write(const bad_call& refusal) const = 0;
};

// ---- operators and workers that call control ---------------------------------------------------

/// @brief Sets a whole configuration.
struct configure_call
{
    jobs::configuration value;
};

/// @brief Asks for the newest configuration.
struct read_configuration_call
{
};

/// @brief A worker says what it is and that it lives.
struct announce_call
{
    fleet::announcement worker;
};

/// @brief A worker's life ends.
struct goodbye_call
{
    std::string worker;
};

using control_call =
    std::variant<configure_call, read_configuration_call, announce_call, goodbye_call, bad_call>;

/// @brief Translates for operators and workers that call control.
class control_protocol
{
  public:
    virtual ~control_protocol() = default;
    [[nodiscard]] virtual control_call read(const http::request& received) const = 0;
};

// ---- control that calls workers ----------------------------------------------------------------

/// @brief Translates orders to workers and their answers.
class worker_protocol
{
  public:
    virtual ~worker_protocol() = default;
    [[nodiscard]] virtual http::request write(const dispatch::order& what) const = 0;
    [[nodiscard]] virtual dispatch::worker_answer read(const dispatch::order& what,
                                                       const http::response& got) const = 0;
};

} // namespace plumspoke::protocol
