#pragma once

/// @file
/// @brief Formats answers of the control VMs as text and tables.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace plumspoke::cli
{

/// @brief Prints one line per row with one column per field in `columns`; `-` stands for a missing field.
void print_rows(const nlohmann::json& rows, const std::vector<std::string>& columns);

void print_plan(const nlohmann::json& plan);
void print_status(const nlohmann::json& status);
void print_job(const nlohmann::json& job);

} // namespace plumspoke::cli
