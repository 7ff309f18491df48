// A request's path through an entry: classify, admit, choose, call, repeat where that is allowed, answer.

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
constexpr auto believe_leaving = seconds(30);
constexpr auto shortest_retry_after = milliseconds(100);

/// A thread's own random numbers.
std::uint64_t random_number()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

/// The service is the first part of the path; the rest is the endpoint's.
std::string_view service_of(std::string_view path)
{
    path.remove_prefix(std::min<std::size_t>(1, path.size()));
    return path.substr(0, path.find('/'));
}

/// The caller may ask for less time than the service gives, never for more.
duration deadline_of(const control::service_config& config, const http::request& received)
{
    const duration longest = milliseconds(config.answer_within_ms);
    const std::string_view asked = http::find_header(received.headers, "Plumspoke-Deadline-Ms");
    std::int64_t asked_ms = 0;
    const auto parsed = std::from_chars(asked.data(), asked.data() + asked.size(), asked_ms);
    if (asked.empty() || parsed.ec != std::errc() || asked_ms <= 0)
    {
        return longest;
    }
    return std::min<duration>(longest,
                              milliseconds(std::min<std::int64_t>(asked_ms, config.answer_within_ms)));
}

bool is_forwarded(std::string_view name)
{
    constexpr std::array<std::string_view, 9> own = {"Host",
                                                     "Connection",
                                                     "Content-Length",
                                                     "Transfer-Encoding",
                                                     "Keep-Alive",
                                                     "Upgrade",
                                                     "Expect",
                                                     "Plumspoke-Unsafe",
                                                     "Plumspoke-Deadline-Ms"};
    return std::none_of(own.begin(),
                        own.end(),
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
    return answer_call(received, service_of(received.path));
}

bool server::serving(time_point now) const noexcept
{
    return to_microseconds(now) < lease_end_us_.load(std::memory_order_acquire);
}

http::response server::answer_call(const http::request& received, std::string_view service)
{
    const time_point now = std::chrono::steady_clock::now();
    call_context call(received, now, next_request_.fetch_add(1, std::memory_order_relaxed));
    {
        const rcu_read_section section;
        const route_table* table = table_.read(section);
        const service_route* route = table == nullptr ? nullptr : table->find(service);
        if (route != nullptr)
        {
            call.take(*route, deadline_of(route->config, received), static_cast<int>(settings_.max_attempts));
        }
    }
    if (call.state == nullptr)
    {
        const bool told_routes = version_.load() > 0 && serving(now);
        const refusal reason = told_routes ? refusal::unknown_service : refusal::not_serving;
        refusals_.at(static_cast<std::size_t>(reason)).add();
        return call.refusal_response(reason, outcome::not_run, seconds(1), told_routes ? 404 : 503);
    }
    call.state->requests.add();
    call.state->budget().note_request();
    call.state->in_flight.fetch_add(1, std::memory_order_relaxed);
    http::response result = carry(call);
    call.state->in_flight.fetch_sub(1, std::memory_order_relaxed);
    return result;
}

http::response server::carry(call_context& call)
{
    if (!serving(call.started))
    {
        return refuse(call, refusal::not_serving, outcome::not_run, seconds(1));
    }
    if (!call.safe && !call.key.empty())
    {
        return carry_claimed(call);
    }
    return attempt_loop(call);
}

/// An unsafe request under a key: claimed first, so that the key is sent once whichever entry it comes by.
http::response server::carry_claimed(call_context& call)
{
    claim_request asked;
    asked.service = call.service;
    asked.key = call.key;
    asked.digest = call.digest();
    asked.asker = settings_.name + "/" + incarnation_ + "/" + std::to_string(call.number);
    asked.deadline = std::chrono::duration_cast<duration>(call.flow->deadline() - call.started);
    const std::optional<claim_reply> claimed = control_.claim(asked, call.flow->deadline());
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
    ended.key = call.key;
    ended.claim = claimed->claim;
    ended.status = result.status;
    ended.state = call.told == outcome::done      ? control::claim_state::done
                  : call.told == outcome::not_run ? control::claim_state::granted
                                                  : control::claim_state::unknown;
    if (call.told == outcome::done && result.body.size() <= call_context::max_recorded_body)
    {
        ended.content_type = result.content_type;
        ended.body = result.body;
    }
    // The caller's answer does not wait longer for this than its deadline; an unrecorded claim stays claimed.
    const time_point limit =
        std::max(call.flow->deadline(), std::chrono::steady_clock::now() + milliseconds(500));
    (void)control_.record(ended, limit);
    return result;
}

endpoint_pointer server::try_slot(const call_context& call)
{
    const rcu_read_section section;
    const route_table* table = table_.read(section);
    const service_route* route = table == nullptr ? nullptr : table->find(call.service);
    if (route == nullptr)
    {
        return nullptr;
    }
    const time_point now = std::chrono::steady_clock::now();
    return choose_endpoint(*route, settings_.availability_zone, now, random_number(), call.tried);
}

endpoint_pointer server::take_slot(call_context& call, std::optional<admission_refusal>& refused)
{
    const bool critical = call.latency_critical;
    if (!queue_.others_first(critical))
    {
        if (endpoint_pointer found = try_slot(call); found != nullptr)
        {
            return found;
        }
    }
    admission_view view;
    {
        const rcu_read_section section;
        const route_table* table = table_.read(section);
        const service_route* route = table == nullptr ? nullptr : table->find(call.service);
        const time_point now = std::chrono::steady_clock::now();
        const auto left = std::chrono::duration_cast<duration>(call.flow->deadline() - now);
        if (route != nullptr)
        {
            view = view_of(*route, now, left);
        }
    }
    refused = admit(view);
    if (refused.has_value())
    {
        return nullptr;
    }
    endpoint_pointer found;
    call.state->waiting.fetch_add(1);
    const time_point until = std::chrono::steady_clock::now() + longest_wait(view);
    const bool taken = queue_.wait(call.state.get(),
                                   critical,
                                   until,
                                   [&]
                                   {
                                       found = try_slot(call);
                                       return found != nullptr;
                                   });
    call.state->waiting.fetch_sub(1);
    if (!taken)
    {
        refused = admission_refusal{refusal::cannot_meet_deadline,
                                    std::max<duration>(shortest_retry_after, expected_wait(view))};
    }
    return found;
}

endpoint::exchange_result server::attempt(call_context& call, endpoint_state& target)
{
    const time_point now = std::chrono::steady_clock::now();
    const time_point deadline = call.flow->deadline();
    endpoint::exchange_result result;
    std::unique_ptr<endpoint::connection> connection;
    if (call.safe)
    {
        // An unsafe request has a connection of its own: a kept one that the endpoint has just closed would
        // leave in doubt whether the request ran.
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
    std::string head;
    constexpr std::size_t head_estimate = 512;
    head.reserve(call.received.body.size() + head_estimate);
    head += call.received.method + " " + std::string(call.rest) + " HTTP/1.1\r\nHost: " + target.address();
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - now);
    head += "\r\nPlumspoke-Deadline-Ms: " + std::to_string(left.count());
    const std::string id = call.id(settings_.name, incarnation_);
    head += "\r\nPlumspoke-Request: " + id;
    for (const http::header& one : call.received.headers)
    {
        if (is_forwarded(one.name))
        {
            head += "\r\n" + one.name + ": " + one.value;
        }
    }
    head += "\r\nContent-Length: " + std::to_string(call.received.body.size()) + "\r\n\r\n";
    head += call.received.body;
    result = connection->exchange(head, deadline, static_cast<std::size_t>(settings_.max_answer_bytes));
    const std::string_view echoed = http::find_header(result.answer.headers, "Plumspoke-Request");
    if (!result.error && !echoed.empty() && echoed != id)
    {
        result.error = endpoint::errc::garbled_answer; // another request's answer: never passed on
        result.reached = endpoint::progress::sent;
        return result;
    }
    if (!result.error && result.reusable && call.safe)
    {
        target.keep_idle(std::move(connection), std::chrono::steady_clock::now());
    }
    return result;
}

void server::learn(const call_context& call, endpoint_state& target, const attempt_end& end, duration took)
{
    const time_point now = std::chrono::steady_clock::now();
    if (!is_failure(end))
    {
        if (!end.endpoint_refused)
        {
            target.note_success(took);
            call.state->note_time(took);
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
    target.note_failure(now, may_open);
}

http::response server::attempt_loop(call_context& call)
{
    while (true)
    {
        std::optional<admission_refusal> refused;
        const endpoint_pointer target = take_slot(call, refused);
        if (target == nullptr)
        {
            return refuse(call, refused->reason, call.flow->told_if_given_up(), refused->retry_after);
        }
        const time_point began = std::chrono::steady_clock::now();
        if (!serving(began))
        {
            target->slots().release(); // the lease ran out while it waited
            return refuse(call, refusal::not_serving, call.flow->told_if_given_up(), seconds(1));
        }
        error::check_invariant(error::invariant::leaving_gets_no_work,
                               !target->leaving(began) || began < target->leaving_since() + leaving_grace,
                               "entry::server::attempt_loop");
        call.flow->begin_attempt();
        call.state->sent.add();
        target->note_sent(began);
        endpoint::exchange_result result = attempt(call, *target);
        if (result.error && result.reached == endpoint::progress::sent)
        {
            // The endpoint may go on with it for as long as an answer may take: its slot is not free yet.
            target->slots().release_later(std::chrono::steady_clock::now() + 2 * call.longest);
        }
        else
        {
            target->slots().release();
            queue_.notify_one();
        }

        attempt_end end;
        end.reached = result.reached;
        end.error = result.error;
        end.status = result.answer.status;
        end.endpoint_refused = !result.error && http::find_header(result.answer.headers, outcome_header) ==
                                                    to_string(outcome::not_run);
        if (!http::find_header(result.answer.headers, leaving_header).empty())
        {
            target->note_said_leaving(began, began + believe_leaving);
        }
        const time_point ended = std::chrono::steady_clock::now();
        learn(call, *target, end, std::chrono::duration_cast<duration>(ended - began));
        const verdict decided = call.flow->after(ended, end, call.state->budget());
        if (const auto* again = std::get_if<send_again>(&decided))
        {
            call.state->retries.at(static_cast<std::size_t>(again->reason)).add();
            call.tried.push_back(target.get());
            call.tried_kept.push_back(target);
            continue;
        }
        if (const auto* passed = std::get_if<pass_on>(&decided))
        {
            return finish(call, std::move(result.answer), passed->told);
        }
        const auto& given_up = std::get<give_up>(decided);
        return refuse(call, given_up.reason, given_up.told, shortest_retry_after);
    }
}

http::response server::refuse(call_context& call, refusal reason, outcome told, duration retry_after)
{
    call.state->refusals.at(static_cast<std::size_t>(reason)).add();
    const int status = reason == refusal::claim_mismatch || reason == refusal::claim_in_progress ||
                               reason == refusal::claim_unknown
                           ? 409
                           : (told == outcome::unknown ? 504 : 503);
    return finish(call, call.refusal_response(reason, told, retry_after, status), told);
}

http::response server::finish(call_context& call, http::response answer, outcome told)
{
    error::check_invariant(error::invariant::not_run_is_true,
                           told != outcome::not_run || call.flow->told_if_given_up() == outcome::not_run,
                           "entry::server::finish");
    call.told = told;
    std::erase_if(answer.headers,
                  [](const http::header& one)
                  {
                      return http::header_names_equal(one.name, outcome_header) ||
                             http::header_names_equal(one.name, "Plumspoke-Request");
                  });
    answer.headers.push_back({std::string(outcome_header), std::string(to_string(told))});
    const auto took = std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - call.started);
    call.state->latency.at(static_cast<std::size_t>(told)).record(took.count());
    return answer;
}

} // namespace plumspoke::entry
