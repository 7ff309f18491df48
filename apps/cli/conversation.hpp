#pragma once

/// @file
/// @brief How the command line talks: its flags, its calls to control, its exit codes.

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

/// @brief A caller of the control VMs that the flags name.
[[nodiscard]] operators::control_api_client make_caller();

/// @brief The identity that --request gives, or a new one.
[[nodiscard]] std::string request_identity();

/// @brief Who asks: --operator, or the login name.
[[nodiscard]] std::string operator_name();

/// @brief Prints an answer with `show`, or as JSON; what was refused goes to the error stream.
/// @return the exit code
[[nodiscard]] int conclude(const operators::control_answer& answer,
                           const std::function<void(const nlohmann::json&)>& show);

/// @brief A file's JSON; nothing, and a line on the error stream, where it can't be read.
[[nodiscard]] std::optional<nlohmann::json> read_document(const std::string& path);

} // namespace plumspoke::cli
