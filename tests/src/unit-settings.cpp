#include "plumspoke/operator/error_list.hpp"
#include "plumspoke/settings/process_settings.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace
{

using namespace plumspoke::settings;
using nlohmann::json;

json valid_control()
{
    return json::parse(R"({"role": "control", "name": "c1", "availability_zone": "nangang",
        "http": "127.0.0.1:7101", "grpc": "127.0.0.1:7201", "data_folder": "data/c1",
        "control": [{"name": "c1", "grpc": "127.0.0.1:7201", "http": "127.0.0.1:7101"}]})");
}

std::vector<fault> find_faults(const json& document)
{
    std::vector<fault> faults;
    (void)parse_process_settings(document, faults);
    return faults;
}

/// @brief Returns the only fault of a document; requires that there is just one.
fault only_fault(const json& document)
{
    const std::vector<fault> faults = find_faults(document);
    REQUIRE(faults.size() == 1);
    return faults.front();
}

} // namespace

TEST_CASE("settings")
{
    json document = valid_control();

    SECTION("that are valid have no faults and get the defaults")
    {
        std::vector<fault> faults;
        const process_settings settings = parse_process_settings(document, faults);
        CHECK(faults.empty());
        for (const integer_key& key : integer_keys())
        {
            CHECK(settings.*key.member == key.default_value);
            CHECK(key.default_value >= key.allowed.lowest);
            CHECK(key.default_value <= key.allowed.highest);
        }
    }
    SECTION("with an unknown key report its path")
    {
        document["limits"]["http_treads"] = 8;
        CHECK(only_fault(document) == fault{"/limits/http_treads", "is not a known key"});
    }
    SECTION("with a value of the wrong type report its path")
    {
        document["limits"]["http_threads"] = "eight";
        CHECK(only_fault(document) == fault{"/limits/http_threads", "must be a whole number"});
    }
    SECTION("with a section that is not an object report its path")
    {
        document["limits"] = json::array();
        CHECK(only_fault(document).path == "/limits");
    }
    SECTION("out of range at either end report the path of the key")
    {
        for (const integer_key& key : integer_keys())
        {
            for (const std::int64_t value : {key.allowed.lowest - 1, key.allowed.highest + 1})
            {
                json changed = valid_control();
                changed[key.section][key.key] = value;
                CHECK(only_fault(changed).path == std::string("/") + key.section + "/" + key.key);
            }
        }
    }
    SECTION("with a number beyond the signed 64-bit range are out of range instead of wrapping around")
    {
        document["limits"]["http_threads"] = std::uint64_t(18446744073709551615U);
        CHECK(only_fault(document).path == "/limits/http_threads");
    }
    SECTION("with a missing key report it")
    {
        document.erase("grpc");
        CHECK(only_fault(document) == fault{"/grpc", "is missing"});
    }
    SECTION("with an invalid address report it")
    {
        document["http"] = "127.0.0.1:99999";
        CHECK(only_fault(document) == fault{"/http", "must be IP:PORT"});
    }
    SECTION("that contradict each other report the path")
    {
        document["timing"]["heartbeat_ms"] = 500;
        CHECK(only_fault(document).path == "/timing/heartbeat_ms");
        document = valid_control();
        document["control"][0]["http"] = "127.0.0.1:7102";
        CHECK(only_fault(document).path == "/http");
        document = valid_control();
        document["control"].push_back(document["control"][0]);
        CHECK(only_fault(document).path == "/control/1");
    }
    SECTION("of an entry must not have a data folder")
    {
        document["role"] = "entry";
        document.erase("grpc");
        CHECK(only_fault(document).path == "/data_folder");
    }
    SECTION("with several faults report each of them")
    {
        document["role"] = "both";
        document["verbose"] = 1;
        document.erase("name");
        CHECK(find_faults(document).size() >= 3);
    }
    SECTION("that are not JSON report the byte offset")
    {
        std::vector<fault> faults;
        (void)parse_text("{\"role\": ", faults);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].message.find("byte 10") != std::string::npos);
    }
}

TEST_CASE("the documentation contains the generated tables")
{
    const auto page = [](const std::string& name)
    {
        std::ifstream in(std::string(PLUMSPOKE_SOURCE_FOLDER) + "/docs/" + name);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    };
    CHECK(page("SETTINGS.md").find(describe_settings()) != std::string::npos);
    CHECK(page("ERRORS.md").find(plumspoke::operators::describe_errors()) != std::string::npos);
}
