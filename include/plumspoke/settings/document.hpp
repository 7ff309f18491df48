#pragma once

/// @file
/// @brief Reads files as text or as JSON documents.

#include "plumspoke/settings/checker.hpp"

#include <optional>
#include <string>
#include <vector>

namespace plumspoke::settings
{

/// @brief Reads a file.
/// @return its content, or std::nullopt if the file can't be opened
[[nodiscard]] std::optional<std::string> read_text(const std::string& path);

/// @brief Reads a JSON file.
/// @param faults receives one fault if the file can't be opened or isn't valid JSON
/// @return the document; null if there is a fault
[[nodiscard]] nlohmann::json read_document(const std::string& path, std::vector<fault>& faults);

} // namespace plumspoke::settings
