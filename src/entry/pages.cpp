// Administration pages of an entry: liveness, readiness, status and metrics.

#include "plumspoke/entry/server.hpp"

namespace plumspoke::entry
{

namespace
{

http::response json_page(int status, const nlohmann::json& body)
{
    http::response answer;
    answer.status = status;
    answer.content_type = "application/json";
    answer.body = body.dump() + "\n";
    return answer;
}

const std::map<std::string, service_route, std::less<>>& services_of(const route_table* table)
{
    static const std::map<std::string, service_route, std::less<>> none;
    return table == nullptr ? none : table->services;
}

void add_service_lines(const service_state& state, std::vector<metrics::counter_line>& lines)
{
    const std::string service = metrics::label("service", state.name());
    lines.push_back({"plumspoke_requests_total", service, state.requests.value()});
    lines.push_back({"plumspoke_attempts_total", service, state.attempts.value()});
    for (std::size_t i = 0; i < refusal_count; ++i)
    {
        const std::string reason = metrics::label("reason", to_string(static_cast<refusal>(i)));
        lines.push_back({"plumspoke_refusals_total", service + "," + reason, state.refusals.at(i).value()});
    }
    for (std::size_t i = 0; i < retry_reason_count; ++i)
    {
        const std::string reason = metrics::label("reason", to_string(static_cast<retry_reason>(i)));
        lines.push_back({"plumspoke_retries_total", service + "," + reason, state.retries.at(i).value()});
    }
}

void sort_by_name(std::vector<metrics::counter_line>& lines)
{
    std::stable_sort(lines.begin(),
                     lines.end(),
                     [](const metrics::counter_line& left, const metrics::counter_line& right)
                     {
                         return left.name < right.name;
                     });
}

} // namespace

http::response server::admin_page(const http::request& received)
{
    const time_point now = boot_clock::now();
    const std::string_view page = std::string_view(received.path).substr(received.path.rfind('/') + 1);
    if (page == "live")
    {
        return json_page(200, {{"live", true}});
    }
    if (page == "ready")
    {
        const bool ready = !draining_ && serving(now) && version_ > 0;
        return json_page(ready ? 200 : 503,
                         {{"ready", ready}, {"draining", draining_.load()}, {"lease", serving(now)}});
    }
    if (page == "metrics")
    {
        http::response answer;
        answer.content_type = "text/plain; version=0.0.4";
        answer.body = metrics_text();
        return answer;
    }
    if (page == "status")
    {
        nlohmann::json endpoints = nlohmann::json::array();
        const rcu_read_section section;
        const route_table* table = table_.read(section);
        for (const auto& [name, route] : services_of(table))
        {
            for (const endpoint_pointer& one : route.endpoints)
            {
                endpoints.push_back({{"service", name},
                                     {"worker", one->slots().worker()},
                                     {"slots", one->slots().granted()},
                                     {"used", one->slots().used()},
                                     {"leaving", one->leaving(now)},
                                     {"out", one->is_excluded(now)},
                                     {"expected_us", one->smoothed_latency_us()}});
            }
        }
        return json_page(200,
                         {{"entry", settings_.name},
                          {"version", version_.load()},
                          {"serving", serving(now)},
                          {"endpoints", endpoints}});
    }
    return json_page(404, {{"error", 403}, {"message", "there is nothing at this path"}});
}

std::string server::metrics_text()
{
    std::vector<metrics::counter_line> lines;
    std::string latencies = "# TYPE plumspoke_answer_seconds histogram\n";
    {
        const rcu_read_section section;
        const route_table* table = table_.read(section);
        for (const auto& [name, route] : services_of(table))
        {
            add_service_lines(*route.state, lines);
            for (std::size_t i = 0; i < outcome_count; ++i)
            {
                const std::string labels = metrics::label("service", name) + "," +
                                           metrics::label("outcome", to_string(static_cast<outcome>(i)));
                route.state->latency.at(i).write(latencies, "plumspoke_answer_seconds", labels);
            }
        }
    }
    for (std::size_t i = 0; i < refusal_count; ++i)
    {
        const std::string reason = metrics::label("reason", to_string(static_cast<refusal>(i)));
        lines.push_back({"plumspoke_refusals_total", "service=\"\"," + reason, refusals_.at(i).value()});
    }
    lines.push_back({"plumspoke_control_reports_total", "result=\"answered\"", reports_answered_.value()});
    lines.push_back(
        {"plumspoke_control_reports_total", "result=\"unanswered\"", reports_unanswered_.value()});
    lines.push_back({"plumspoke_guards_opened_slow_total", "", guards_tripped_slow_.value()});
    const vm_list::poll_counts& polls = platform_.counts();
    lines.push_back({"plumspoke_platform_lists_total", "result=\"taken\"", polls.taken});
    lines.push_back({"plumspoke_platform_lists_total", "result=\"unreachable\"", polls.unreachable});
    lines.push_back({"plumspoke_platform_lists_total", "result=\"garbled\"", polls.garbled});
    lines.push_back({"plumspoke_platform_lists_total", "result=\"empty\"", polls.empty});
    lines.push_back({"plumspoke_platform_lists_total", "result=\"older\"", polls.older});
    const http::rejected_request_counts& bad = http_->counts();
    lines.push_back({"plumspoke_bad_requests_total", "reason=\"body_too_large\"", bad.body_too_large});
    lines.push_back({"plumspoke_bad_requests_total", "reason=\"body_too_short\"", bad.body_too_short});
    lines.push_back({"plumspoke_bad_requests_total", "reason=\"body_too_slow\"", bad.body_too_slow});
    lines.push_back({"plumspoke_bad_requests_total", "reason=\"late\"", bad.late_requests});
    metrics::add_invariant_lines(lines);
    sort_by_name(lines);
    return metrics::write_counters(lines) + latencies;
}

} // namespace plumspoke::entry
