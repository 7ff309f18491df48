#pragma once

/// @file
/// @brief Settings of a minimal deployment: one control VM and one entry on loopback.

#include "free_address.hpp"
#include "plumspoke/settings/process_settings.hpp"

#include <filesystem>
#include <string>
#include <vector>

namespace plumspoke::test
{

/// @brief Settings of both processes; `faults` is empty if they are valid.
struct group_settings
{
    settings::process_settings control;
    settings::process_settings entry;
    std::vector<settings::fault> faults;
};

/// @brief Creates the settings of a control VM and an entry.
/// @param folder parent directory of the control VM's data folder
/// @param entry_http HTTP address of the entry, IP:PORT
/// @param entry_limits the `limits` object in the settings of the entry
inline group_settings make_group_settings(const std::filesystem::path& folder,
                                          const std::string& entry_http,
                                          const nlohmann::json& entry_limits)
{
    const nlohmann::json peer = {{"name", "c1"}, {"grpc", free_address()}, {"http", free_address()}};
    const nlohmann::json common = {{"control", {peer}}, {"availability_zone", "nangang"}};
    nlohmann::json control_document = common;
    control_document.update({{"role", "control"},
                             {"name", "c1"},
                             {"http", peer["http"]},
                             {"grpc", peer["grpc"]},
                             {"data_folder", (folder / "c1").string()}});
    nlohmann::json entry_document = common;
    entry_document.update({{"role", "entry"}, {"name", "e1"}, {"http", entry_http}});
    entry_document["limits"] = entry_limits;
    group_settings result;
    result.control = settings::parse_process_settings(control_document, result.faults);
    result.entry = settings::parse_process_settings(entry_document, result.faults);
    return result;
}

} // namespace plumspoke::test
