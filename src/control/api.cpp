// HTTP for operators and workers. Paths and documents: docs/OPERATORS.md and docs/WORKERS.md.

#include "api.hpp"

#include "plumspoke/control/error.hpp"
#include "plumspoke/operator/error.hpp"
#include "plumspoke/operator/intent.hpp"
#include "plumspoke/worker/error.hpp"

#include <array>
#include <charconv>

namespace plumspoke::control
{

namespace
{

using settings::fault;

http::response json_response(int status, const nlohmann::json& body)
{
    http::response answer;
    answer.status = status;
    answer.content_type = "application/json";
    answer.body = body.dump() + "\n";
    return answer;
}

http::response error_response(int status, const std::error_code& error, const nlohmann::json& detail = {})
{
    nlohmann::json body = {{"error", error.value()}, {"message", error.message()}};
    if (!detail.is_null())
    {
        body["detail"] = detail;
    }
    return json_response(status, body);
}

http::response faults_response(server& self, const std::vector<fault>& faults)
{
    ++self.counters().operator_bad_document;
    nlohmann::json list = nlohmann::json::array();
    for (const fault& problem : faults)
    {
        list.push_back({{"path", problem.path}, {"message", problem.message}});
    }
    return error_response(400, operators::errc::bad_document, list);
}

http::response not_leader_response(server& self, const std::error_code& error)
{
    ++self.counters().operator_not_leader;
    const leader_hint hint = self.leader();
    return error_response(421, error, {{"leader", hint.name}, {"http", hint.http}});
}

int http_status_of(std::int64_t error)
{
    switch (static_cast<errc>(error))
    {
    case errc::unknown_job:
    case errc::unknown_plan:
        return 404;
    case errc::version_conflict:
    case errc::plan_not_open:
    case errc::request_mismatch:
    case errc::job_exists:
    case errc::job_finished:
        return 409;
    case errc::too_many_jobs:
        return 503;
    default:
        return 422;
    }
}

http::response submit(server& self, const command& value)
{
    std::error_code error;
    const command_answer answer = self.submit(value, error);
    if (error == operators::errc::not_leader)
    {
        return not_leader_response(self, error);
    }
    if (error)
    {
        ++self.counters().operator_no_answer;
        return error_response(504, error);
    }
    ++self.counters().operator_requests;
    if (!answer.accepted())
    {
        ++self.counters().operator_refused;
        nlohmann::json body = {
            {"error", answer.error}, {"message", answer.message}, {"version", answer.version}};
        body["detail"] = answer.detail;
        return json_response(http_status_of(answer.error), body);
    }
    return json_response(200, {{"id", answer.id}, {"version", answer.version}, {"detail", answer.detail}});
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
    {
        return std::nullopt;
    }
    return number;
}

/// The non-empty part of a path between a prefix and a suffix, or nothing if the path doesn't match.
std::optional<std::string>
path_parameter(std::string_view path, std::string_view prefix, std::string_view suffix)
{
    if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) || !path.ends_with(suffix))
    {
        return std::nullopt;
    }
    return std::string(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
}

http::response make_plan_request(server& self, const http::request& request)
{
    std::vector<fault> faults;
    const nlohmann::json document = settings::parse_text(request.body, faults);
    if (!faults.empty())
    {
        return faults_response(self, faults);
    }
    settings::object_reader reader(document, "", faults);
    make_plan value;
    value.request = reader.required_string("request");
    value.made_by = reader.required_string("operator");
    value.based_on = static_cast<std::uint64_t>(reader.required_integer("based_on", {0}));
    value.document = operators::parse_intent(reader.optional_value("intent"), faults);
    reader.finish();
    if (!faults.empty())
    {
        return faults_response(self, faults);
    }
    return submit(self, value);
}

/// Handles confirm and discard, whose document contains only the request's identity.
template <typename Command>
http::response plan_request(server& self, const http::request& request, const std::string& id)
{
    std::vector<fault> faults;
    const nlohmann::json document = settings::parse_text(request.body, faults);
    Command value;
    if (faults.empty())
    {
        settings::object_reader reader(document, "", faults);
        value.request = reader.required_string("request");
        reader.finish();
    }
    const std::optional<std::uint64_t> number = parse_number(id);
    if (!number.has_value())
    {
        faults.push_back({"/", "the plan's number in the path is not a number"});
    }
    if (!faults.empty())
    {
        return faults_response(self, faults);
    }
    value.plan = *number;
    return submit(self, value);
}

http::response submit_job_request(server& self, const http::request& request)
{
    std::vector<fault> faults;
    const nlohmann::json document = settings::parse_text(request.body, faults);
    submit_job value;
    if (faults.empty())
    {
        value.spec = operators::parse_job(document, "", faults);
    }
    if (!faults.empty())
    {
        return faults_response(self, faults);
    }
    return submit(self, value);
}

http::response worker_report_request(server& self, const http::request& request)
{
    std::vector<fault> faults;
    const nlohmann::json document = settings::parse_text(request.body, faults);
    worker::report received;
    if (faults.empty())
    {
        received = worker::parse_report(document, faults);
    }
    if (!faults.empty())
    {
        return faults_response(self, faults);
    }
    std::error_code error;
    const worker::orders reply = self.receive(received, error);
    if (error == worker::errc::not_leader)
    {
        return not_leader_response(self, error);
    }
    if (error)
    {
        return error_response(409, error);
    }
    return json_response(200, reply);
}

http::response read_job(server& self, const std::string& id)
{
    return self.state().read(
        [&id](const control_state& state)
        {
            const auto found = state.jobs.find(id);
            if (found == state.jobs.end())
            {
                return error_response(404, errc::unknown_job);
            }
            return json_response(200, found->second);
        });
}

http::response read_jobs(server& self)
{
    return self.state().read(
        [](const control_state& state)
        {
            nlohmann::json list = nlohmann::json::array();
            for (const auto& [id, record] : state.jobs)
            {
                list.push_back({{"job", id},
                                {"team", record.spec.team},
                                {"phase", record.phase},
                                {"worker", record.live.has_value() ? record.live->worker : ""},
                                {"reason", record.reason}});
            }
            return json_response(200, list);
        });
}

http::response read_plan(server& self, const std::string& id)
{
    return self.state().read(
        [&id](const control_state& state)
        {
            const auto number = parse_number(id);
            const auto found = number.has_value() ? state.plans.find(*number) : state.plans.end();
            if (found == state.plans.end())
            {
                return error_response(404, errc::unknown_plan);
            }
            return json_response(200, found->second);
        });
}

http::response read_plans(server& self)
{
    return self.state().read(
        [](const control_state& state)
        {
            nlohmann::json list = nlohmann::json::array();
            for (const auto& [id, record] : state.plans)
            {
                list.push_back({{"id", id},
                                {"based_on", record.based_on},
                                {"operator", record.made_by},
                                {"phase", record.phase},
                                {"refused", record.refused},
                                {"steps", record.steps.size()}});
            }
            return json_response(200, list);
        });
}

http::response answer_get(server& self, const http::request& request)
{
    if (request.path == "/live")
    {
        return json_response(200, {{"live", true}});
    }
    if (request.path == "/metrics")
    {
        http::response page;
        page.content_type = "text/plain; version=0.0.4";
        page.body = self.metrics_text();
        return page;
    }
    // Reads must be current, so only a process that holds the leader's lease answers them.
    if (!self.leader().self)
    {
        return not_leader_response(self, operators::errc::not_leader);
    }
    if (request.path == "/v1/status" || request.path == "/ready")
    {
        return json_response(200, self.status());
    }
    if (request.path == "/v1/configuration")
    {
        return self.state().read(
            [](const control_state& state)
            {
                return json_response(200, state.config);
            });
    }
    if (request.path == "/v1/jobs")
    {
        return read_jobs(self);
    }
    if (request.path == "/v1/plans")
    {
        return read_plans(self);
    }
    if (const auto version = path_parameter(request.path, "/v1/in_force/", ""))
    {
        const std::optional<std::uint64_t> number = parse_number(*version);
        return json_response(200, {{"in_force", number.has_value() && self.in_force(*number)}});
    }
    if (const auto id = path_parameter(request.path, "/v1/jobs/", ""))
    {
        return read_job(self, *id);
    }
    if (const auto id = path_parameter(request.path, "/v1/plans/", ""))
    {
        return read_plan(self, *id);
    }
    if (const auto id = path_parameter(request.path, "/v1/explain/", ""))
    {
        const std::vector<std::string> lines = self.explain(*id);
        return lines.empty() ? error_response(404, errc::unknown_job)
                             : json_response(200, {{"job", *id}, {"lines", lines}});
    }
    return error_response(404, operators::errc::unknown_path);
}

http::response answer_post(server& self, const http::request& request)
{
    if (request.path == "/v1/workers/report")
    {
        return worker_report_request(self, request);
    }
    if (request.path == "/v1/plans")
    {
        return make_plan_request(self, request);
    }
    if (const auto id = path_parameter(request.path, "/v1/plans/", "/confirm"))
    {
        return plan_request<confirm_plan>(self, request, *id);
    }
    if (const auto id = path_parameter(request.path, "/v1/plans/", "/discard"))
    {
        return plan_request<discard_plan>(self, request, *id);
    }
    if (request.path == "/v1/jobs")
    {
        return submit_job_request(self, request);
    }
    if (const auto id = path_parameter(request.path, "/v1/jobs/", "/cancel"))
    {
        return submit(self, cancel_job{*id});
    }
    if (const auto id = path_parameter(request.path, "/v1/workers/", "/take_back"))
    {
        return submit(self, set_worker_aside{*id, false});
    }
    if (const auto id = path_parameter(request.path, "/v1/workers/", "/set_aside"))
    {
        return submit(self, set_worker_aside{*id, true});
    }
    return error_response(404, operators::errc::unknown_path);
}

} // namespace

http::response answer(server& self, const http::request& request)
{
    if (request.method == "GET")
    {
        return answer_get(self, request);
    }
    if (request.method == "POST")
    {
        return answer_post(self, request);
    }
    return error_response(405, operators::errc::unknown_path);
}

} // namespace plumspoke::control
