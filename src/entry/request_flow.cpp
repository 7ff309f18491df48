#include "plumspoke/entry/request_flow.hpp"

#include "plumspoke/error/invariant.hpp"

namespace plumspoke::entry
{

namespace
{

constexpr int first_server_error = 500;

retry_reason reason_of(const attempt_result& end)
{
    if (end.endpoint_refused)
    {
        return retry_reason::endpoint_refused;
    }
    if (!end.error)
    {
        return retry_reason::server_error;
    }
    switch (static_cast<endpoint::errc>(end.error.value()))
    {
    case endpoint::errc::connect_refused:
    case endpoint::errc::bad_address:
        return retry_reason::connect_refused;
    case endpoint::errc::connect_timeout:
        return retry_reason::connect_timeout;
    case endpoint::errc::write_failed:
        return retry_reason::write_failed;
    case endpoint::errc::answer_timeout:
        return retry_reason::answer_timeout;
    case endpoint::errc::closed_before_answer:
        return retry_reason::closed_before_answer;
    case endpoint::errc::truncated_answer:
        return retry_reason::truncated_answer;
    case endpoint::errc::garbled_answer:
    case endpoint::errc::answer_too_large:
        break;
    }
    return retry_reason::garbled_answer;
}

} // namespace

bool is_failure(const attempt_result& end) noexcept
{
    return end.error || (end.status >= first_server_error && !end.endpoint_refused);
}

void request_flow::begin_attempt()
{
    error::check_invariant(
        error::invariant::unsafe_at_most_once, safe_ || !may_have_run_, "entry::request_flow::begin_attempt");
    ++attempts_;
}

retry_decision request_flow::decide(time_point now, const attempt_result& end, retry_budget& budget)
{
    const bool certainly_not_run = end.reached == endpoint::progress::nothing_sent || end.endpoint_refused;
    const bool answered = end.reached == endpoint::progress::answered && !end.error;
    if (answered && !end.endpoint_refused && end.status < first_server_error)
    {
        return forward_answer{outcome::done};
    }
    may_have_run_ = may_have_run_ || !certainly_not_run;
    const auto stop = [this, answered](refusal reason) -> retry_decision
    {
        if (answered)
        {
            return forward_answer{outcome_if_abandoned()}; // the endpoint's error response carries more
                                                           // detail than a generated one
        }
        return abandon_request{outcome_if_abandoned(), reason};
    };
    if (!safe_ && may_have_run_)
    {
        return stop(refusal::unsafe_not_repeated);
    }
    if (now >= deadline_)
    {
        return stop(refusal::deadline_passed);
    }
    if (attempts_ >= max_attempts_)
    {
        return stop(refusal::attempts_used_up);
    }
    if (!budget.try_consume())
    {
        return stop(refusal::retry_budget_empty);
    }
    return retry_attempt{reason_of(end)};
}

} // namespace plumspoke::entry
