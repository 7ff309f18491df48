/// @file
/// @brief Runs whose worker's lease has surely lapsed, and what was open with that worker then.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "run_lost_event.hpp"

namespace plumspoke::dispatch
{

namespace
{

constexpr std::int64_t never = -1; // for log lines: nothing of the kind in this term

std::int64_t age_ms(time_point now, time_point at)
{
    return at == time_point{} ? never : std::chrono::duration_cast<milliseconds>(now - at).count();
}

} // namespace

std::string_view to_string(lapse_cause value) noexcept
{
    switch (value)
    {
    case lapse_cause::not_contacted:
        return "not_contacted";
    case lapse_cause::silent:
        return "silent";
    case lapse_cause::poll_open:
        return "poll_open";
    case lapse_cause::not_asked:
        return "not_asked";
    }
    return "";
}

void dispatcher::end_lapsed(time_point now, worker_view& of)
{
    const lapse_cause cause = cause_of_lapse(of);
    for (run_view& run : of.runs)
    {
        if (run.stage == run_stage::proposed || run.stage == run_stage::ending)
        {
            continue;
        }
        logging::event line = run_lost_event(run, jobs::run_end::lapsed);
        describe_lapse(now, of, run, line);
        events_.push_back(std::move(line));
        note_end(run, jobs::run_end::lapsed, run.saved);
        ++counts_.runs_lapsed.at(static_cast<std::size_t>(cause));
    }
}

lapse_cause dispatcher::cause_of_lapse(const worker_view& of) const
{
    if (!of.contacted)
    {
        return lapse_cause::not_contacted;
    }
    if (of.silent_calls > 0)
    {
        return lapse_cause::silent;
    }
    return of.hold_in_flight ? lapse_cause::poll_open : lapse_cause::not_asked;
}

void dispatcher::describe_lapse(time_point now,
                                const worker_view& on,
                                const run_view& of,
                                logging::event& line) const
{
    line.with("cause", to_string(cause_of_lapse(on)))
        .with("answer_age_ms", age_ms(now, on.answered_at))
        .with("lease_age_ms", age_ms(now, on.lease_sent_at))
        .with("poll_age_ms", age_ms(now, on.hold_sent_at))
        .with("poll_in_flight", on.hold_in_flight ? 1 : 0)
        .with("silent_calls", on.silent_calls)
        .with("contacted", on.contacted ? 1 : 0)
        .with("announced", on.announced ? 1 : 0)
        .with("inherited", of.inherited ? 1 : 0)
        .with("stage", static_cast<std::int64_t>(of.stage))
        .with("term_age_ms", age_ms(now, leading_since_))
        .with("step_gap_ms", age_ms(now, decided_at_));
}

} // namespace plumspoke::dispatch
