/// @file
/// @brief Runs a control process, an entry and a worker in one test process, connected over loopback sockets.

#include "plumspoke/control/server.hpp"
#include "plumspoke/entry/server.hpp"
#include "plumspoke/http/client.hpp"
#include "plumspoke/operator/client.hpp"
#include "stand_in.hpp"

#include "free_address.hpp"
#include "group_settings.hpp"
#include <arpa/inet.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <netinet/in.h>
#include <set>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace
{

using namespace plumspoke;

int open_connection(const std::string& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0);
    return socket;
}

/// @brief Sends raw bytes and reads until the connection is closed.
std::string exchange_raw(const std::string& address, const std::string& bytes, bool half_close = false)
{
    const int socket = open_connection(address);
    (void)!::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (half_close)
    {
        ::shutdown(socket, SHUT_WR);
    }
    std::string answer;
    char chunk[4096];
    for (ssize_t count = ::recv(socket, chunk, sizeof chunk, 0); count > 0;
         count = ::recv(socket, chunk, sizeof chunk, 0))
    {
        answer.append(chunk, static_cast<std::size_t>(count));
    }
    ::close(socket);
    return answer;
}

bool wait_until(const std::function<bool()>& condition)
{
    for (int i = 0; i < 600; ++i)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

/// @brief A running system of one control process, one entry and one worker.
class fixture
{
  public:
    fixture()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "plumspoke-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        entry_http = test::free_address();
        const auto [control_settings, entry_settings, faults] = test::make_group_settings(
            folder_, entry_http, {{"request_read_ms", 400}, {"max_body_bytes", 1000}, {"drain_ms", 8000}});
        REQUIRE(faults.empty());
        {
            replica::storage disk(control_settings.data_folder);
            REQUIRE_FALSE(disk.initialize("c1.first", {{{"c1.first", "c1", control_settings.grpc, true}}}));
        }
        control = std::make_unique<control::server>(control_settings);
        REQUIRE_FALSE(control->start());
        entry = std::make_unique<entry::server>(entry_settings);
        REQUIRE_FALSE(entry->start());
        worker_options.name = "w1";
        worker_options.endpoint = test::free_address();
        worker_options.control = {control_settings.http};
        worker = std::make_unique<stand_in::worker>(worker_options);
        REQUIRE(worker->start());
        control_http = control_settings.http;
        configure({worker_options.endpoint});
    }

    ~fixture()
    {
        entry->stop();
        worker->stop();
        control->stop();
        std::filesystem::remove_all(folder_);
    }

    /// @brief Applies a configuration with two services on these endpoints and waits until it is active.
    void configure(const std::vector<std::string>& endpoints)
    {
        nlohmann::json list = nlohmann::json::array();
        for (std::size_t i = 0; i < endpoints.size(); ++i)
        {
            list.push_back({{"worker", "w" + std::to_string(i + 1)}, {"address", endpoints[i]}});
        }
        nlohmann::json intent = {
            {"teams", {{{"name", "judge"}, {"quota", {{"cores", 10}, {"memory_mb", 9000}}}}}}};
        for (const bool repeatable : {true, false})
        {
            intent["services"].push_back({{"name", repeatable ? "quick" : "sync"},
                                          {"team", "judge"},
                                          {"answer_within_ms", 1500},
                                          {"safe_to_repeat", repeatable},
                                          {"endpoints", list}});
        }
        operators::control_api_client caller({control_http}, milliseconds(10000));
        operators::control_answer current;
        REQUIRE(wait_until(
            [&]
            {
                return (current = caller.get("/v1/configuration")).accepted();
            }));
        const operators::control_answer plan = caller.post("/v1/plans",
                                                           {{"request", std::to_string(++requests_)},
                                                            {"operator", "ana"},
                                                            {"based_on", current.body["version"]},
                                                            {"intent", intent}});
        REQUIRE(plan.accepted());
        const std::string path = "/v1/plans/" + std::to_string(plan.body["id"].get<int>()) + "/confirm";
        REQUIRE(caller.post(path, {{"request", std::to_string(++requests_)}}).accepted());
        REQUIRE(wait_until(
            [&]
            {
                return send_request("/quick/x").status == 200;
            }));
    }

    [[nodiscard]] http::response send_request(const std::string& path,
                                              std::vector<http::header> headers = {},
                                              const std::string& body = "") const
    {
        http::request sent;
        sent.method = body.empty() ? "GET" : "POST";
        sent.path = path.substr(0, path.find('?'));
        sent.query = path.find('?') == std::string::npos ? "" : path.substr(path.find('?') + 1);
        sent.headers = std::move(headers);
        sent.body = body;
        const std::optional<http::response> answer = http::call(entry_http, sent, milliseconds(10000));
        return answer.value_or(http::response{0, "", {}, "", false});
    }

    [[nodiscard]] static std::string outcome_of(const http::response& answer)
    {
        return std::string(http::find_header(answer.headers, "Plumspoke-Outcome"));
    }

    std::string entry_http;
    std::string control_http;
    stand_in::worker_options worker_options;
    std::unique_ptr<control::server> control;
    std::unique_ptr<entry::server> entry;
    std::unique_ptr<stand_in::worker> worker;

  private:
    std::filesystem::path folder_;
    int requests_ = 0;
};

} // namespace

TEST_CASE("a request through the whole system")
{
    fixture f;

    SECTION("gets its answer, with path and query forwarded")
    {
        const http::response answer = f.send_request("/quick/a/b?ms=1", {{"X-Mark", "mine"}});
        CHECK(answer.status == 200);
        CHECK(fixture::outcome_of(answer) == "done");
        const nlohmann::json body = nlohmann::json::parse(answer.body);
        CHECK(body["path"] == "/a/b");
        CHECK(body["mark"] == "mine");
    }
    SECTION("for an unknown service is rejected at once as not run")
    {
        const http::response answer = f.send_request("/nothing/x");
        CHECK(answer.status == 404);
        CHECK(fixture::outcome_of(answer) == "not-run");
        CHECK(http::find_header(answer.headers, "Plumspoke-Reason") == "unknown_service");
    }
    SECTION("is answered at its deadline with a Retry-After header")
    {
        const http::response answer =
            f.send_request("/sync/x?ms=2500", {{"Plumspoke-Deadline-Ms", "100"}}, "sell");
        CHECK(answer.status == 504);
        CHECK(fixture::outcome_of(answer) == "unknown");
        CHECK_FALSE(http::find_header(answer.headers, "Retry-After").empty());
    }
    SECTION("with a known idempotency key gets the recorded outcome, and is rejected if it differs")
    {
        const http::response first = f.send_request("/sync/x", {{"Idempotency-Key", "rug-17"}}, "sell");
        CHECK(first.status == 200);
        const http::response again = f.send_request("/sync/x", {{"Idempotency-Key", "rug-17"}}, "sell");
        CHECK(again.body == first.body);
        CHECK(http::find_header(again.headers, "Plumspoke-Repeated") == "true");
        const http::response other = f.send_request("/sync/x", {{"Idempotency-Key", "rug-17"}}, "sell two");
        CHECK(other.status == 409);
        CHECK(fixture::outcome_of(other) == "not-run");
    }
    SECTION("that is malformed affects only its own connection")
    {
        CHECK(exchange_raw(f.entry_http, "complete nonsense\r\n\r\n").find("400") != std::string::npos);
        CHECK(exchange_raw(f.entry_http, "POST /quick/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n")
                  .find(" 413 ") != std::string::npos);
        // The body is shorter than announced; the client shuts its side down or keeps the connection open.
        CHECK(exchange_raw(
                  f.entry_http, "POST /quick/x HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nshort", true)
                  .find(" 400 ") != std::string::npos);
        CHECK(
            exchange_raw(f.entry_http, "POST /quick/x HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nshort")
                .find(" 400 ") != std::string::npos);
        (void)exchange_raw(f.entry_http, "GET /quick/x HTT", true);
        const std::string large_head =
            "GET /quick/x HTTP/1.1\r\nHost: x\r\nX-Large: " + std::string(40000, 'x') + "\r\n\r\n";
        CHECK(exchange_raw(f.entry_http, large_head).find(" 200 ") == std::string::npos);
        const int abandoned = open_connection(f.entry_http);
        (void)!::send(abandoned, "GET /quick/x?ms=50 HTTP/1.1\r\nHost: x\r\n\r\n", 39, MSG_NOSIGNAL);
        ::close(abandoned);
        CHECK(f.send_request("/quick/x").status == 200);
    }
    SECTION("is sent to another endpoint when one fails, and is rejected when all have failed")
    {
        const std::string unused_address = test::free_address();
        f.configure({f.worker_options.endpoint, unused_address, test::free_address()});
        for (int i = 0; i < 30; ++i)
        {
            CHECK(f.send_request("/quick/x").status == 200);
        }
        for (int i = 0; i < 10; ++i)
        {
            const http::response answer =
                f.send_request("/sync/x", {}, "sell"); // a refused connection is safe to retry elsewhere
            CHECK(fixture::outcome_of(answer) == "done");
        }
        f.worker->stop();
        http::response answer;
        CHECK(wait_until(
            [&]
            {
                answer = f.send_request("/sync/x", {}, "sell");
                return answer.status == 503;
            }));
        CHECK(fixture::outcome_of(answer) == "not-run");
    }
    SECTION("never gets the answer to another request")
    {
        // This endpoint labels each answer with the id of the previous request.
        http::server_options options;
        options.address = test::free_address();
        std::string before = "e1-other-1";
        http::server stale_responder(options,
                                     [&before](const http::request& received)
                                     {
                                         http::response answer;
                                         answer.headers.push_back({"Plumspoke-Request", before});
                                         before = http::find_header(received.headers, "Plumspoke-Request");
                                         answer.body = "not yours";
                                         return answer;
                                     });
        REQUIRE(stale_responder.start());
        f.configure({f.worker_options.endpoint, options.address});
        for (int i = 0; i < 30; ++i)
        {
            CHECK(f.send_request("/quick/x").body.find("not yours") == std::string::npos);
        }
    }
    SECTION("is not sent to an endpoint after that has announced that it is leaving")
    {
        std::atomic<int> request_count{0};
        http::server_options options;
        options.address = test::free_address();
        http::server leaving_endpoint(options,
                                      [&request_count](const http::request& /*received*/)
                                      {
                                          ++request_count;
                                          http::response answer;
                                          answer.headers.push_back({"Plumspoke-Leaving", "true"});
                                          return answer;
                                      });
        REQUIRE(leaving_endpoint.start());
        f.configure({f.worker_options.endpoint, options.address});
        REQUIRE(wait_until(
            [&]
            {
                (void)f.send_request("/quick/x");
                return request_count > 0;
            }));
        const int before = request_count;
        for (int i = 0; i < 40; ++i)
        {
            CHECK(f.send_request("/quick/x").status == 200);
        }
        CHECK(request_count == before);
    }
    SECTION("in flight during a planned stop gets its complete answer")
    {
        std::vector<std::thread> callers;
        callers.reserve(6);
        std::atomic<int> complete_answers{0};
        for (int i = 0; i < 6; ++i)
        {
            callers.emplace_back(
                [&]
                {
                    complete_answers += f.send_request("/quick/x?ms=600").status == 200 ? 1 : 0;
                });
        }
        std::this_thread::sleep_for(milliseconds(200));
        f.entry->stop();
        for (std::thread& thread : callers)
        {
            thread.join();
        }
        CHECK(complete_answers == 6);
    }
    SECTION("is rejected once control has been unavailable for longer than the lease")
    {
        f.control->stop();
        CHECK(wait_until(
            [&]
            {
                return f.send_request("/quick/x").status == 503;
            }));
        const http::response answer = f.send_request("/quick/x");
        CHECK(http::find_header(answer.headers, "Plumspoke-Reason") == "not_serving");
        CHECK(fixture::outcome_of(answer) == "not-run");
        CHECK(f.send_request("/_plumspoke/ready").status == 503);
    }
}

TEST_CASE("docs/COUNTERS.md lists exactly the exported counters")
{
    fixture f;
    std::set<std::string> exported;
    for (const std::string& address : {f.entry_http, f.control_http})
    {
        http::request sent;
        sent.method = "GET";
        sent.path = address == f.entry_http ? "/_plumspoke/metrics" : "/metrics";
        const std::optional<http::response> page = http::call(address, sent, milliseconds(5000));
        REQUIRE(page.has_value());
        std::istringstream lines(page->body);
        for (std::string line; std::getline(lines, line);)
        {
            if (line.starts_with("# TYPE "))
            {
                exported.insert(line.substr(7, line.find(' ', 7) - 7));
            }
        }
    }
    std::set<std::string> documented;
    std::ifstream in(std::string(PLUMSPOKE_SOURCE_FOLDER) + "/docs/COUNTERS.md");
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with("| `plumspoke_"))
        {
            documented.insert(line.substr(3, line.find('`', 3) - 3));
        }
    }
    CHECK(exported == documented);
}

TEST_CASE("the control interface")
{
    fixture f;
    operators::control_api_client caller({f.control_http}, milliseconds(5000));

    SECTION("reports each fault of a document with its path and changes nothing")
    {
        const operators::control_answer answer =
            caller.post("/v1/plans",
                        {{"request", "r"},
                         {"operator", "ana"},
                         {"based_on", 1},
                         {"intent", {{"servces", 1}, {"teams", {{{"name", "a b"}}}}}}});
        CHECK(answer.status == 400);
        CHECK(answer.body["detail"].size() == 2);
        CHECK(caller.post("/v1/jobs", {{"id", "j"}}).body["detail"].dump().find("/team") !=
              std::string::npos);
        CHECK(caller.post("/v1/workers/report", {{"worker", "w9"}}).status == 400);
        CHECK(caller.get("/v1/nothing").status == 404);
    }
    SECTION("runs a job and explains its decisions")
    {
        const nlohmann::json job = {{"id", "marking-1"},
                                    {"team", "judge"},
                                    {"needs", {{"cores", 1}, {"memory_mb", 100}}},
                                    {"payload", "run_ms=100"}};
        REQUIRE(caller.post("/v1/jobs", job).accepted());
        CHECK(wait_until(
            [&]
            {
                return caller.get("/v1/jobs/marking-1").body["phase"] == "done";
            }));
        CHECK(caller.get("/v1/jobs/marking-1").body["result"] == "result of marking-1 under token 1");
        CHECK(caller.get("/v1/explain/marking-1").accepted());
        CHECK(caller.post("/v1/jobs", job).accepted()); // a repeated submission is accepted
        nlohmann::json oversized = job;
        oversized["id"] = "giant";
        oversized["needs"]["cores"] = 11;
        const operators::control_answer refused = caller.post("/v1/jobs", oversized);
        CHECK(refused.status == 422);
        CHECK(refused.body["message"].get<std::string>().find("quota of team judge") != std::string::npos);
    }
}
