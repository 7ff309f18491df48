/// @file
/// @brief Measures the leader's processor time per task start for different fleet sizes, and how many jobs
///        are late when the leader has little processor capacity. Runs in virtual time.

#include "busy_fleet.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <cstdio>

ABSL_FLAG(int, workers, 490, "workers of the fleet; the work grows with it");
ABSL_FLAG(int, seconds, 20, "virtual seconds to play");
ABSL_FLAG(double, processor, 0, "processors of the leader; 0: free");
ABSL_FLAG(int, call_us, 0, "processor time of each call to a worker, in microseconds");
ABSL_FLAG(double, work, 1, "times the usual work");
ABSL_FLAG(double, leader_lost_s, 0, "nobody leads from the fifth second on, for so long");
ABSL_FLAG(int, seed, 1, "of the load");
ABSL_FLAG(double, lasting, 0, "lasting jobs at the start, for each worker; 0: the usual ones");
ABSL_FLAG(double, lasting_rate, -1, "lasting jobs a second, for each worker; below 0: the usual ones");
ABSL_FLAG(bool, events, false, "print the leader's line task_stages and placements");
ABSL_FLAG(int, decision_us, 0, "processor time of a decision; 0: what it takes here");
ABSL_FLAG(int, start_us, 0, "processor time of each task that a decision starts, beside decision_us");
ABSL_FLAG(double,
          interference,
          -1,
          "growth of a tail latency on a worker full of fillers; below 0: the usual one");
ABSL_FLAG(bool, wide, false, "wide steps of large tasks on a fleet that lasting tasks fill");

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto workers = static_cast<std::size_t>(absl::GetFlag(FLAGS_workers));
    plumspoke::test::busy_load load;
    if (absl::GetFlag(FLAGS_wide))
    {
        load = plumspoke::test::busy_load::of_wide_steps(workers);
    }
    load.workers = workers;
    if (absl::GetFlag(FLAGS_interference) >= 0)
    {
        load.filler_interference = absl::GetFlag(FLAGS_interference);
    }
    load.processor = absl::GetFlag(FLAGS_processor);
    load.call_cost = plumspoke::duration(absl::GetFlag(FLAGS_call_us));
    load.decision_cost = plumspoke::duration(absl::GetFlag(FLAGS_decision_us));
    load.start_cost = plumspoke::duration(absl::GetFlag(FLAGS_start_us));
    load.short_jobs_per_s *= absl::GetFlag(FLAGS_work);
    load.filler_jobs_per_s *= absl::GetFlag(FLAGS_work);
    load.seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
    load.short_objective_factor = 1.5;
    load.short_objective_extra_ms = 300;
    if (absl::GetFlag(FLAGS_lasting) > 0)
    {
        load.lasting_jobs_at_once = absl::GetFlag(FLAGS_lasting);
    }
    if (absl::GetFlag(FLAGS_lasting_rate) >= 0)
    {
        load.lasting_jobs_per_s = absl::GetFlag(FLAGS_lasting_rate);
    }
    plumspoke::test::busy_fleet fleet(load);
    if (const double lost_s = absl::GetFlag(FLAGS_leader_lost_s); lost_s > 0)
    {
        fleet.lose_leader(plumspoke::seconds(5),
                          plumspoke::duration(static_cast<std::int64_t>(1e6 * lost_s)));
    }
    if (absl::GetFlag(FLAGS_events))
    {
        fleet.listen(
            [](plumspoke::duration at, const plumspoke::logging::event& line)
            {
                if (line.name() == "placements" || line.name() == "task_stages")
                {
                    std::printf("%s\n", line.to_json(at.count() / 1000).c_str());
                }
            });
    }
    const int simulated_s = absl::GetFlag(FLAGS_seconds);
    const auto results = fleet.run(plumspoke::seconds(simulated_s));
    auto short_jobs = fleet.count_short_jobs(plumspoke::seconds(4), plumspoke::seconds(simulated_s - 6));
    std::sort(short_jobs.margins_ms.begin(), short_jobs.margins_ms.end());
    std::printf("short jobs: worth %.3f, in time %d, late %d, missed %d; margin p50 %lld ms\n",
                short_jobs.worth(),
                short_jobs.in_time,
                short_jobs.late,
                short_jobs.missed,
                short_jobs.margins_ms.empty()
                    ? 0LL
                    : static_cast<long long>(short_jobs.margins_ms[short_jobs.margins_ms.size() / 2]));
    std::printf("workers %zu: starts %llu, done %llu, lapsed %llu, decisions %llu, polls %llu\n",
                load.workers,
                static_cast<unsigned long long>(results.starts),
                static_cast<unsigned long long>(results.done),
                static_cast<unsigned long long>(results.lapsed),
                static_cast<unsigned long long>(results.decisions),
                static_cast<unsigned long long>(results.polls));
    std::printf("busy for %.2f s of processor time\n", results.busy_s);
    std::printf("processor: decisions %.3f s, answers %.3f s, records %.3f s; %.1f us a start; longest "
                "decision %.1f ms, "
                "99 of 100 within %.1f ms; longest wait %lld ms; "
                "runs %zu, live jobs %zu\n",
                results.decide_s,
                results.answers_s,
                results.record_s,
                results.us_per_start(),
                1000 * results.decision_quantile_s(1),
                1000 * results.decision_quantile_s(0.99),
                static_cast<long long>(results.longest_wait.count() / 1000),
                fleet.leader().runs().size(),
                fleet.state().live().size());
    return 0;
}
