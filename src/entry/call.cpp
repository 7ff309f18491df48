// Request handling in an entry: classification, admission, endpoint choice, attempts, retries and the answer.

#include "call_context.hpp"
#include "plumspoke/error/invariant.hpp"
#include "plumspoke/logging/logging.hpp"

#include <algorithm>
#include <charconv>
#include <random>

namespace plumspoke::entry
{

namespace
{

constexpr std::string_view admin_prefix = "/_plumspoke/";
constexpr std::string_view outcome_header = "Plumspoke-Outcome";
constexpr std::string_view leaving_header = "Plumspoke-Leaving";
constexpr auto leaving_grace = seconds(5);
constexpr auto leaving_report_lifetime = seconds(30);
constexpr auto min_retry_after = milliseconds(100);

/// Draws from a thread-local generator.
std::uint64_t random_number()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

/// The first path segment names the service; the rest is passed to the endpoint.
std::string_view service_of(std::string_view path)
{
    path.remove_prefix(std::min<std::size_t>(1, path.size()));
    return path.substr(0, path.find('/'));
}

/// A caller may shorten the service's deadline, never extend it.
duration deadline_of(const control::service_config& config, const http::request& received)
{
    const duration service_limit = milliseconds(config.answer_within_ms);
    const std::string_view requested = http::find_header(received.headers, "Plumspoke-Deadline-Ms");
    std::int64_t requested_ms = 0;
    const auto parsed = std::from_chars(requested.data(), requested.data() + requested.size(), requested_ms);
    if (requested.empty() || parsed.ec != std::errc() || requested_ms <= 0)
    {
        return service_limit;
    }
    return std::min<duration>(service_limit,
                              milliseconds(std::min<std::int64_t>(requested_ms, config.answer_within_ms)));
}

bool is_forwarded(std::string_view name)
{
    constexpr std::array<std::string_view, 9> not_forwarded = {"Host",
                                                               "Connection",
                                                               "Content-Length",
                                                               "Transfer-Encoding",
                                                               "Keep-Alive",
                                                               "Upgrade",
                                                               "Expect",
                                                               "Plumspoke-Unsafe",
                                                               "Plumspoke-Deadline-Ms"};
    return std::none_of(not_forwarded.begin(),
                        not_forwarded.end(),
                        [name](std::string_view one)
                        {
                            return http::header_names_equal(one, name);
                        });
}

} // namespace

http::response server::answer(const http::request& received)
{
    if (received.path.starts_with(admin_prefix))
    {
        return admin_page(received);
    }
    ++calls_; // before the check, so that a drain waits for it
    if (refusing_)
    {
        --calls_;
        http::response out;
        out.status = 503;
        out.body = "This entry is stopping. The request was not executed.\n";
        out.headers.push_back({"Retry-After", "1"});
        return out;
    }
    http::response out = answer_call(received, service_of(received.path));
    --calls_;
    return out;
}

bool server::serving(time_point now) const noexcept
{
    return to_microseconds(now) < lease_end_us_.load(std::memory_order_acquire);
}

http::response server::answer_call(const http::request& received, std::string_view service)
{
    const time_point now = boot_clock::now();
    call_context call(received, now, next_request_.fetch_add(1, std::memory_order_relaxed));
    {
        const rcu_read_section section;
        const route_table* table = table_.read(section);
        const service_route* route = table == nullptr ? nullptr : table->find(service);
        if (route != nullptr)
        {
            call.set_route(
                *route, deadline_of(route->config, received), static_cast<int>(settings_.max_attempts));
        }
    }
    if (call.state == nullptr)
    {
        const bool has_configuration = version_.load() > 0 && serving(now);
        const refusal reason = has_configuration ? refusal::unknown_service : refusal::not_serving;
        refusals_.at(static_cast<std::size_t>(reason)).add();
        return call.refusal_response(reason, outcome::not_run, seconds(1), has_configuration ? 404 : 503);
    }
    call.state->requests.add();
    call.state->budget().record_request();
    call.state->in_flight.fetch_add(1, std::memory_order_relaxed);
    http::response result = process_call(call);
    call.state->in_flight.fetch_sub(1, std::memory_order_relaxed);
    return result;
}

http::response server::process_call(call_context& call)
{
    if (!serving(call.started))
    {
        return refuse(call, refusal::not_serving, outcome::not_run, seconds(1));
    }
    if (!call.safe && !call.idempotency_key.empty())
    {
        return process_claimed_call(call);
    }
    return attempt_loop(call);
}

/// Claims the idempotency key of an unsafe request first, so that it is sent once across all entries.
http::response server::process_claimed_call(call_context& call)
{
    claim_request request;
    request.service = call.service;
    request.key = call.idempotency_key;
    request.digest = call.digest();
    request.requester = settings_.name + "/" + incarnation_ + "/" + std::to_string(call.number);
    request.deadline = std::chrono::duration_cast<duration>(call.flow->deadline() - call.started);
    const std::optional<claim_reply> claimed = control_.claim(request, call.flow->deadline());
    if (!claimed.has_value())
    {
        return refuse(call, refusal::claim_not_possible, outcome::not_run, seconds(1));
    }
    switch (claimed->state)
    {
    case control::claim_state::granted:
        break;
    case control::claim_state::done:
    {
        http::response recorded;
        recorded.status = claimed->status;
        recorded.content_type = claimed->content_type;
        recorded.body = claimed->body;
        recorded.headers.push_back({"Plumspoke-Repeated", "true"});
        return finish(call, std::move(recorded), outcome::done);
    }
    case control::claim_state::in_progress:
        return refuse(call, refusal::claim_in_progress, outcome::unknown, seconds(1));
    case control::claim_state::unknown:
        return refuse(call, refusal::claim_unknown, outcome::unknown, duration{});
    case control::claim_state::mismatch:
        return refuse(call, refusal::claim_mismatch, outcome::not_run, duration{});
    case control::claim_state::refused:
        return refuse(call, refusal::claim_not_possible, outcome::not_run, seconds(1));
    }
    http::response result = attempt_loop(call);
    claim_outcome ended;
    ended.service = call.service;
    ended.key = call.idempotency_key;
    ended.claim = claimed->claim;
    ended.status = result.status;
    ended.state = call.reported == outcome::done      ? control::claim_state::done
                  : call.reported == outcome::not_run ? control::claim_state::granted
                                                      : control::claim_state::unknown;
    if (call.reported == outcome::done && result.body.size() <= call_context::max_recorded_body)
    {
        ended.content_type = result.content_type;
        ended.body = result.body;
    }
    // Recording may delay the answer until the deadline, or by 500 ms if that is later. A claim whose outcome
    // is not recorded stays claimed.
    const time_point limit = std::max(call.flow->deadline(), boot_clock::now() + milliseconds(500));
    (void)control_.record(ended, limit);
    return result;
}

endpoint_pointer server::try_acquire_slot(const call_context& call)
{
    const rcu_read_section section;
    const route_table* table = table_.read(section);
    const service_route* route = table == nullptr ? nullptr : table->find(call.service);
    if (route == nullptr)
    {
        return nullptr;
    }
    const time_point now = boot_clock::now();
    return choose_endpoint(*route, settings_.availability_zone, now, random_number(), call.tried);
}

endpoint_pointer server::acquire_slot(call_context& call, std::optional<admission_refusal>& refused)
{
    const bool critical = call.latency_critical;
    if (!queue_.has_waiter_ahead(critical))
    {
        if (endpoint_pointer found = try_acquire_slot(call); found != nullptr)
        {
            return found;
        }
    }
    admission_input input;
    {
        const rcu_read_section section;
        const route_table* table = table_.read(section);
        const service_route* route = table == nullptr ? nullptr : table->find(call.service);
        const time_point now = boot_clock::now();
        const auto left = std::chrono::duration_cast<duration>(call.flow->deadline() - now);
        if (route != nullptr)
        {
            input = make_admission_input(*route, now, left);
        }
    }
    refused = admit(input);
    if (refused.has_value())
    {
        return nullptr;
    }
    endpoint_pointer found;
    call.state->waiting.fetch_add(1);
    const time_point until = boot_clock::now() + max_wait(input);
    const bool taken = queue_.wait(call.state.get(),
                                   critical,
                                   until,
                                   [&]
                                   {
                                       found = try_acquire_slot(call);
                                       return found != nullptr;
                                   });
    call.state->waiting.fetch_sub(1);
    if (!taken)
    {
        refused = admission_refusal{refusal::cannot_meet_deadline,
                                    std::max<duration>(min_retry_after, expected_wait(input))};
    }
    return found;
}

endpoint::exchange_result server::attempt(call_context& call, endpoint_state& target)
{
    const time_point now = boot_clock::now();
    const time_point deadline = call.flow->deadline();
    endpoint::exchange_result result;
    std::unique_ptr<endpoint::connection> connection;
    if (call.safe)
    {
        // Unsafe requests use a new connection: if the endpoint had just closed a reused one, it would be
        // unknown whether the request ran.
        connection = target.take_idle(now, milliseconds(settings_.endpoint_idle_ms));
    }
    if (connection == nullptr)
    {
        connection = std::make_unique<endpoint::connection>();
        const time_point connect_by = std::min(deadline, now + milliseconds(settings_.connect_ms));
        result.error = connection->connect(target.address(), connect_by);
        if (result.error)
        {
            return result;
        }
    }
    std::string message;
    constexpr std::size_t head_size_estimate = 512;
    message.reserve(call.received.body.size() + head_size_estimate);
    message += call.received.method + " " + std::string(call.endpoint_target) +
               " HTTP/1.1\r\nHost: " + target.address();
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - now);
    message += "\r\nPlumspoke-Deadline-Ms: " + std::to_string(left.count());
    const std::string id = call.id(settings_.name, incarnation_);
    message += "\r\nPlumspoke-Request: " + id;
    for (const http::header& one : call.received.headers)
    {
        if (is_forwarded(one.name))
        {
            message += "\r\n" + one.name + ": " + one.value;
        }
    }
    message += "\r\nContent-Length: " + std::to_string(call.received.body.size()) + "\r\n\r\n";
    message += call.received.body;
    result = connection->exchange(message, deadline, static_cast<std::size_t>(settings_.max_answer_bytes));
    const std::string_view echoed = http::find_header(result.answer.headers, "Plumspoke-Request");
    if (!result.error && !echoed.empty() && echoed != id)
    {
        result.error = endpoint::errc::garbled_answer; // answer to another request: never forwarded
        result.reached = endpoint::progress::sent;
        return result;
    }
    if (!result.error && result.reusable && call.safe)
    {
        target.keep_idle(std::move(connection), boot_clock::now());
    }
    return result;
}

void server::record_attempt(const call_context& call,
                            endpoint_state& target,
                            const attempt_result& end,
                            duration took)
{
    const time_point now = boot_clock::now();
    if (!is_failure(end))
    {
        if (!end.endpoint_refused)
        {
            target.record_success(took);
            call.state->record_slot_time(took);
        }
        return;
    }
    bool may_open = false;
    {
        const rcu_read_section section;
        const route_table* table = table_.read(section);
        const service_route* route = table == nullptr ? nullptr : table->find(call.service);
        may_open = route != nullptr && may_open_guard(*route, now, settings_.guard_max_share_percent);
    }
    target.record_failure(now, may_open);
}

http::response server::attempt_loop(call_context& call)
{
    while (true)
    {
        std::optional<admission_refusal> refused;
        const endpoint_pointer target = acquire_slot(call, refused);
        if (target == nullptr)
        {
            return refuse(call, refused->reason, call.flow->outcome_if_abandoned(), refused->retry_after);
        }
        const time_point began = boot_clock::now();
        if (!serving(began))
        {
            target->slots().release(); // the lease expired while the request waited
            return refuse(call, refusal::not_serving, call.flow->outcome_if_abandoned(), seconds(1));
        }
        error::check_invariant(error::invariant::leaving_gets_no_work,
                               !target->leaving(began) || began < target->leaving_since() + leaving_grace,
                               "entry::server::attempt_loop");
        call.flow->begin_attempt();
        call.state->attempts.add();
        target->record_sent(began);
        endpoint::exchange_result result = attempt(call, *target);
        if (result.error && result.reached == endpoint::progress::sent)
        {
            // The endpoint may still process the request, so its slot is released only after twice the
            // longest answer time.
            target->slots().schedule_release(boot_clock::now() + 2 * call.max_answer_time);
        }
        else
        {
            target->slots().release();
            queue_.notify_one();
        }

        attempt_result end;
        end.reached = result.reached;
        end.error = result.error;
        end.status = result.answer.status;
        end.endpoint_refused = !result.error && http::find_header(result.answer.headers, outcome_header) ==
                                                    to_string(outcome::not_run);
        if (!http::find_header(result.answer.headers, leaving_header).empty())
        {
            target->record_self_reported_leaving(began, began + leaving_report_lifetime);
        }
        const time_point ended = boot_clock::now();
        record_attempt(call, *target, end, std::chrono::duration_cast<duration>(ended - began));
        const retry_decision decided = call.flow->decide(ended, end, call.state->budget());
        if (const auto* again = std::get_if<retry_attempt>(&decided))
        {
            call.state->retries.at(static_cast<std::size_t>(again->reason)).add();
            call.tried.push_back(target.get());
            call.tried_owners.push_back(target);
            continue;
        }
        if (const auto* passed = std::get_if<forward_answer>(&decided))
        {
            return finish(call, std::move(result.answer), passed->reported);
        }
        const auto& given_up = std::get<abandon_request>(decided);
        return refuse(call, given_up.reason, given_up.reported, min_retry_after);
    }
}

http::response server::refuse(call_context& call, refusal reason, outcome reported, duration retry_after)
{
    call.state->refusals.at(static_cast<std::size_t>(reason)).add();
    const int status = reason == refusal::claim_mismatch || reason == refusal::claim_in_progress ||
                               reason == refusal::claim_unknown
                           ? 409
                           : (reported == outcome::unknown ? 504 : 503);
    return finish(call, call.refusal_response(reason, reported, retry_after, status), reported);
}

http::response server::finish(call_context& call, http::response answer, outcome reported)
{
    error::check_invariant(error::invariant::not_run_is_true,
                           reported != outcome::not_run ||
                               call.flow->outcome_if_abandoned() == outcome::not_run,
                           "entry::server::finish");
    call.reported = reported;
    std::erase_if(answer.headers,
                  [](const http::header& one)
                  {
                      return http::header_names_equal(one.name, outcome_header) ||
                             http::header_names_equal(one.name, "Plumspoke-Request");
                  });
    answer.headers.push_back({std::string(outcome_header), std::string(to_string(reported))});
    const auto took = std::chrono::duration_cast<duration>(boot_clock::now() - call.started);
    call.state->latency.at(static_cast<std::size_t>(reported)).record(took.count());
    return answer;
}

} // namespace plumspoke::entry
