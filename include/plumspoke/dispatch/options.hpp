#pragma once

/// @file
/// @brief Timeouts, limits and weights of the dispatcher.

#include "plumspoke/settings/policy_switches.hpp"
#include "plumspoke/time/time.hpp"

#include <cstddef>
#include <cstdint>

namespace plumspoke::dispatch
{

/// @brief Timeouts, limits and weights of the dispatcher.
struct dispatch_options
{
    // Covers a change of leader (1.5 s at an election timeout of 0.6 s) and two lost renewals.
    duration lease = milliseconds(4000);
    // Slowest rate of a worker's clock relative to ours: the platform guarantees a drift of at most 2%.
    double slowest_clock = 0.98;
    // Workers cut any longer lease to this.
    duration max_lease = seconds(10);
    // Longest delay of an unanswered order that is carried out late.
    duration max_order_delay = seconds(12);
    // Added to a lease's end for the time between our clock reading and the worker's reaction.
    duration lapse_margin = milliseconds(250);
    // Of a worker that leaves: its runs are started elsewhere once it has lapsed. A job without running tasks
    // for 3 s counts as stuck.
    duration leaving_lease = milliseconds(2000);
    // How long a new leader waits for the list of a worker whose lease has lapsed already. Workers announce
    // themselves about once a second: allows two missed announcements and their delay.
    duration first_contact_timeout = milliseconds(2500);
    // The same where the leader of the last term waited before: allows one announcement and its delay.
    duration repeated_contact_timeout = milliseconds(1500);
    // Longest wait of a poll: a quarter of the lease.
    milliseconds poll_wait = milliseconds(1000);
    milliseconds leaving_poll_wait = milliseconds(400);
    // Wait of a poll where fillers run beside serving tasks that are near their target, or where the fillers'
    // effect is unknown. Reports cover half a second, so each poll brings a new one.
    milliseconds watched_poll_wait = milliseconds(500);
    // Wait of a poll where a suspect runs.
    milliseconds suspect_poll_wait = milliseconds(300);
    // Between polls of a worker whose tasks end while the leader is overloaded: half of the interval that
    // lease renewals need.
    milliseconds overloaded_poll_delay = milliseconds(500);
    // Share of their reserved processors that the serving tasks of a worker use together: the users' load
    // factor of 0.45 plus a margin for its variation.
    double serving_utilization = 0.5;
    // Least slack (target / tail latency) that a filler must leave a serving task to be placed beside it.
    double min_slack_at_start = 2.0;
    // Effects below this are within the variation between reports of undisturbed tasks.
    double negligible_effect = 0.2;
    // Delay before an order that did not take effect is sent again.
    duration order_retry = milliseconds(100);
    // Unanswered start orders after which a task is moved to another worker.
    int max_starts = 3;
    // The same for start orders whose lease had expired on arrival.
    int max_expired_starts = 10;
    // Workers announce themselves about once a second: allows three missed announcements and a margin.
    duration announcement_timeout = milliseconds(4500);
    // For a worker that answers its polls: its announcements pass through other control VMs and may be
    // delayed.
    duration max_announcement_age = seconds(12);
    // How long an answer makes a worker count as present without a recent announcement.
    duration answer_timeout = milliseconds(2500);
    // Consecutive unanswered calls up to which tasks are still placed on a worker.
    int max_unanswered_calls = 1;
    // Failure score at which a worker is set aside: three failures in a row. Two in a row also happen on
    // sound workers.
    double failure_score_limit = 2.5;
    duration set_aside = seconds(6);
    // A run at full pace without progress for this long counts as stalled.
    duration stall_timeout = milliseconds(1600);
    // A run whose remaining time exceeds its siblings' mean by this factor, plus the margin, is a straggler.
    double straggler_factor = 2.2;
    duration straggler_margin = milliseconds(600);
    // A lasting task that fails earlier is retried with back-off. Polls are about a second apart.
    duration min_stable_run = seconds(1);
    // A run of this length clears its task's crash record: faulty tasks crash their worker within 60 ms of
    // the start, while a lasting task sees some workers crash over weeks.
    duration crash_clearing_run = seconds(30);
    // How long the state of an ended job is kept.
    std::int64_t keep_ended_ms = 150'000;
    // Limits on records in flight, by number of records and by number of starts in them.
    std::size_t max_rounds_in_flight = 12;
    std::size_t max_starts_in_flight = 1536;
    std::size_t max_starts_per_round = 512;
    // Further ends go into further records: heartbeats to the other replicas wait behind a large one.
    std::size_t max_end_bytes_per_round = 128U << 10U;
    // A draining worker's tasks are moved this long before it leaves, to allow for the time of a renewal.
    milliseconds drain_reserve = milliseconds(300);
    settings::policy_switches policy;
};

} // namespace plumspoke::dispatch
