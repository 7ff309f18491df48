#pragma once

/// @file
/// @brief Reads whole files, as they are or as JSON documents.

#include "plumspoke/settings/checker.hpp"

#include <optional>
#include <string>
#include <vector>

namespace plumspoke::settings
{

/// @brief A file's bytes.
/// @return nothing where the file can't be opened
[[nodiscard]] std::optional<std::string> read_text(const std::string& path);

/// @brief A file's JSON.
/// @param faults receives one fault where the file can't be opened or is not JSON
/// @return null where there is a fault
[[nodiscard]] nlohmann::json read_document(const std::string& path, std::vector<fault>& faults);

} // namespace plumspoke::settings
