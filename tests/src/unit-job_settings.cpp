/// @file
/// @brief Settings of a daemon with the platform interface: parsing, validation and the location of faults.

#include "plumspoke/settings/job_settings.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke::settings;

namespace
{

nlohmann::json valid_control()
{
    return nlohmann::json::parse(
        R"({"interface":"platform","role":"control","name":"c","availability_zone":"z",
        "listen":"10.1.0.1:8166","ip":"10.1.0.1","internal_port":7720,"metrics_port":7735,"data_folder":"/data",
        "control_seeds":["10.2.0.2:8166","10.1.0.1:8166"],"found_group":true,"disks_lost_at_once":2})");
}

std::string first_fault(const nlohmann::json& document)
{
    std::vector<fault> faults;
    (void)parse_job_settings(document, faults);
    return faults.empty() ? "" : faults.front().path + " " + faults.front().message;
}

} // namespace

TEST_CASE("settings of the platform interface are parsed")
{
    std::vector<fault> faults;
    const job_settings read = parse_job_settings(valid_control(), faults);
    CHECK(faults.empty());
    CHECK(read_interface(valid_control()) == interface_kind::platform);
    CHECK(read_interface(nlohmann::json::object()) == interface_kind::own);
    CHECK(read.role == process_role::control);
    CHECK(read.internal == "10.1.0.1:7720");
    CHECK(read.metrics == "10.1.0.1:7735");
    CHECK(read.control == std::vector<std::string>{"10.1.0.1:7720", "10.2.0.2:7720"});
    CHECK(read.availability_zones.empty());
    CHECK(read.found_group);
    CHECK(read.worker_lease_ms == 4000);
    CHECK(read.keep_alive_ms == 3000);

    nlohmann::json without_pace = valid_control();
    without_pace["policy_off"] = {"pace"};
    const policy_switches policy = parse_job_settings(without_pace, faults).policy;
    CHECK_FALSE(policy.is_on(mechanism::pace));
    CHECK(policy.is_on(mechanism::copies));

    nlohmann::json with_zones = valid_control();
    with_zones["availability_zones"] = {"y", "z"};
    CHECK(parse_job_settings(with_zones, faults).availability_zones == std::set<std::string>{"y", "z"});

    nlohmann::json entry = valid_control();
    entry["role"] = "entry";
    entry["readiness"] = "10.1.0.1:8167";
    CHECK(parse_job_settings(entry, faults).keep_alive_ms == 60'000);
    CHECK(faults.empty());
}

TEST_CASE("invalid settings of the platform interface are rejected with their location")
{
    nlohmann::json invalid = valid_control();

    SECTION("a missing data folder")
    {
        invalid.erase("data_folder");
        CHECK(first_fault(invalid) == "/data_folder is missing; the role control needs one");
    }
    SECTION("an invalid address")
    {
        invalid["listen"] = "nowhere";
        CHECK(first_fault(invalid) == "/listen must be IP:PORT");
    }
    SECTION("an invalid seed")
    {
        invalid["control_seeds"] = {1};
        CHECK(first_fault(invalid) == "/control_seeds must hold texts such as 10.0.0.1:7000");
    }
    SECTION("heartbeats too slow for the election")
    {
        invalid["timing"] = {{"heartbeat_ms", 400}};
        CHECK(first_fault(invalid) ==
              "/timing heartbeat_ms must be a third of election_timeout_ms at the most");
    }
    SECTION("unknown mechanisms")
    {
        invalid["policy_off"] = {"pace", "nonsense"};
        CHECK(first_fault(invalid) ==
              "/policy_off must hold names of mechanisms, as docs/POLICY.md lists them");
        invalid["policy_off"] = {1};
        CHECK(first_fault(invalid) ==
              "/policy_off must hold names of mechanisms, as docs/POLICY.md lists them");
        invalid["policy_off"] = "pace";
        CHECK(first_fault(invalid).starts_with("/policy_off"));
    }
    SECTION("an unknown key")
    {
        invalid["nonsense"] = 1;
        CHECK_FALSE(first_fault(invalid).empty());
    }
}
