#include "plumspoke/job_server/entry_server.hpp"

#include "control_channel.hpp"
#include "plumspoke/http/descriptor_search_counts.hpp"
#include "plumspoke/job_server/combined_outcome.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/logging/event.hpp"

#include <algorithm>

namespace plumspoke::job_server
{

namespace
{

constexpr const char* part = "entry";
constexpr std::int64_t default_timeout_ms = 3000; // for callers that state no timeout
constexpr std::int64_t response_margin_ms = 150;  // several times the answer's network delay
constexpr std::int64_t min_timeout_ms = 100;
constexpr std::int64_t max_queued_ms = 1000; // leaves callers time for a retry at another entry
constexpr auto max_leader_contact_age = milliseconds(2000); // four missed polls of the leader
constexpr auto drain_grace_period = milliseconds(2500); // the load balancer misses two checks, one per second
constexpr auto final_answers_timeout = milliseconds(700); // for answers still being written at the end
constexpr auto min_final_wait = milliseconds(150);        // of a process that was suspended until its limit
constexpr auto quiet_period = milliseconds(75);           // without requests, after which a drain is complete
constexpr auto final_quiet_period = milliseconds(300); // a busy VM's threads read what has arrived within it
constexpr std::int64_t readiness_threads = 4; // one answers while unresponsive connections block others
constexpr std::int64_t metrics_threads = 2;   // one reader, plus one whose connection is not closed yet

http::server_options make_options(const std::string& address, std::int64_t threads)
{
    http::server_options options;
    options.address = address;
    options.threads = threads;
    return options;
}

/// @brief Maps a leader's reply to a call result and fills the caller's answer.
call_result read_reply(const grpc::Status& status,
                       const wire::JobReply& reply,
                       leader_client& link,
                       protocol::caller_answer& answer)
{
    if (!status.ok())
    {
        return call_result::unknown;
    }
    if (!reply.acting())
    {
        link.hint(reply.leader_address());
        const bool undecided = reply.outcome() == static_cast<std::uint32_t>(jobs::outcome::undecided);
        return undecided ? call_result::unknown : call_result::not_executed;
    }
    answer.result = static_cast<jobs::outcome>(reply.outcome());
    answer.return_after_ms = reply.return_after_ms();
    return call_result::answered;
}

/// @brief Fills the caller's answer with the state of a job, or the job count of a queue.
void read_state(const wire::JobReply& reply, protocol::caller_answer& answer)
{
    if (answer.result != jobs::outcome::accepted)
    {
        return;
    }
    if (reply.is_count())
    {
        answer.pending = reply.pending();
        return;
    }
    answer.phase = static_cast<jobs::job_phase>(reply.phase());
}

wire::JobRequest make_job_request(const protocol::caller_request& parsed)
{
    wire::JobRequest out;
    out.set_host(parsed.host);
    out.set_path(parsed.path);
    return out;
}

protocol::caller_answer
make_failure(const protocol::caller_request& parsed, call_result end, bool is_mutation)
{
    protocol::caller_answer out;
    out.result =
        end == call_result::unknown && is_mutation ? jobs::outcome::undecided : jobs::outcome::refused;
    out.return_after_ms = jittered_return_ms(parsed.path);
    return out;
}

/// @brief The attempts of one request so far.
struct attempt_history
{
    std::int64_t count = 0;
    std::int64_t unknown = 0;                      // attempts that may have changed the state
    jobs::outcome last = jobs::outcome::undecided; // of the last attempt alone
};

void log_repeated(const protocol::caller_request& parsed,
                  const attempt_history& attempts,
                  jobs::outcome reported)
{
    logging::write(
        logging::event(part, "request_repeated", "A request was answered after an attempt without a result.")
            .with("path", parsed.path)
            .with("attempts", attempts.count)
            .with("unknown", attempts.unknown)
            .with("last_outcome", static_cast<std::int64_t>(attempts.last))
            .with("outcome", static_cast<std::int64_t>(reported)));
}

} // namespace

/// @brief The status and reply of one call to the leader's job service.
struct entry_server::job_answer
{
    grpc::Status status;
    wire::JobReply reply;
};

entry_server::entry_server(const settings::job_settings& settings,
                           std::function<std::vector<std::string>()> seeds,
                           const protocol::caller_protocol& callers)
    : settings_(settings), callers_(callers), leader_client_(std::string(), std::move(seeds))
{
}

entry_server::~entry_server()
{
    stop();
}

std::error_code entry_server::start()
{
    http::server_options options = make_options(settings_.listen, settings_.http_threads);
    options.max_header_bytes = settings_.max_header_bytes;
    options.max_body_bytes = settings_.max_body_bytes;
    options.read_ms = settings_.request_read_ms;
    options.keep_alive_ms = settings_.keep_alive_ms;
    options.max_queued_ms = max_queued_ms;
    http_ = std::make_unique<http::server>(options,
                                           [this](const http::request& received)
                                           {
                                               return handle(received);
                                           });
    readiness_http_ = std::make_unique<http::server>(make_options(settings_.readiness, readiness_threads),
                                                     [this](const http::request& /*received*/)
                                                     {
                                                         http::response out;
                                                         out.status = ready() ? 200 : 503;
                                                         return out;
                                                     });
    leader_client_.start();
    bool listening = http_->start() && readiness_http_->start();
    if (!settings_.metrics.empty())
    {
        metrics_http_ = std::make_unique<http::server>(make_options(settings_.metrics, metrics_threads),
                                                       [this](const http::request& /*received*/)
                                                       {
                                                           return metrics_response();
                                                       });
        listening = metrics_http_->start() && listening;
    }
    if (!listening)
    {
        return std::make_error_code(std::errc::address_in_use);
    }
    logging::write(logging::event(part, "started", "Started.").with("zone", settings_.availability_zone));
    return {};
}

void entry_server::stop()
{
    if (stopped_.exchange(true) || http_ == nullptr)
    {
        return;
    }
    const time_point started_at = boot_clock::now();
    answer_deadline_ = started_at + milliseconds(settings_.stop_ms - response_margin_ms);
    draining_ = true;
    leader_client_.limit_deadlines(answer_deadline_);
    http_->begin_drain();
    const std::uint64_t requests_before = counts_.requests;
    const std::uint64_t queued_before = http_->counts().queued_too_long;
    const std::uint64_t after_close_before = http_->counts().after_close;
    const http::descriptor_search_counts searches_before = http::read_descriptor_search_counts();
    logging::write(logging::event(part,
                                  "draining",
                                  "Draining: not ready; each connection is closed after its next response.")
                       .with("in_flight", http_->in_flight())
                       .with("connections", http_->open_connections()));
    std::this_thread::sleep_until(std::min(started_at + drain_grace_period, answer_deadline_));
    // Connections that balancers still open would keep a drain from ending.
    refusing_ = true;
    http_->refuse_queued();
    const std::int64_t open_calls = http_->in_flight();
    (void)http_->wait_until_idle(answer_deadline_, quiet_period);
    leader_client_.begin_stop();
    // One limit for the whole stop, but a process that was suspended has not read what arrived meanwhile.
    const time_point now = boot_clock::now();
    const time_point limit = std::max(answer_deadline_ + final_answers_timeout, now + min_final_wait);
    const http::drain_result left =
        http_->finish_drain(std::min(limit, now + final_answers_timeout), final_quiet_period);
    logging::write(
        logging::event(part, "stopped", "Stopped.")
            .with("in_flight", static_cast<std::int64_t>(left.in_flight))
            .with("queued", static_cast<std::int64_t>(left.queued))
            .with("connections", http_->open_connections())
            .with("in_flight_after_grace", open_calls)
            .with("requests", static_cast<std::int64_t>(counts_.requests - requests_before))
            .with("refused", static_cast<std::int64_t>(counts_.refused_stopping))
            .with("longest_refused_wait_ms", counts_.longest_refused_wait_us / 1000)
            .with("queued_too_long",
                  static_cast<std::int64_t>(http_->counts().queued_too_long - queued_before))
            .with("after_close", static_cast<std::int64_t>(http_->counts().after_close - after_close_before))
            .with("descriptor_searches",
                  static_cast<std::int64_t>(http::read_descriptor_search_counts().searches -
                                            searches_before.searches))
            .with("took_ms",
                  std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_at).count()));
}

bool entry_server::ready() const
{
    const std::optional<time_point> contact = leader_client_.last_contact();
    return !draining_ && contact.has_value() && boot_clock::now() < *contact + max_leader_contact_age;
}

// ---- requests ----------------------------------------------------------------------------------

duration entry_server::time_left(const protocol::caller_request& parsed) noexcept
{
    const std::int64_t limit_ms = parsed.time_left_ms > 0 ? parsed.time_left_ms : default_timeout_ms;
    return milliseconds(limit_ms - response_margin_ms) - parsed.queued_for;
}

time_point entry_server::deadline_of(const protocol::caller_request& parsed) const
{
    const time_point own =
        boot_clock::now() + std::max<duration>(time_left(parsed), milliseconds(min_timeout_ms));
    return draining_ ? std::min(own, answer_deadline_) : own;
}

http::response entry_server::handle(const http::request& received)
{
    ++counts_.requests;
    const time_point started_at = boot_clock::now();
    protocol::caller_request parsed = callers_.read(received);
    parsed.was_queued = received.was_queued;
    parsed.queued_for = received.queued_for;
    if (const auto* bad = std::get_if<protocol::bad_call>(&parsed.call); bad != nullptr)
    {
        ++counts_.bad_requests;
        logging::write(logging::event(part, "bad_request", bad->message).with("path", parsed.path));
        return callers_.write(*bad);
    }
    const protocol::caller_answer result = std::visit(
        [&](const auto& call) -> protocol::caller_answer
        {
            if constexpr (std::is_same_v<std::decay_t<decltype(call)>, protocol::bad_call>)
            {
                return {};
            }
            else
            {
                return forward(parsed, call, received.body.size());
            }
        },
        parsed.call);
    const auto took = std::chrono::duration_cast<duration>(boot_clock::now() - started_at);
    answer_times_.record(took.count());
    ++counts_.outcomes.at(static_cast<std::size_t>(result.result));
    if (result.result == jobs::outcome::refused || result.result == jobs::outcome::undecided)
    {
        logging::write(logging::event(part, "request_not_served", "No leader answered the request.")
                           .with("path", parsed.path)
                           .with("method", received.method)
                           .with("outcome", static_cast<std::int64_t>(result.result))
                           .with("known_leader", leader_client_.leader())
                           .with("waited_ms", took.count() / 1000));
    }
    return callers_.write(result);
}

protocol::caller_answer entry_server::forward(const protocol::caller_request& parsed,
                                              const protocol::submit_call& call,
                                              std::size_t body_bytes)
{
    wire::SubmitRequest request;
    request.set_host(parsed.host);
    request.set_path(parsed.path);
    *request.mutable_spec() = jobs::to_wire(call.spec);
    request.set_body_bytes(static_cast<std::uint32_t>(body_bytes));
    const auto submit = [&request](control_channel& to, grpc::ClientContext& context, duration limit)
    {
        const std::int64_t limit_ms = std::max<std::int64_t>(limit.count() / 1000, 1);
        request.set_limit_ms(static_cast<std::uint32_t>(limit_ms));
        job_answer got;
        got.status = to.stub().Submit(&context, request, &got.reply);
        return got;
    };
    return call_leader(parsed, true, submit);
}

protocol::caller_answer entry_server::forward(const protocol::caller_request& parsed,
                                              const protocol::read_call& /*call*/,
                                              std::size_t /*body_bytes*/)
{
    const wire::JobRequest request = make_job_request(parsed);
    const auto read = [&request](control_channel& to, grpc::ClientContext& context, duration /*limit*/)
    {
        job_answer got;
        got.status = to.stub().State(&context, request, &got.reply);
        return got;
    };
    return call_leader(parsed, false, read);
}

protocol::caller_answer entry_server::forward(const protocol::caller_request& parsed,
                                              const protocol::cancel_call& /*call*/,
                                              std::size_t /*body_bytes*/)
{
    const wire::JobRequest request = make_job_request(parsed);
    const auto cancel = [&request](control_channel& to, grpc::ClientContext& context, duration /*limit*/)
    {
        job_answer got;
        got.status = to.stub().Cancel(&context, request, &got.reply);
        return got;
    };
    return call_leader(parsed, true, cancel);
}

protocol::caller_answer entry_server::call_leader(
    const protocol::caller_request& parsed,
    bool is_mutation,
    const std::function<job_answer(control_channel&, grpc::ClientContext&, duration)>& send)
{
    if (refusing_)
    {
        count_refused(parsed.queued_for);
        return make_failure(parsed, call_result::not_executed, is_mutation);
    }
    if (parsed.was_queued && time_left(parsed) < milliseconds(min_timeout_ms))
    {
        ++counts_.queued_too_long;
        return make_failure(parsed, call_result::not_executed, is_mutation);
    }
    protocol::caller_answer out;
    attempt_history attempts;
    const double in_use = static_cast<double>(http_->in_flight()) / static_cast<double>(http_->threads());
    const call_result end = leader_client_.call(
        deadline_of(parsed),
        [&](control_channel& to, duration limit)
        {
            grpc::ClientContext context;
            set_timeout(context, limit);
            const job_answer got = send(to, context, limit);
            const call_result attempt_result = read_reply(got.status, got.reply, leader_client_, out);
            if (!is_mutation && attempt_result == call_result::answered)
            {
                read_state(got.reply, out);
            }
            attempts.last = out.result;
            out.result = combined_outcome(out.result, attempts.unknown > 0);
            ++attempts.count;
            attempts.unknown += is_mutation && attempt_result == call_result::unknown ? 1 : 0;
            return attempt_result;
        },
        leader_timeout::for_caller(in_use, parsed.was_queued));
    if (attempts.unknown > 0 && end == call_result::answered)
    {
        log_repeated(parsed, attempts, out.result);
    }
    return end == call_result::answered ? out : make_failure(parsed, end, is_mutation);
}

void entry_server::count_refused(duration queued_for) noexcept
{
    ++counts_.refused_stopping;
    std::int64_t longest = counts_.longest_refused_wait_us;
    while (queued_for.count() > longest &&
           !counts_.longest_refused_wait_us.compare_exchange_weak(longest, queued_for.count()))
    {
    }
}

http::response entry_server::metrics_response() const
{
    std::vector<metrics::counter_line> lines = {
        {"plumspoke_entry_requests_total", "", counts_.requests},
        {"plumspoke_entry_bad_requests_total", "", counts_.bad_requests},
        {"plumspoke_entry_refused_stopping_total", "", counts_.refused_stopping},
        {"plumspoke_entry_queued_too_long_total",
         "",
         counts_.queued_too_long + http_->counts().queued_too_long},
        {"plumspoke_log_lines_dropped_total",
         metrics::label("reason", "over_budget"),
         logging::read_dropped().over_budget},
        {"plumspoke_log_lines_dropped_total",
         metrics::label("reason", "not_writable"),
         logging::read_dropped().not_writable},
        {"plumspoke_silent_calls_total",
         metrics::label("kind", "leader_link"),
         leader_client_.timed_out_calls()},
        {"plumspoke_http_open_connections", "", static_cast<std::uint64_t>(http_->open_connections())},
        {"plumspoke_http_in_flight", "", static_cast<std::uint64_t>(http_->in_flight())},
        {"plumspoke_http_threads", "", static_cast<std::uint64_t>(http_->threads())},
        {"plumspoke_http_descriptor_searches_total", "", http::read_descriptor_search_counts().searches},
        {"plumspoke_http_searched_descriptors_total", "", http::read_descriptor_search_counts().descriptors}};
    constexpr std::array names = {"accepted",
                                  "known",
                                  "unknown_job",
                                  "unknown_queue",
                                  "unconfigured",
                                  "invalid",
                                  "too_large",
                                  "refused",
                                  "undecided",
                                  "not_leading"};
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        lines.push_back(
            {"plumspoke_entry_outcomes_total", metrics::label("outcome", names[i]), counts_.outcomes[i]});
    }
    http::response out;
    out.body = metrics::write_counters(lines);
    answer_times_.write(out.body, "plumspoke_entry_answer_seconds", "");
    return out;
}

} // namespace plumspoke::job_server
