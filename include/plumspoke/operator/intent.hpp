#pragma once

/// @file
/// @brief Parses operators' documents (intents and jobs), specified in docs/OPERATORS.md.

#include "plumspoke/control/model.hpp"
#include "plumspoke/settings/checker.hpp"

namespace plumspoke::operators
{

/// @brief Parses an intent document; every fault is reported with its path.
[[nodiscard]] control::intent_document parse_intent(const nlohmann::json& document,
                                                    std::vector<settings::fault>& faults);

/// @brief Parses one job.
/// @param path its path in the document
[[nodiscard]] control::job_spec
parse_job(const nlohmann::json& value, const std::string& path, std::vector<settings::fault>& faults);

} // namespace plumspoke::operators
