/// @file
/// @brief An entry whose threads are all blocked because there is no leader.
///
/// Guards against clients of an entry that time out without a response while there is no leader for seconds.
/// Each call waits for a leader on its connection's thread; with as many calls as threads, further requests
/// are not even read. A call used to wait for its client's whole deadline, however many others were queued.

#include "plumspoke/http/client.hpp"
#include "plumspoke/job_server/entry_server.hpp"

#include "../../platform/callers.hpp"
#include "silent_relay.hpp"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>
#include <unistd.h>

using namespace plumspoke;

namespace
{

constexpr std::int64_t threads = 8;
constexpr std::int64_t few_threads = 4;
constexpr int callers_at_once = 24;
constexpr auto caller_timeout = milliseconds(3000);

settings::job_settings entry_with_threads(std::int64_t thread_count)
{
    nlohmann::json document = nlohmann::json::parse(R"({"interface":"platform","role":"entry","name":"e",
        "availability_zone":"z","ip":"127.0.0.1","internal_port":7720})");
    document["listen"] = test::free_address();
    document["readiness"] = test::free_address();
    document["limits"] = {{"http_threads", thread_count}};
    std::vector<settings::fault> faults;
    settings::job_settings read = settings::parse_job_settings(document, faults);
    REQUIRE(faults.empty());
    return read;
}

http::request make_request(int number)
{
    http::request out;
    out.method = "GET";
    out.path = "/queue/" + std::to_string(number);
    out.headers.push_back({"Host", "x.example"});
    out.headers.push_back({"Deadline-Ms", std::to_string(caller_timeout.count())});
    return out;
}

bool has_retry_after(const http::response& of)
{
    return std::any_of(of.headers.begin(),
                       of.headers.end(),
                       [](const http::header& one)
                       {
                           return one.name == "Retry-After";
                       });
}

} // namespace

TEST_CASE("an entry without a leader refuses callers soon, three times as many as it has threads")
{
    const settings::job_settings settings = entry_with_threads(threads);
    const platform::callers callers;
    const std::string nobody = test::free_address();
    const auto seeds = [nobody]
    {
        return std::vector<std::string>{nobody};
    };
    job_server::entry_server entry(settings, seeds, callers);
    REQUIRE_FALSE(entry.start());
    std::atomic<int> refused{0};
    std::atomic<int> without_retry_after{0};
    std::vector<std::thread> all;
    all.reserve(callers_at_once);
    const time_point begun = boot_clock::now();
    for (int i = 0; i < callers_at_once; ++i)
    {
        all.emplace_back(
            [&, i]
            {
                const auto got = http::call(settings.listen, make_request(i), caller_timeout);
                refused += got.has_value() && got->status == 503 ? 1 : 0;
                without_retry_after += got.has_value() && !has_retry_after(*got) ? 1 : 0;
            });
    }
    std::this_thread::sleep_for(milliseconds(100));
    const time_point asked = boot_clock::now();
    const auto readiness = http::call(settings.readiness, make_request(0), milliseconds(1000));
    const auto readiness_took = boot_clock::now() - asked;
    for (std::thread& one : all)
    {
        one.join();
    }
    const auto took = boot_clock::now() - begun;
    CHECK(refused == callers_at_once);
    CHECK(without_retry_after == 0);
    CHECK(took < milliseconds(2300)); // the first calls wait for an election, half of their deadline; the
                                      // rest are refused meanwhile
    REQUIRE(readiness.has_value());
    CHECK(readiness->status == 503);
    CHECK(readiness_took < milliseconds(500));
    // There has been no leader for longer than an election takes.
    std::this_thread::sleep_for(milliseconds(1200));
    const time_point later = boot_clock::now();
    CHECK(http::call(settings.listen, make_request(99), caller_timeout).has_value());
    CHECK(boot_clock::now() - later < milliseconds(600));
    entry.stop();
}

TEST_CASE("a call that was queued doesn't wait for a leader as long as one that was not")
{
    const settings::job_settings settings = entry_with_threads(few_threads);
    const platform::callers callers;
    job_server::entry_server entry(
        settings,
        [nobody = test::free_address()]
        {
            return std::vector<std::string>{nobody};
        },
        callers);
    REQUIRE_FALSE(entry.start());
    const std::string without_body = "POST /queue/0 HTTP/1.1\r\nHost: x.example\r\nContent-Length: 1\r\n\r\n";
    std::array<int, few_threads> incomplete{};
    for (int& one : incomplete)
    {
        one = test::connect_to(settings.listen);
        REQUIRE(::send(one, without_body.data(), without_body.size(), MSG_NOSIGNAL) > 0);
    }
    std::this_thread::sleep_for(milliseconds(100)); // all threads wait for a body now
    const time_point sent_at = boot_clock::now();
    std::optional<http::response> answer;
    std::thread caller(
        [&]
        {
            answer = http::call(settings.listen, make_request(0), caller_timeout);
        });
    std::this_thread::sleep_for(milliseconds(1000));
    for (const int one : incomplete)
    {
        ::close(one);
    }
    caller.join();
    // Half of the caller's timeout is left for a retry at another entry.
    CHECK(boot_clock::now() - sent_at < caller_timeout / 2);
    REQUIRE(answer.has_value());
    CHECK(answer->status == 503);
    CHECK(has_retry_after(*answer));
    entry.stop();
}
