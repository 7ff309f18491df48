#pragma once

/// @file
/// @brief What control answered, as lines and tables for a reader.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace plumspoke::cli
{

/// @brief One line for each row, one column for each field of `columns`; `-` where a row has none.
void print_rows(const nlohmann::json& rows, const std::vector<std::string>& columns);

void print_plan(const nlohmann::json& plan);
void print_status(const nlohmann::json& status);
void print_job(const nlohmann::json& job);

} // namespace plumspoke::cli
