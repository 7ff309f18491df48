#pragma once

/// @file
/// @brief Settings for a control group of one VM on loopback.

#include "free_address.hpp"
#include "plumspoke/settings/job_settings.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <string>
#include <vector>

namespace plumspoke::test
{

inline settings::job_settings single_control_vm(const std::filesystem::path& folder)
{
    const std::string internal = test::free_address();
    const std::string listen = test::free_address();
    const std::string port = internal.substr(internal.rfind(':') + 1);
    nlohmann::json document = nlohmann::json::parse(R"({"interface":"platform","role":"control","name":"c",
        "availability_zone":"z","ip":"127.0.0.1","found_group":true,"disks_lost_at_once":0})");
    document["listen"] = listen;
    document["internal_port"] = std::stoi(port);
    document["data_folder"] = folder.string();
    document["control_seeds"] = {internal};
    std::vector<settings::fault> faults;
    settings::job_settings read = settings::parse_job_settings(document, faults);
    REQUIRE(faults.empty());
    return read;
}

} // namespace plumspoke::test
