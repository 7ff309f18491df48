/// @file
/// @brief The platform adapter translates requests and responses in both directions and rejects invalid ones.

#include "callers.hpp"
#include "control_plane.hpp"
#include "workers.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>

using namespace plumspoke;

namespace
{

http::request make_request(const std::string& method, const std::string& path, const std::string& body = {})
{
    http::request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers.push_back({"Host", "h.example:8080"});
    request.headers.push_back({"Deadline-Ms", "2500"});
    return request;
}

std::string rejection_of(const std::string& body)
{
    const protocol::caller_request read =
        platform::callers().read(make_request("POST", "/q/5c0e7a21d94b36f8", body));
    const auto* error = std::get_if<protocol::bad_call>(&read.call);
    return error == nullptr ? "" : std::to_string(error->status) + " " + error->message;
}

int config_status(const std::string& body)
{
    const protocol::control_call read = platform::control_plane().read(make_request("PUT", "/config", body));
    const auto* error = std::get_if<protocol::bad_call>(&read);
    return error == nullptr ? 200 : error->status;
}

nlohmann::json valid_config()
{
    return nlohmann::json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"h","path-prefix":"/a/","type":"non_idempotent","timeout-ms":3000,
         "target-latency-ms":250,"priority":0,"service":"s","max-attempts":2,"extension":1.5},
        {"name":"r2","host":"h","path-prefix":"/b/","timeout-ms":3000,"service":"s","priority":2}],
        "services":[{"name":"s","preconditions":true,"headroom":false}],
        "limits":{"max-body-bytes":262144}})");
}

} // namespace

TEST_CASE("a submitted job is parsed")
{
    const protocol::caller_request read = platform::callers().read(make_request(
        "POST",
        "/q/5c0e7a21d94b36f8",
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,"affinity":"r1-3"},
            {"count":2,"cpu":2000,"depends-on":[0],"checkpointing":true,"anti-affinity":1,"speculative":true,
             "image":"i","target-ms":50,"utilization":true,"long-running":true,"optional":3,"gang":true,
             "rack-affinity":true,"requirements":"l"}],"repeat-count":3,"start-at-ms":9,"interval-ms":5,
            "new-field":1})"));
    CHECK(read.host == "h.example");
    CHECK(read.path == "/q/5c0e7a21d94b36f8");
    CHECK(read.time_left_ms == 2500);
    const jobs::job_spec& spec = std::get<protocol::submit_call>(read.call).spec;
    CHECK(spec.payload == "text");
    REQUIRE(spec.steps.size() == 2);
    CHECK(spec.steps[0].needs == jobs::resources{500, 256, 0});
    CHECK(spec.steps[0].data_rack == "r1-3");
    CHECK(spec.steps[1].after == std::vector<std::uint32_t>{0});
    CHECK(spec.steps[1].saves_progress);
    CHECK(spec.steps[1].max_per_worker == 1);
    CHECK(spec.steps[1].copies_allowed);
    CHECK(spec.steps[1].filler);
    CHECK(spec.steps[1].lasting);
    CHECK(spec.steps[1].tail_target_ms == 50);
    CHECK(spec.steps[1].max_away == 3);
    CHECK(spec.steps[1].gang);
    CHECK(spec.steps[1].single_rack);
    CHECK(spec.steps[1].required_label == "l");
    CHECK(spec.repeat_count == 3);
    CHECK(spec.first_due_ms == 9);
}

TEST_CASE("an invalid job is rejected with the path of the fault")
{
    CHECK(rejection_of(R"({"steps":[{"count":1}]})").empty());
    CHECK(rejection_of("{\"steps\":[") == "400 the body is not JSON");
    CHECK(rejection_of("[]") == "400 the body must be an object");
    CHECK(rejection_of(R"({"steps":[]})") == "400 the number of steps must be 1 to 1000");
    CHECK(rejection_of(R"({"steps":[{"count":0}]})") == "400 step 0: its number of tasks must be 1 to 10000");
    CHECK(rejection_of(R"({"steps":[{"count":-1}]})") ==
          "400 /steps/0/count must be a whole number from 0 to 4294967295");
    CHECK(rejection_of(R"({"steps":[{"count":1,"cpu":"x"}]})") ==
          "400 /steps/0/cpu must be a whole number from 0 to 4294967295");
    CHECK(rejection_of(R"({"steps":[{"count":1,"depends-on":[0]}]})") ==
          "400 step 0: it may only wait for earlier steps");
    CHECK(rejection_of(R"({"steps":[{"count":1},{"count":1,"depends-on":[2]}]})") ==
          "400 step 1: it may only wait for earlier steps");
    CHECK(rejection_of(R"({"steps":[{"count":1,"gang":1}]})") == "400 /steps/0/gang must be true or false");
    CHECK(rejection_of(R"({"steps":{"count":1}})") == "400 /steps must be a list");
    CHECK(rejection_of("{\"spec\":\"" + std::string(4001, 'x') + "\",\"steps\":[{\"count\":1}]}") ==
          "400 /spec must be a text of at most 4000 bytes");
}

TEST_CASE("outcomes are translated to responses for clients")
{
    const platform::callers callers;
    const auto status = [&callers](jobs::outcome result)
    {
        protocol::caller_answer answer;
        answer.result = result;
        return callers.write(answer).status;
    };
    CHECK(status(jobs::outcome::accepted) == 200);
    CHECK(status(jobs::outcome::known) == 200);
    CHECK(status(jobs::outcome::unknown_job) == 410);
    CHECK(status(jobs::outcome::unknown_queue) == 404);
    CHECK(status(jobs::outcome::refused) == 503);
    CHECK(status(jobs::outcome::unconfigured) == 503);
    CHECK(status(jobs::outcome::undecided) == 504);

    protocol::caller_answer answer;
    answer.phase = jobs::job_phase::running;
    CHECK(callers.write(answer).body == R"({"state":"running"})");
    answer.phase.reset();
    answer.pending = 12;
    answer.return_after_ms = 1500;
    CHECK(callers.write(answer).body == R"({"pending":12})");
    CHECK(http::find_header(callers.write(answer).headers, "Retry-After") == "2");
}

TEST_CASE("a configuration is either parsed completely or rejected")
{
    const protocol::control_call read =
        platform::control_plane().read(make_request("PUT", "/config", valid_config().dump()));
    const jobs::configuration& config = std::get<protocol::configure_call>(read).value;
    CHECK(config.version == 7);
    REQUIRE(config.queues.size() == 2);
    CHECK(config.queues[0].max_failures == 2);
    CHECK(config.queues[0].objective_factor == 1.5);
    CHECK(config.queues[0].objective_extra_ms == 250);
    CHECK(config.queues[1].priority == 2);
    CHECK(config.services.at(0).workers_check_room);
    CHECK(config.max_body_bytes == 262144);
    CHECK(config.document == valid_config().dump());

    SECTION("a truncated body")
    {
        const std::string text = valid_config().dump();
        CHECK(config_status(text.substr(0, text.size() / 2)) == 400);
        CHECK(config_status("") == 400);
    }
    SECTION("an unknown service")
    {
        nlohmann::json invalid = valid_config();
        invalid["routes"][1]["service"] = "other";
        CHECK(config_status(invalid.dump()) == 400);
    }
    SECTION("two routes with the same host and path prefix")
    {
        nlohmann::json invalid = valid_config();
        invalid["routes"][1]["path-prefix"] = "/a/";
        CHECK(config_status(invalid.dump()) == 400);
    }
    SECTION("a timeout of zero")
    {
        nlohmann::json invalid = valid_config();
        invalid["routes"][0]["timeout-ms"] = 0;
        CHECK(config_status(invalid.dump()) == 400);
    }
    SECTION("missing keys and wrong types")
    {
        for (const char* key : {"version", "routes", "services"})
        {
            nlohmann::json invalid = valid_config();
            invalid.erase(key);
            CHECK(config_status(invalid.dump()) == 400);
            invalid[key] = "text";
            CHECK(config_status(invalid.dump()) == 400);
        }
    }
    SECTION("lists that are no lists, and elements that are no objects")
    {
        for (const char* key : {"routes", "services"})
        {
            nlohmann::json invalid = valid_config();
            invalid[key] = nlohmann::json{{"a", valid_config()[key][0]}};
            CHECK(config_status(invalid.dump()) == 400);
            for (const char* element : {"1", "null", "[]", R"(["a"])", R"("a")"})
            {
                invalid[key] = valid_config()[key];
                invalid[key].push_back(nlohmann::json::parse(element));
                CHECK(config_status(invalid.dump()) == 400);
            }
        }
    }
    SECTION("unknown members are ignored, whatever they hold")
    {
        nlohmann::json extended = valid_config();
        extended["other"] = {{"routes", {1, 2}}, {"list", {nlohmann::json::object(), "a"}}};
        extended["routes"][0]["other"] = {{"routes", {1, {2, 3}}}};
        const protocol::control_call same =
            platform::control_plane().read(make_request("PUT", "/config", extended.dump()));
        CHECK(std::get<protocol::configure_call>(same).value.queues == config.queues);
    }
    SECTION("of two members with one key, the last one counts")
    {
        const std::string routes = valid_config()["routes"].dump();
        std::string text = valid_config().dump();
        text.insert(1, R"("routes":)" + routes + ",");
        const protocol::control_call same =
            platform::control_plane().read(make_request("PUT", "/config", text));
        CHECK(std::get<protocol::configure_call>(same).value.queues == config.queues);
    }
}

TEST_CASE("the announcement and the deregistration of a worker are parsed")
{
    const protocol::control_call read = platform::control_plane().read(
        make_request("PUT",
                     "/instances/i-7f3a",
                     R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","capacity":8,
                 "state":"draining","remaining-ms":1800,"free-capacity":{"cpu":16000,"mem-mb":32768,"gpu":1},
                 "labels":["a","r1-3"],"clock-ms":482113,"born":1779733950057,"sequence":4,
                 "machine":"m-1"})"));
    const fleet::announcement& worker = std::get<protocol::announce_call>(read).worker;
    CHECK(worker.life == fleet::worker_life{"i-7f3a", 1779733950057});
    CHECK(worker.room == jobs::resources{16000, 32768, 1});
    CHECK(worker.rack == "r1-3");
    CHECK(worker.state == fleet::worker_state::draining);
    CHECK(worker.time_left_ms == 1800);
    CHECK(worker.sequence == 4);
    CHECK(worker.vm == "m-1");
    const protocol::control_call left =
        platform::control_plane().read(make_request("DELETE", "/instances/i-7f3a"));
    CHECK(std::get<protocol::goodbye_call>(left).worker == "i-7f3a");
    CHECK(std::holds_alternative<protocol::bad_call>(
        platform::control_plane().read(make_request("PUT", "/instances/i-7f3a", "[1]"))));
}

TEST_CASE("orders are serialized and answers parsed")
{
    const platform::workers workers;
    const jobs::run_name name{{"5c0e7a21d94b36f8", 0, 1, 17}, 2};
    const dispatch::recipient to{{"i-1", 7}, "10.1.0.9:8080"};

    SECTION("a start")
    {
        const http::request sent =
            workers.write(dispatch::start_order{to, 7, 486000, name, "text", "saved", {}});
        CHECK(sent.path == "/run-start");
        CHECK(http::find_header(sent.headers, "Expected-Instance") == "i-1");
        const nlohmann::json body = nlohmann::json::parse(sent.body);
        CHECK(body["task"] == "5c0e7a21d94b36f8.0.1.17");
        CHECK(body["attempt"] == 2);
        CHECK(body["checkpoint"] == "saved");
        CHECK(body["deadline-ms"] == 486000);
        CHECK(body["fencing-token"] == 7);
    }
    SECTION("status codes and reasons")
    {
        const dispatch::order what = dispatch::start_order{to, 7, 486000, name, "text", {}, {}};
        const auto read = [&](int status, const std::string& body)
        {
            http::response response;
            response.status = status;
            response.body = body;
            return workers.read(what, response).how;
        };
        CHECK(read(200, R"({"clock-ms":1})") == dispatch::reply::done);
        CHECK(read(409, R"({"clock-ms":1,"reason":"fence"})") == dispatch::reply::fenced);
        CHECK(read(409, R"({"clock-ms":1,"reason":"old"})") == dispatch::reply::superseded);
        CHECK(read(409, R"({"clock-ms":1,"reason":"late"})") == dispatch::reply::expired);
        CHECK(read(409, R"({"clock-ms":1,"reason":"room"})") == dispatch::reply::no_room);
        CHECK(read(421, "") == dispatch::reply::other_life);
        CHECK(read(503, "") == dispatch::reply::unhealthy);
        CHECK(read(400, "") == dispatch::reply::malformed);
        CHECK(read(500, "") == dispatch::reply::none);
        CHECK(read(200, "{\"clock-ms\":") == dispatch::reply::none);
    }
    SECTION("running and finished runs of a poll")
    {
        http::response response;
        response.body = R"({"clock-ms":482113,"born":1779733950057,"running":[["a.0.1.17",2,"saved",41,950]],
                       "finished":[[58,"a.0.1.9",1,"done",""],[59,"a.1.0.0",3,"lapsed","s"]]})";
        const dispatch::worker_answer read = workers.read(dispatch::poll_order{to, 7, {}, 57, 0}, response);
        CHECK(read.how == dispatch::reply::done);
        CHECK(read.clock_ms == 482113);
        CHECK(read.born_ms == 1779733950057);
        REQUIRE(read.running.size() == 1);
        CHECK(read.running[0].name.task == jobs::task_name{"a", 0, 1, 17});
        CHECK(read.running[0].percent == 41);
        CHECK(read.running[0].measured == 950);
        REQUIRE(read.finished.size() == 2);
        CHECK(read.finished[0].how == jobs::run_end::done);
        CHECK(read.finished[1].number == 59);
        CHECK(read.finished[1].name.task.occurrence == 1);
        CHECK(read.finished[1].how == jobs::run_end::lapsed);
    }
    SECTION("a row with an invalid task name invalidates the whole answer")
    {
        http::response response;
        response.body = R"({"clock-ms":1,"running":[["nonsense",2,"",41]],"finished":[]})";
        CHECK(workers.read(dispatch::poll_order{to, 7, {}, 57, 0}, response).how == dispatch::reply::none);
    }
}

TEST_CASE("no source outside the adapter contains names of the platform's interface")
{
    const std::regex names(
        "\\b(minions?|run-start|run-stop|free-capacity|last-seen|fencing-token|machine-upkeep|"
        "heartbeat-endpoint|path-prefix|anti-affinity|remaining-ms|Expected-Instance)\\b");
    const std::filesystem::path root(PLUMSPOKE_SOURCE_FOLDER);
    for (const char* folder : {"src", "include", "apps"})
    {
        for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder))
        {
            if (entry.path().extension() != ".cpp" && entry.path().extension() != ".hpp")
            {
                continue;
            }
            std::ifstream in(entry.path());
            std::stringstream text;
            text << in.rdbuf();
            INFO(entry.path());
            CHECK_FALSE(std::regex_search(text.str(), names));
        }
    }
}
