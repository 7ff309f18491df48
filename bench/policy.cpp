// Compares the tail latency, batch throughput and evictions of policies on the same seeded loads, and
// measures the cost of a decision.

#include "plumspoke/logging/logging.hpp"
#include "policy_world.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

ABSL_FLAG(std::uint64_t, seeds, 10, "how many seeds");
ABSL_FLAG(std::uint64_t, first_seed, 1, "the first seed");
ABSL_FLAG(std::string, scenario, "", "codewell, souk-atlas or unseen; the first two where empty");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(bool, check, false, "exit with 1 where an aim is missed, and name it");
ABSL_FLAG(bool, cost, true, "measure a decision's cost too");
ABSL_FLAG(std::string,
          csv,
          "",
          "write the first seed's course by minute to this file, for scripts/plot_policy");
ABSL_FLAG(std::uint64_t, threads, 4, "runs side by side");

namespace
{

namespace pb = plumspoke::bench;
namespace pc = plumspoke::control;

constexpr double max_p99_ratio = 1.10;
constexpr double min_throughput_ratio = 0.97;
constexpr double max_eviction_ratio = 0.25;

std::vector<pb::policy_choice> policies()
{
    return {{"no batch", pc::least_interference{}, pc::no_reaction{}, true, false},
            {"first fit", pc::first_fit{}, pc::no_reaction{}, false, true},
            {"least loaded", pc::least_loaded{}, pc::no_reaction{}, false, true},
            {"random of two", pc::random_of_two{}, pc::no_reaction{}, false, true},
            {"evict at once", pc::least_loaded{}, pc::evict_immediately{}, false, true},
            {"without pairs", pc::least_interference{false}, pc::throttle_first{}, true, true},
            {"plumspoke", pc::least_interference{true}, pc::throttle_first{}, true, true}};
}

/// Outcomes of a scenario, indexed by policy and seed.
using outcome_table = std::vector<std::vector<pb::outcome>>;

outcome_table run_all(const pb::scenario& deployment, const std::vector<pb::policy_choice>& choices)
{
    const std::uint64_t seeds = absl::GetFlag(FLAGS_seeds);
    outcome_table table(choices.size(), std::vector<pb::outcome>(seeds));
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::uint64_t t = 0; t < absl::GetFlag(FLAGS_threads); ++t)
    {
        threads.emplace_back(
            [&]
            {
                for (std::size_t i = next++; i < choices.size() * seeds; i = next++)
                {
                    table[i / seeds][i % seeds] =
                        pb::run(deployment, choices[i / seeds], absl::GetFlag(FLAGS_first_seed) + i % seeds);
                }
            });
    }
    for (std::thread& one : threads)
    {
        one.join();
    }
    return table;
}

struct sample_range
{
    double lowest = 0;
    double median = 0;
    double highest = 0;
};

template <typename Value> sample_range summarize(const std::vector<pb::outcome>& runs, Value value)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const pb::outcome& one : runs)
    {
        values.push_back(value(one));
    }
    std::sort(values.begin(), values.end());
    return {values.front(), values[values.size() / 2], values.back()};
}

std::string format_range(const sample_range& one, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << one.median << " (" << one.lowest << ".." << one.highest
        << ")";
    return out.str();
}

void print_table(const pb::scenario& deployment,
                 const std::vector<pb::policy_choice>& choices,
                 const outcome_table& table)
{
    std::cout << "\n"
              << deployment.name << ", " << deployment.workers << " workers, " << table[0].size()
              << " seeds from " << absl::GetFlag(FLAGS_first_seed) << "; median (lowest..highest)\n";
    std::cout << std::left << std::setw(16) << "policy" << std::setw(26) << "p99 ms" << std::setw(28)
              << "batch core-hours" << std::setw(22) << "evictions" << std::setw(22) << "throttles"
              << "worst urgent wait s\n";
    for (std::size_t i = 0; i < choices.size(); ++i)
    {
        std::cout << std::setw(16) << choices[i].name << std::setw(26)
                  << format_range(summarize(table[i],
                                            [](const pb::outcome& o)
                                            {
                                                return o.p99_ms;
                                            }),
                                  1)
                  << std::setw(28)
                  << format_range(summarize(table[i],
                                            [](const pb::outcome& o)
                                            {
                                                return o.batch_hours;
                                            }),
                                  0)
                  << std::setw(22)
                  << format_range(summarize(table[i],
                                            [](const pb::outcome& o)
                                            {
                                                return static_cast<double>(o.evictions);
                                            }),
                                  0)
                  << std::setw(22)
                  << format_range(summarize(table[i],
                                            [](const pb::outcome& o)
                                            {
                                                return static_cast<double>(o.throttles);
                                            }),
                                  0)
                  << format_range(summarize(table[i],
                                            [](const pb::outcome& o)
                                            {
                                                return o.worst_urgent_wait_s;
                                            }),
                                  0)
                  << "\n";
    }
}

/// Compares the outcomes of the last policy with the targets that users set.
/// @return one line per missed target
std::vector<std::string> find_missed_targets(const pb::scenario& deployment,
                                             const std::vector<pb::policy_choice>& choices,
                                             const outcome_table& table)
{
    std::vector<std::string> result;
    const std::size_t own = choices.size() - 1;
    std::uint64_t p99_missed = 0;
    std::uint64_t worse_than_baseline = 0;
    std::uint64_t throughput_missed = 0;
    std::uint64_t evictions_missed = 0;
    for (std::size_t seed = 0; seed < table[own].size(); ++seed)
    {
        const pb::outcome& ours = table[own][seed];
        p99_missed += ours.p99_ms > max_p99_ratio * table[0][seed].p99_ms ? 1U : 0U;
        double best_hours = 0;
        for (std::size_t i = 1; i < own; ++i)
        {
            worse_than_baseline += ours.p99_ms >= table[i][seed].p99_ms ? 1U : 0U;
            best_hours = std::max(best_hours, table[i][seed].batch_hours);
        }
        throughput_missed += ours.batch_hours < min_throughput_ratio * best_hours ? 1U : 0U;
        evictions_missed += static_cast<double>(ours.evictions) >
                                    max_eviction_ratio * static_cast<double>(table[4][seed].evictions)
                                ? 1U
                                : 0U;
    }
    const auto add = [&](std::uint64_t count, const char* aim)
    {
        if (count > 0)
        {
            result.push_back(deployment.name + ": missed on " + std::to_string(count) + " seeds: " + aim);
        }
    };
    add(p99_missed, "p99 at most 1.10 of the load without batch");
    add(worse_than_baseline, "p99 better than each baseline (seeds times baselines)");
    add(throughput_missed, "batch throughput at least 0.97 of the best baseline's");
    add(evictions_missed, "evictions at most a quarter of evict at once");
    return result;
}

void write_csv(const std::vector<pb::policy_choice>& choices,
               const outcome_table& table,
               const std::string& path)
{
    std::ofstream out(path);
    out << "policy,minute,p99_ms,core_hours,evictions\n";
    for (std::size_t i = 0; i < choices.size(); ++i)
    {
        const pb::outcome& one = table[i][0];
        for (std::size_t minute = 0; minute < one.p99_by_minute.size(); ++minute)
        {
            out << choices[i].name << "," << minute + 1 << "," << one.p99_by_minute[minute] << ","
                << one.hours_by_minute[minute] << "," << one.evictions_by_minute[minute] << "\n";
        }
    }
}

/// Measures the cost of a placement in rounds of 350, which corresponds to 3,500 starts per second with a
/// round every 100 ms.
double microseconds_per_decision(std::size_t workers)
{
    constexpr int rounds = 12;
    constexpr int jobs_a_round = 350;
    pc::control_state state;
    std::uint64_t index = 0;
    pc::make_plan plan;
    plan.document.teams.push_back({"team", {1'000'000'000, 1'000'000'000, 0}});
    const pc::command_answer made = pc::apply(state, ++index, plan);
    (void)pc::apply(state, ++index, pc::confirm_plan{"c", made.id});
    for (std::size_t i = 0; i < workers; ++i)
    {
        (void)pc::apply(
            state, ++index, pc::register_worker{"w" + std::to_string(i), "1", "", "", {64'000, 250'000, 0}});
    }
    pc::policy policy({}, 1);
    const plumspoke::time_point start = plumspoke::from_microseconds(3'600'000'000);
    std::int64_t spent_ns = 0;
    std::uint64_t decided = 0;
    for (int round = 0; round < rounds; ++round)
    {
        for (int i = 0; i < jobs_a_round; ++i)
        {
            pc::submit_job job;
            job.spec.id = std::to_string(round) + "-" + std::to_string(i);
            job.spec.team = "team";
            job.spec.work_class = "marking";
            job.spec.declared = {100, 100, 0};
            (void)pc::apply(state, ++index, job);
        }
        const auto began = std::chrono::steady_clock::now();
        const std::vector<pc::command> commands = policy.decide(start + plumspoke::milliseconds(100 * round),
                                                                state,
                                                                [](const std::string&)
                                                                {
                                                                    return true;
                                                                });
        spent_ns += (std::chrono::steady_clock::now() - began).count();
        for (const pc::command& one : commands)
        {
            decided += std::holds_alternative<pc::place_task>(one) ? 1U : 0U;
            (void)pc::apply(state, ++index, one);
        }
    }
    return static_cast<double>(spent_ns) / 1000 / static_cast<double>(std::max<std::uint64_t>(1, decided));
}

std::vector<std::string> measure_cost()
{
    std::vector<std::string> missed;
    const double cost_at_50 = microseconds_per_decision(50);
    std::cout << "\na decision's cost, in rounds of 350 placements\n";
    for (const std::size_t workers : {std::size_t(50), std::size_t(1000), std::size_t(23000)})
    {
        const double cost = microseconds_per_decision(workers);
        constexpr double starts_per_second = 3500;
        std::cout << std::setw(8) << workers << " workers: " << std::fixed << std::setprecision(2) << cost
                  << " us, " << cost / cost_at_50 << " of the cost at 50; 3500 a second take "
                  << std::setprecision(1) << cost * starts_per_second / 1e4 << " % of a core\n";
        const double growth = cost / cost_at_50 / (static_cast<double>(workers) / 50);
        if (workers > 50 && growth > 0.5)
        {
            missed.push_back("a decision's cost grows by " + std::to_string(growth) +
                             " of the workers' number");
        }
    }
    return missed;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    plumspoke::logging::start(false);
    std::vector<pb::scenario> scenarios;
    for (const pb::scenario& one : {pb::codewell(), pb::souk_atlas(), pb::unseen()})
    {
        const std::string asked = absl::GetFlag(FLAGS_scenario);
        if (asked.empty() ? one.name != "unseen" : one.name == asked)
        {
            scenarios.push_back(one);
        }
    }
    const std::vector<pb::policy_choice> choices = policies();
    std::vector<std::string> missed;
    nlohmann::json report = nlohmann::json::array();
    for (const pb::scenario& deployment : scenarios)
    {
        const outcome_table table = run_all(deployment, choices);
        if (absl::GetFlag(FLAGS_json))
        {
            for (std::size_t i = 0; i < choices.size(); ++i)
            {
                for (std::size_t seed = 0; seed < table[i].size(); ++seed)
                {
                    const pb::outcome& one = table[i][seed];
                    report.push_back({{"scenario", deployment.name},
                                      {"policy", choices[i].name},
                                      {"seed", absl::GetFlag(FLAGS_first_seed) + seed},
                                      {"p99_ms", one.p99_ms},
                                      {"core_hours", one.batch_hours},
                                      {"evictions", one.evictions},
                                      {"throttles", one.throttles}});
                }
            }
        }
        else
        {
            print_table(deployment, choices, table);
        }
        if (!absl::GetFlag(FLAGS_csv).empty())
        {
            write_csv(choices, table, absl::GetFlag(FLAGS_csv) + "-" + deployment.name + ".csv");
        }
        for (std::string& one : find_missed_targets(deployment, choices, table))
        {
            missed.push_back(std::move(one));
        }
    }
    if (absl::GetFlag(FLAGS_json))
    {
        std::cout << report.dump(2) << "\n";
    }
    else if (absl::GetFlag(FLAGS_cost))
    {
        for (std::string& one : measure_cost())
        {
            missed.push_back(std::move(one));
        }
    }
    for (const std::string& one : missed)
    {
        std::cout << "MISSED " << one << "\n";
    }
    return absl::GetFlag(FLAGS_check) && !missed.empty() ? 1 : 0;
}
