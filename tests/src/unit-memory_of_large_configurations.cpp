/// @file
/// @brief A control VM needs the memory of one large configuration, not that of one for each HTTP thread.
///
/// Guards against a leader that is killed for its memory: each of its HTTP threads kept what it had once
/// needed to read a large configuration.

#include "plumspoke/job_server/control_server.hpp"

#include "../../platform/control_plane.hpp"
#include "../../platform/workers.hpp"
#include "plumspoke/http/client.hpp"
#include "plumspoke/metrics/memory.hpp"
#include "single_control_vm_fixture.hpp"

#include <set>
#include <thread>
#include <unistd.h>

using namespace plumspoke;

namespace
{

constexpr int routes = 1400;
constexpr std::size_t mebibyte = 1U << 20U;
constexpr auto call_timeout = milliseconds(5000);

std::string make_configuration(int version)
{
    nlohmann::json document = {
        {"version", version}, {"services", {{{"name", "s"}}}}, {"limits", nlohmann::json::object()}};
    for (int i = 0; i < routes; ++i)
    {
        document["routes"].push_back({{"name", "r-" + std::to_string(i)},
                                      {"host", "host.example"},
                                      {"path-prefix", "/p" + std::to_string(i) + "/"},
                                      {"type", "non_idempotent"},
                                      {"timeout-ms", 3000},
                                      {"target-latency-ms", 250},
                                      {"priority", 0},
                                      {"service", "s"},
                                      {"max-attempts", 2},
                                      {"extension", 1.5}});
    }
    return document.dump();
}

/// @brief Records on which threads large configurations are read. A read waits while `held` is set.
class recording_protocol final : public protocol::control_protocol
{
  public:
    [[nodiscard]] protocol::control_call read(const http::request& received) const override
    {
        const bool is_large = received.body.size() > mebibyte / 8;
        if (is_large)
        {
            const std::lock_guard lock(mutex_);
            threads_.insert(std::this_thread::get_id());
        }
        reading += is_large ? 1 : 0;
        max_reading = std::max<int>(max_reading, reading);
        while (is_large && held)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
        protocol::control_call out = operators_.read(received);
        reading -= is_large ? 1 : 0;
        return out;
    }
    [[nodiscard]] http::response write(const protocol::announce_answer& answer) const override
    {
        return operators_.write(answer);
    }
    [[nodiscard]] std::size_t threads() const
    {
        const std::lock_guard lock(mutex_);
        return threads_.size();
    }

    mutable std::atomic<int> reading{0};
    mutable std::atomic<int> max_reading{0};
    std::atomic<bool> held{false};

  private:
    platform::control_plane operators_;
    mutable std::mutex mutex_;
    mutable std::set<std::thread::id> threads_;
};

/// @brief A control VM that leads a group of one.
class control_vm
{
  public:
    explicit control_vm(std::int64_t memory_mb = 256)
    {
        REQUIRE(::mkdtemp(folder_.data()) != nullptr);
        settings_ = test::single_control_vm(folder_);
        settings_.vm = {0.5, memory_mb, 4096, 32};
        settings_.http_threads = 40;
        const auto seeds = []
        {
            return std::vector<std::string>();
        };
        server_ = std::make_unique<job_server::control_server>(settings_, seeds, operators, workers_);
        REQUIRE_FALSE(server_->start());
        for (int i = 0; i < 100 && put(make_configuration(1)).status != 200; ++i)
        {
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    control_vm(const control_vm&) = delete;
    control_vm& operator=(const control_vm&) = delete;
    ~control_vm()
    {
        server_->stop();
        std::filesystem::remove_all(folder_);
    }

    /// @brief Sends a configuration on a connection of its own.
    /// @return a response with status 0 if none came
    [[nodiscard]] http::response put(const std::string& body) const
    {
        http::request request;
        request.method = "PUT";
        request.path = "/config";
        request.body = body;
        http::response none;
        none.status = 0;
        return http::call(settings_.listen, request, call_timeout).value_or(none);
    }

    recording_protocol operators;

  private:
    std::string folder_ = (std::filesystem::temp_directory_path() / "plumspoke-large-XXXXXX").string();
    settings::job_settings settings_;
    platform::workers workers_;
    std::unique_ptr<job_server::control_server> server_;
};

} // namespace

TEST_CASE("large configurations are read one at a time on one thread")
{
    constexpr int clients = 8;
    constexpr int changes = 10;
    control_vm vm;
    std::atomic<int> version{1};
    std::atomic<int> acknowledged{0};
    std::vector<std::thread> all;
    all.reserve(clients);
    for (int i = 0; i < clients; ++i)
    {
        all.emplace_back(
            [&]
            {
                for (int change = 0; change < changes; ++change)
                {
                    acknowledged += vm.put(make_configuration(++version)).status == 200 ? 1 : 0;
                }
            });
    }
    for (std::thread& one : all)
    {
        one.join();
    }
    CHECK(acknowledged > 0);
    CHECK(vm.operators.max_reading == 1);
    CHECK(vm.operators.threads() == 1);
}

TEST_CASE("large configurations leave little memory behind at the threads that received them")
{
    constexpr int changes = 200;
    constexpr std::size_t max_growth = 48 * mebibyte; // of it, the log has 8 at most
    control_vm vm;
    const std::uint64_t before = metrics::read_anonymous_bytes();
    std::uint64_t peak = before;
    for (int version = 2; version < 2 + changes; ++version)
    {
        REQUIRE(vm.put(make_configuration(version)).status == 200);
        peak = std::max(peak, metrics::read_anonymous_bytes());
    }
    CHECK(peak - before < max_growth);
}

TEST_CASE("a large configuration is refused at once if others need the memory")
{
    control_vm vm(4); // a budget of 128 KB
    const std::string body = make_configuration(2);
    vm.operators.held = true;
    http::response first;
    std::thread waiting(
        [&]
        {
            first = vm.put(body);
        });
    while (vm.operators.reading == 0)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    const http::response second = vm.put(body);
    CHECK(second.status == 503);
    CHECK(http::find_header(second.headers, "Retry-After") == "1");
    vm.operators.held = false;
    waiting.join();
    CHECK(first.status == 200);
    CHECK(vm.put(make_configuration(3)).status == 200);
}
