/// @file
/// @brief What it costs to lead a fleet: processor time of the leader's decisions for each start, by size
///        of the fleet; and what comes late when the leader's processor is small. Virtual time.

#include "busy_fleet.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <cstdio>

ABSL_FLAG(int, workers, 490, "workers of the fleet; the work grows with it");
ABSL_FLAG(int, seconds, 20, "virtual seconds to play");
ABSL_FLAG(double, processor, 0, "processors of the leader; 0: free");
ABSL_FLAG(int, call_us, 0, "processor time of each call to a worker, in microseconds");
ABSL_FLAG(double, work, 1, "times the usual work");
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
    load.processor = absl::GetFlag(FLAGS_processor);
    load.call_cost = plumspoke::duration(absl::GetFlag(FLAGS_call_us));
    load.short_jobs_per_s *= absl::GetFlag(FLAGS_work);
    load.filler_jobs_per_s *= absl::GetFlag(FLAGS_work);
    plumspoke::test::busy_fleet fleet(load);
    const auto seen = fleet.run(plumspoke::seconds(absl::GetFlag(FLAGS_seconds)));
    std::printf("workers %zu: starts %llu, done %llu, lapsed %llu, decisions %llu, polls %llu\n",
                load.workers,
                static_cast<unsigned long long>(seen.starts),
                static_cast<unsigned long long>(seen.done),
                static_cast<unsigned long long>(seen.lapsed),
                static_cast<unsigned long long>(seen.decisions),
                static_cast<unsigned long long>(seen.polls));
    std::printf("processor: decisions %.3f s, answers %.3f s, records %.3f s; %.1f us a start; longest "
                "decision %.1f ms, "
                "99 of 100 within %.1f ms; longest wait %lld ms; "
                "runs %zu, live jobs %zu\n",
                seen.decide_s,
                seen.answers_s,
                seen.record_s,
                seen.us_per_start(),
                1000 * seen.decision_quantile_s(1),
                1000 * seen.decision_quantile_s(0.99),
                static_cast<long long>(seen.longest_wait.count() / 1000),
                fleet.leader().runs().size(),
                fleet.state().live().size());
    return 0;
}
