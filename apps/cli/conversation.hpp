#pragma once

/// @file
/// @brief Shared parts of the CLI commands: flags, calls to the control VMs and exit codes.

#include "plumspoke/operator/client.hpp"

#include <absl/flags/declare.h>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

ABSL_DECLARE_FLAG(std::string, control);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(std::int64_t, based_on);
ABSL_DECLARE_FLAG(std::int64_t, limit_ms);
ABSL_DECLARE_FLAG(bool, wait);

namespace plumspoke::cli
{

constexpr int exit_done = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_not_reached = 3;

/// @brief Creates a client for the control VMs given by --control, with the timeout given by --limit_ms.
[[nodiscard]] operators::control_api_client make_client();

/// @brief Returns the idempotency key given by --request, or a new random one.
[[nodiscard]] std::string request_identity();

/// @brief Returns the value of --operator, or the login name if it is empty.
[[nodiscard]] std::string operator_name();

/// @brief Prints an answer with `show`, or as JSON if --json is set. Errors go to standard error.
/// @return the exit code for the answer
[[nodiscard]] int print_answer(const operators::control_answer& answer,
                               const std::function<void(const nlohmann::json&)>& show);

/// @brief Reads and parses a JSON file.
/// @return the document, or `std::nullopt` after printing an error if it can't be read or parsed
[[nodiscard]] std::optional<nlohmann::json> read_document(const std::string& path);

} // namespace plumspoke::cli
