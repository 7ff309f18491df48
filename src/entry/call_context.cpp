#include "call_context.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace plumspoke::entry
{

void call_context::set_route(const service_route& route, duration within, int max_attempts)
{
    service = route.config.name;
    state = route.state;
    max_answer_time = milliseconds(route.config.answer_within_ms);
    latency_critical = route.config.latency_critical;
    const bool marked_unsafe = !http::find_header(received.headers, "Plumspoke-Unsafe").empty();
    safe =
        route.config.safe_to_repeat && !marked_unsafe; // a caller can mark a request as unsafe, never as safe
    idempotency_key = http::find_header(received.headers, "Idempotency-Key");
    endpoint_target = received.path.substr(std::min(received.path.size(), service.size() + 1));
    endpoint_target = endpoint_target.empty() ? "/" : endpoint_target;
    endpoint_target += received.query.empty() ? "" : "?" + received.query;
    flow.emplace(safe, max_attempts, started + within);
}

std::string call_context::digest() const
{
    const std::string content = received.method + '\n' + endpoint_target + '\n' + received.body;
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    return std::to_string(hash.high64) + "-" + std::to_string(hash.low64);
}

std::string call_context::id(const std::string& entry, const std::string& incarnation) const
{
    return entry + "-" + incarnation + "-" + std::to_string(number);
}

http::response call_context::refusal_response(refusal reason,
                                              outcome reported_outcome,
                                              duration retry_after,
                                              int status) const
{
    http::response answer;
    answer.status = status;
    answer.content_type = "application/json";
    const std::string reason_text(to_string(reason));
    answer.headers.push_back({"Plumspoke-Reason", reason_text});
    if (!flow.has_value())
    {
        answer.headers.push_back({"Plumspoke-Outcome", std::string(to_string(reported_outcome))});
    }
    nlohmann::json body = {{"outcome", to_string(reported_outcome)}, {"reason", reason_text}};
    if (retry_after.count() > 0)
    {
        // Retry-After has a resolution of one second; the body gives milliseconds.
        answer.headers.push_back(
            {"Retry-After", std::to_string(std::chrono::ceil<seconds>(retry_after).count())});
        body["retry_after_ms"] = std::chrono::ceil<milliseconds>(retry_after).count();
    }
    answer.body = body.dump() + "\n";
    return answer;
}

} // namespace plumspoke::entry
