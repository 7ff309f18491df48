/// @file
/// @brief The numbers of HTTP threads and worker connections follow from the resources of the VM.
///
/// Guards against a fixed thread count for all VMs, sized for the most demanding role: each process started
/// 256 connection threads up front, so 152 processes on one machine needed 46,000 threads. The machine allows
/// 32,768, and processes failed to start with "operation would block".

#include "plumspoke/settings/job_settings.hpp"
#include "plumspoke/settings/log_budget.hpp"

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

std::vector<fault> find_faults(const nlohmann::json& document)
{
    std::vector<fault> faults;
    (void)parse_job_settings(document, faults);
    return faults;
}

} // namespace

TEST_CASE("the number of threads follows from the role and the processors of the VM")
{
    CHECK(recommended_http_threads(process_role::entry, small_entry) == 24);
    CHECK(recommended_http_threads(process_role::entry, {0.25, 260, 4100}) == 50);
    CHECK(recommended_http_threads(process_role::control, control_vm) == 48);
    CHECK(recommended_http_threads(process_role::entry, {0.01, 160, 4100}) == 16);
    CHECK(recommended_http_threads(process_role::entry, {8, 16'000, 65'536}) == 256);
    // The limits of the VM are unknown.
    CHECK(recommended_http_threads(process_role::control, {}) == 64);
}

TEST_CASE("the number of threads is limited by the memory and the descriptors of the VM")
{
    CHECK(max_http_threads({2, 8, 4096}) == 8);
    CHECK(recommended_http_threads(process_role::entry, {2, 8, 4096}) == 8);
    CHECK(max_http_threads({2, 8000, 80}) == 10);
}

TEST_CASE("worker connections leave descriptors for peers")
{
    CHECK(max_worker_connections(control_vm) == 4015); // 1,800 workers need two each, 3,600
    CHECK(max_worker_connections({}) == 0);
}

TEST_CASE("the largest body of a control VM is limited by its memory and the number of threads")
{
    constexpr std::int64_t mebibyte = 1024 * 1024;
    CHECK(recommended_max_body_bytes({0.5, 256, 4096}, 40) == 32 * mebibyte / 40);
    CHECK(recommended_max_body_bytes({0.6, 640, 6424}, 48) == 80 * mebibyte / 48);
    CHECK(recommended_max_body_bytes({4, 16'000, 65'536}, 256) == 4 * mebibyte);
    CHECK(recommended_max_body_bytes({0.1, 32, 4096}, 256) == 64 * 1024);
    CHECK(recommended_max_body_bytes({}, 64) == 4 * mebibyte);

    nlohmann::json document = entry_document();
    std::vector<fault> faults;
    CHECK(parse_job_settings(document, faults).max_body_bytes == 4 * mebibyte);
    document["role"] = "control";
    document["data_folder"] = "/data";
    CHECK(parse_job_settings(document, faults).max_body_bytes == 20 * mebibyte / 16);
    document["limits"]["max_body_bytes"] = 3 * mebibyte;
    CHECK(parse_job_settings(document, faults).max_body_bytes == 3 * mebibyte);
    CHECK(faults.empty());
}

TEST_CASE("the size of a log is limited by the memory and the disk of the VM")
{
    constexpr std::size_t mebibyte = 1024 * 1024;
    CHECK(recommended_log_bytes({0.5, 256, 4096, 128}) == 16 * mebibyte);
    CHECK(recommended_log_bytes({0.4, 384, 4096, 192}) == 24 * mebibyte);
    CHECK(recommended_log_bytes({0.4, 384, 4096, 32}) == 4 * mebibyte);
    CHECK(recommended_log_bytes({0.4, 384, 4096, 0}) == 24 * mebibyte); // the disk is unknown
    CHECK(recommended_log_bytes({0.4, 0, 4096, 192}) == 24 * mebibyte);
    CHECK(recommended_log_bytes({0.4, 8, 4096, 4}) == mebibyte);
    CHECK(recommended_log_bytes({}) == 16 * mebibyte);
}

TEST_CASE("the settings give the limits of the VM or the number of threads")
{
    std::vector<fault> faults;
    CHECK(parse_job_settings(entry_document(), faults).http_threads == 24);
    CHECK(parse_job_settings(entry_document(), faults).vm == small_entry);
    nlohmann::json with_limits = entry_document();
    with_limits["limits"] = {{"http_threads", 40}};
    CHECK(parse_job_settings(with_limits, faults).http_threads == 40);
    CHECK(faults.empty());
}

TEST_CASE("invalid limits are rejected with their path")
{
    nlohmann::json invalid = entry_document();
    SECTION("more threads than the memory allows")
    {
        invalid["limits"] = {{"http_threads", 400}};
        CHECK(find_faults(invalid) ==
              std::vector<fault>{{"/limits/http_threads",
                                  "must be 160 at the most with the memory and the descriptors under vm"}});
    }
    SECTION("zero threads")
    {
        invalid["limits"] = {{"http_threads", 0}};
        REQUIRE(find_faults(invalid).size() == 1);
        CHECK(find_faults(invalid).front().path == "/limits/http_threads");
    }
    SECTION("a VM with too little memory for the minimum")
    {
        invalid["vm"]["memory_mb"] = 3;
        CHECK(find_faults(invalid) ==
              std::vector<fault>{{"/vm", "leaves room for 3 threads; at least 4 are needed"}});
    }
    SECTION("a negative number of processors")
    {
        invalid["vm"]["processors"] = -1;
        CHECK(find_faults(invalid).front().path == "/vm/processors");
    }
    SECTION("an unknown key")
    {
        invalid["vm"]["cores"] = 1;
        CHECK(find_faults(invalid).front().path == "/vm/cores");
    }
}
