#pragma once

/// @file
/// @brief The dispatcher's times and weights.

#include "plumspoke/settings/policy_switches.hpp"
#include "plumspoke/time/time.hpp"

#include <cstddef>
#include <cstdint>

namespace plumspoke::dispatch
{

/// @brief Times and weights; each default says where it comes from.
struct dispatch_options
{
    // Survives a change of leader (1.5 s at an election timeout of 0.6 s) and two lost renewals.
    duration lease = milliseconds(4000);
    // The least that a worker's clock moves for one of our seconds: the platform's contract (2% slow).
    double slowest_clock = 0.98;
    // Added to a lapse for the time between reading our clock and the worker's acting on it.
    duration lapse_margin = milliseconds(250);
    // Longest wait of a poll: a third of the lease.
    milliseconds poll_wait = milliseconds(1000);
    // Where fillers run beside what serves near its target, or their effect is not known: reports cover half
    // a second, so a newer one is had as often.
    milliseconds watched_poll_wait = milliseconds(500);
    // Where a suspect runs.
    milliseconds suspect_poll_wait = milliseconds(300);
    // Between the polls of a worker whose tasks end, while the leader is behind: half of what renewals need.
    milliseconds overloaded_poll_delay = milliseconds(500);
    // What serving tasks use of the processors that they reserve, several of them on a worker taken together:
    // the users' load factor of 0.45, and something for its swing.
    double serving_utilization = 0.5;
    // A filler is not placed where it would leave a serving task less slack (target / tail) than this.
    double min_slack_at_start = 2.0;
    // An effect below this is no more than reports of undisturbed tasks differ by.
    double negligible_effect = 0.2;
    // Before an order that did not take effect is sent again.
    duration order_retry = milliseconds(100);
    // Unanswered starts after which a task is given up on a worker.
    int max_starts = 3;
    // The same for starts that the worker calls late.
    int max_expired_starts = 10;
    // Workers announce themselves about once a second; three missed ones and a little more.
    duration announcement_timeout = milliseconds(4500);
    // Of a worker that answers its polls: its announcements go by other control VMs and may be held up.
    duration max_announcement_age = seconds(12);
    // After an answer for which a worker counts as present without a recent announcement.
    duration answer_timeout = milliseconds(2500);
    // A worker's calls unanswered in a row after which nothing is placed there.
    int max_unanswered_calls = 1;
    // Blame at which a worker is set aside: three failures in a row. Two in a row happen to sound workers
    // too.
    double failure_score_limit = 2.5;
    duration set_aside = seconds(6);
    // No progress for so long, while it should run at full pace: it stands still.
    duration stall_timeout = milliseconds(1600);
    // A run this many times slower than its siblings is a straggler.
    double straggler_factor = 2.2;
    duration straggler_margin = milliseconds(600);
    // A task that crashes its worker does so within 60 ms of its start: five times that.
    duration start_crash_window = milliseconds(300);
    // A lasting task that fails before this is tried again after growing pauses. Polls come about once a
    // second.
    duration min_stable_run = seconds(1);
    // A run that its worker bore for so long clears its task of crashes: those that are at fault crash it
    // within 60 ms of the start, and a lasting task meets some workers' crashes in weeks.
    duration crash_clearing_run = seconds(30);
    // How long an ended job's state is kept.
    std::int64_t keep_ended_ms = 150'000;
    // Records on their way: a few of many starts, or many of a few.
    std::size_t max_rounds_in_flight = 12;
    std::size_t max_starts_in_flight = 1536;
    std::size_t max_starts_per_round = 512;
    // Room for a renewal's way: a draining worker's tasks are moved so long before it leaves.
    milliseconds drain_reserve = milliseconds(300);
    settings::policy_switches policy;
};

} // namespace plumspoke::dispatch
