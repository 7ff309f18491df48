/// @file
/// @brief Settings of a daemon of the platform's interface: read, checked, refused with a place.

#include "plumspoke/settings/job_settings.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke::settings;

namespace
{

nlohmann::json sound_control()
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

TEST_CASE("settings of the platform's interface are read")
{
    std::vector<fault> faults;
    const job_settings read = parse_job_settings(sound_control(), faults);
    CHECK(faults.empty());
    CHECK(read_interface(sound_control()) == interface_kind::platform);
    CHECK(read_interface(nlohmann::json::object()) == interface_kind::own);
    CHECK(read.role == process_role::control);
    CHECK(read.internal == "10.1.0.1:7720");
    CHECK(read.metrics == "10.1.0.1:7735");
    CHECK(read.control == std::vector<std::string>{"10.1.0.1:7720", "10.2.0.2:7720"});
    CHECK(read.found_group);
    CHECK(read.worker_lease_ms == 4000);
    CHECK(read.keep_alive_ms == 3000);

    nlohmann::json without = sound_control();
    without["policy_off"] = {"pace"};
    const policy_switches policy = parse_job_settings(without, faults).policy;
    CHECK_FALSE(policy.is_on(mechanism::pace));
    CHECK(policy.is_on(mechanism::copies));

    nlohmann::json entry = sound_control();
    entry["role"] = "entry";
    entry["readiness"] = "10.1.0.1:8167";
    CHECK(parse_job_settings(entry, faults).keep_alive_ms == 60'000);
    CHECK(faults.empty());
}

TEST_CASE("settings of the platform's interface are refused with their place")
{
    nlohmann::json wrong = sound_control();

    SECTION("a missing data folder")
    {
        wrong.erase("data_folder");
        CHECK(first_fault(wrong) == "/data_folder is missing; the role control needs one");
    }
    SECTION("a wrong address")
    {
        wrong["listen"] = "nowhere";
        CHECK(first_fault(wrong) == "/listen must be IP:PORT");
    }
    SECTION("a wrong seed")
    {
        wrong["control_seeds"] = {1};
        CHECK(first_fault(wrong) == "/control_seeds must hold texts such as 10.0.0.1:7000");
    }
    SECTION("heartbeats too slow for the election")
    {
        wrong["timing"] = {{"heartbeat_ms", 400}};
        CHECK(first_fault(wrong) ==
              "/timing heartbeat_ms must be a third of election_timeout_ms at the most");
    }
    SECTION("mechanisms that there are not")
    {
        wrong["policy_off"] = {"pace", "nonsense"};
        CHECK(first_fault(wrong) ==
              "/policy_off must hold names of mechanisms, as docs/POLICY.md lists them");
        wrong["policy_off"] = {1};
        CHECK(first_fault(wrong) ==
              "/policy_off must hold names of mechanisms, as docs/POLICY.md lists them");
        wrong["policy_off"] = "pace";
        CHECK(first_fault(wrong).starts_with("/policy_off"));
    }
    SECTION("an unknown key")
    {
        wrong["nonsense"] = 1;
        CHECK_FALSE(first_fault(wrong).empty());
    }
}
