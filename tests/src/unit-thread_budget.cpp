/// @file
/// @brief Threads for connections, and connections to workers, by what a VM has.
///
/// Symptom: 152 daemons on one machine didn't start: "operation would block" for a process.
/// Sequence: each daemon started 256 threads for connections before the first one came.
/// Cause: one number for all VMs, taken from the largest need of any role; 152 daemons came to 46,000
/// threads, and the machine numbers 32,768.

#include "plumspoke/settings/job_settings.hpp"

#include <catch2/catch.hpp>

using namespace plumspoke::settings;

namespace
{

constexpr vm_limits small_entry{0.12, 160, 4100};
constexpr vm_limits control_vm{0.6, 640, 6424};

nlohmann::json entry_document()
{
    return nlohmann::json::parse(R"({"interface":"platform","role":"entry","name":"e","availability_zone":"z",
        "listen":"10.1.0.1:8161","readiness":"10.1.0.1:8167","ip":"10.1.0.1","internal_port":7720,
        "vm":{"processors":0.12,"memory_mb":160,"open_files":4100}})");
}

std::vector<fault> faults_of(const nlohmann::json& document)
{
    std::vector<fault> faults;
    (void)parse_job_settings(document, faults);
    return faults;
}

} // namespace

TEST_CASE("threads follow the processor of the VM and the role")
{
    CHECK(recommended_http_threads(process_role::entry, small_entry) == 24);
    CHECK(recommended_http_threads(process_role::entry, {0.25, 260, 4100}) == 50);
    CHECK(recommended_http_threads(process_role::control, control_vm) == 48);
    CHECK(recommended_http_threads(process_role::entry, {0.01, 160, 4100}) == 16);
    CHECK(recommended_http_threads(process_role::entry, {8, 16'000, 65'536}) == 256);
    // Where nothing is told of the VM.
    CHECK(recommended_http_threads(process_role::control, {}) == 64);
}

TEST_CASE("threads stay within the VM's memory and descriptors")
{
    CHECK(max_http_threads({2, 8, 4096}) == 8);
    CHECK(recommended_http_threads(process_role::entry, {2, 8, 4096}) == 8);
    CHECK(max_http_threads({2, 8000, 80}) == 10);
}

TEST_CASE("peers keep descriptors that workers' connections can't take")
{
    CHECK(max_worker_connections(control_vm) == 4015); // two for each of 1,800 workers are 3,600
    CHECK(max_worker_connections({}) == 0);
}

TEST_CASE("the settings name the VM, or the number itself")
{
    std::vector<fault> faults;
    CHECK(parse_job_settings(entry_document(), faults).http_threads == 24);
    CHECK(parse_job_settings(entry_document(), faults).vm == small_entry);
    nlohmann::json named = entry_document();
    named["limits"] = {{"http_threads", 40}};
    CHECK(parse_job_settings(named, faults).http_threads == 40);
    CHECK(faults.empty());
}

TEST_CASE("limits that can't be are refused with their place")
{
    nlohmann::json wrong = entry_document();
    SECTION("more threads than the memory allows")
    {
        wrong["limits"] = {{"http_threads", 400}};
        CHECK(faults_of(wrong) ==
              std::vector<fault>{{"/limits/http_threads",
                                  "must be 160 at the most with the memory and the descriptors under vm"}});
    }
    SECTION("no threads")
    {
        wrong["limits"] = {{"http_threads", 0}};
        REQUIRE(faults_of(wrong).size() == 1);
        CHECK(faults_of(wrong).front().path == "/limits/http_threads");
    }
    SECTION("a VM without room for any")
    {
        wrong["vm"]["memory_mb"] = 3;
        CHECK(faults_of(wrong) ==
              std::vector<fault>{{"/vm", "leaves room for 3 threads; at least 4 are needed"}});
    }
    SECTION("a VM with less than nothing")
    {
        wrong["vm"]["processors"] = -1;
        CHECK(faults_of(wrong).front().path == "/vm/processors");
    }
    SECTION("a key that is not known")
    {
        wrong["vm"]["cores"] = 1;
        CHECK(faults_of(wrong).front().path == "/vm/cores");
    }
}
