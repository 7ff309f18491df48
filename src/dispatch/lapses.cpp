/// @file
/// @brief Runs whose worker's lease has certainly lapsed, and the causes of lapses.

#include "plumspoke/dispatch/dispatcher.hpp"
#include "run_lost_event.hpp"
#include "start_survival.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

constexpr std::int64_t never = -1; // in log lines: did not happen in this term

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
    case lapse_cause::asked_late:
        return "asked_late";
    case lapse_cause::poll_open:
        return "poll_open";
    case lapse_cause::not_asked:
        return "not_asked";
    case lapse_cause::renewed:
        return "renewed";
    }
    return "";
}

std::string_view to_string(lapse_detector value) noexcept
{
    return value == lapse_detector::leader ? "leader" : "worker";
}

std::string_view dispatcher::name_of(lease_bound value) noexcept
{
    switch (value)
    {
    case lease_bound::none:
        return "none";
    case lease_bound::inherited:
        return "inherited";
    case lease_bound::first_contact:
        return "first_contact";
    case lease_bound::renewed:
        return "renewed";
    case lease_bound::late_start:
        return "late_start";
    }
    return "";
}

void dispatcher::end_lapsed_runs(time_point now, worker_view& worker)
{
    const contact_snapshot contact = make_contact_snapshot(worker);
    const bool has_likelier_cause = is_widespread(now) || may_have_crashed_by_start(worker);
    if (has_vanished(now, worker) && !is_leaving(worker))
    {
        recent_crashes_.record(now, worker.info.address);
    }
    for (run_view& run : worker.runs)
    {
        if (run.stage != run_stage::proposed && run.stage != run_stage::ending)
        {
            const jobs::crash_sign sign = crash_sign_of_lapse(now, run, has_likelier_cause);
            end_lapsed_run(now, lapse_detector::leader, contact, run, run.saved, sign);
        }
    }
}

void dispatcher::end_lapsed_run(time_point now,
                                lapse_detector found_by,
                                const contact_snapshot& contact,
                                run_view& run,
                                const std::string& saved,
                                jobs::crash_sign sign)
{
    const lapse_cause cause = cause_of_lapse(found_by, contact);
    ++counts_.runs_lapsed.at(static_cast<std::size_t>(found_by)).at(static_cast<std::size_t>(cause));
    logging::event line = run_lost_event(now, run, jobs::run_end::lapsed);
    line.with("found_by", to_string(found_by))
        .with("cause", to_string(cause))
        .with("answer_age_ms", age_ms(now, contact.answered_at))
        .with("lease_age_ms", age_ms(now, contact.lease_sent_at))
        .with("first_lease_age_ms", age_ms(now, contact.first_lease_at))
        .with("lease_gap_ms", std::chrono::duration_cast<milliseconds>(contact.max_lease_gap).count())
        .with("poll_age_ms", age_ms(now, contact.poll_sent_at))
        .with("poll_in_flight", contact.poll_in_flight ? 1 : 0)
        .with("silent_calls", contact.unanswered_calls)
        .with("contacted", contact.contacted ? 1 : 0)
        .with("announced", contact.announced ? 1 : 0)
        .with("inherited", run.inherited ? 1 : 0)
        .with("stage", static_cast<std::int64_t>(run.stage))
        .with("term_age_ms", age_ms(now, leading_since_))
        .with("bound", name_of(lease_lapse(*run.on).bound))
        .with("vanished", sign == jobs::crash_sign::none ? 0 : 1)
        .with("step_gap_ms", age_ms(now, decided_at_));
    events_.push_back(std::move(line));
    run.end_read_at = now;
    record_end(run, jobs::run_end::lapsed, saved, std::max(sign, run.pending_crash_sign));
}

lapse_cause dispatcher::cause_of_lapse(lapse_detector found_by, const contact_snapshot& contact) const
{
    if (!contact.contacted)
    {
        return lapse_cause::not_contacted;
    }
    if (contact.unanswered_calls > 0)
    {
        return lapse_cause::silent;
    }
    if (found_by == lapse_detector::leader)
    {
        return contact.poll_in_flight ? lapse_cause::poll_open : lapse_cause::not_asked;
    }
    const bool late = contact.max_lease_gap + options_.lapse_margin >= options_.lease;
    return late ? lapse_cause::asked_late : lapse_cause::renewed;
}

} // namespace plumspoke::dispatch
