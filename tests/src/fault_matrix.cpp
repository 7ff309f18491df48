// Injects each kind of fault at steps spread over a flow; a run without faults gives the number of steps.

#include "flows.hpp"
#include "plumspoke/logging/logging.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <iostream>

ABSL_FLAG(std::string, flow, "", "one flow; all where empty");
ABSL_FLAG(std::uint64_t, stride, 0, "try each n-th step; 0: as many steps as --cells allows, evenly spread");
ABSL_FLAG(std::uint64_t, cells, 60, "steps tried for each fault where --stride is 0");
ABSL_FLAG(std::uint64_t, pairs, 60, "pairs of faults tried");
ABSL_FLAG(std::uint64_t, seed, 1, "the world's seed");
ABSL_FLAG(std::string, fault, "", "one fault only");
ABSL_FLAG(std::uint64_t, step, 0, "one step only");

namespace
{

namespace pw = plumspoke::world;

struct tally
{
    std::uint64_t cells = 0;
    std::uint64_t failed = 0;
    std::uint64_t checks = 0;
};

void run_cell(std::string_view flow, pw::planned_fault first, pw::planned_fault second, tally& counted)
{
    const pw::run_result result = pw::run_flow(flow, first, second, absl::GetFlag(FLAGS_seed));
    ++counted.cells;
    counted.checks += result.checks;
    if (result.violations.empty())
    {
        return;
    }
    ++counted.failed;
    std::cout << "FAILED " << flow << " " << pw::to_string(first.kind) << " at step " << first.step;
    if (second.kind != pw::fault::none)
    {
        std::cout << " and " << pw::to_string(second.kind) << " " << second.step << " steps later";
    }
    std::cout << ": " << result.violations.front() << " (" << result.violations.size() << " in all)\n";
}

tally run_one_flow(std::string_view flow)
{
    tally total;
    const std::uint64_t steps = pw::run_flow(flow, {}, {}, absl::GetFlag(FLAGS_seed)).steps;
    run_cell(flow, {}, {}, total);
    const std::uint64_t requested_stride = absl::GetFlag(FLAGS_stride);
    const std::uint64_t stride = requested_stride > 0
                                     ? requested_stride
                                     : std::max<std::uint64_t>(1, steps / absl::GetFlag(FLAGS_cells));
    std::cout << flow << ": " << steps << " steps, every " << stride << "\n";
    for (std::size_t kind = 1; kind < pw::fault_count; ++kind)
    {
        const auto fault = static_cast<pw::fault>(kind);
        if (!absl::GetFlag(FLAGS_fault).empty() && absl::GetFlag(FLAGS_fault) != pw::to_string(fault))
        {
            continue;
        }
        tally counted;
        // Each kind of fault starts at a different offset, so that together they cover more steps than one
        // stride.
        for (std::uint64_t step = 1 + kind % stride; step <= steps; step += stride)
        {
            if (absl::GetFlag(FLAGS_step) == 0 || absl::GetFlag(FLAGS_step) == step)
            {
                run_cell(flow, {fault, step}, {}, counted);
            }
        }
        std::cout << "  " << pw::to_string(fault) << ": " << counted.cells << " cells, " << counted.failed
                  << " failed\n";
        total.cells += counted.cells;
        total.failed += counted.failed;
        total.checks += counted.checks;
    }
    tally pairs;
    for (std::uint64_t i = 0; i < absl::GetFlag(FLAGS_pairs) && absl::GetFlag(FLAGS_fault).empty(); ++i)
    {
        const auto first = static_cast<pw::fault>(1 + i % (pw::fault_count - 1));
        const auto second = static_cast<pw::fault>(1 + (i / 3 * 5 + i) % (pw::fault_count - 1));
        const std::uint64_t step = 1 + i * 7919 % std::max<std::uint64_t>(1, steps);
        run_cell(flow, {first, step}, {second, 1 + i * 31 % 200}, pairs);
    }
    std::cout << "  pairs: " << pairs.cells << " cells, " << pairs.failed << " failed\n";
    total.cells += pairs.cells;
    total.failed += pairs.failed;
    total.checks += pairs.checks;
    return total;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    plumspoke::logging::start(false);
    tally total;
    for (const std::string_view flow : pw::flow_names())
    {
        if (absl::GetFlag(FLAGS_flow).empty() || absl::GetFlag(FLAGS_flow) == flow)
        {
            const tally one = run_one_flow(flow);
            total.cells += one.cells;
            total.failed += one.failed;
            total.checks += one.checks;
        }
    }
    std::cout << total.cells << " cells, " << total.checks << " checks, " << total.failed
              << " cells failed, seed " << absl::GetFlag(FLAGS_seed) << "\n";
    return total.failed == 0 && total.cells > 0 ? 0 : 1;
}
