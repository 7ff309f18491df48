// Long randomized runs of all flows with all kinds of faults. The printed seed reproduces a run.

#include "flows.hpp"
#include "plumspoke/logging/logging.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <iostream>

ABSL_FLAG(std::uint64_t, first_seed, 1, "the first seed");
ABSL_FLAG(std::uint64_t, seeds, 40, "how many seeds");
ABSL_FLAG(std::int64_t, seconds, 60, "virtual seconds under faults for each seed");
ABSL_FLAG(double, fault_chance, 0.0008, "chance of a fault at each step");

int main(int argc, char** argv)
{
    namespace pw = plumspoke::world;
    absl::ParseCommandLine(argc, argv);
    plumspoke::logging::start(false);
    std::uint64_t failed = 0;
    std::uint64_t checks = 0;
    for (std::uint64_t i = 0; i < absl::GetFlag(FLAGS_seeds); ++i)
    {
        const std::uint64_t seed = absl::GetFlag(FLAGS_first_seed) + i;
        const pw::run_result result = pw::run_random(
            seed, plumspoke::seconds(absl::GetFlag(FLAGS_seconds)), absl::GetFlag(FLAGS_fault_chance));
        checks += result.checks;
        if (!result.violations.empty())
        {
            ++failed;
            std::cout << "FAILED seed " << seed << ": " << result.violations.front() << " ("
                      << result.violations.size() << " in all)\n";
        }
    }
    std::cout << absl::GetFlag(FLAGS_seeds) << " seeds from " << absl::GetFlag(FLAGS_first_seed) << ", "
              << checks << " checks, " << failed << " seeds failed\n";
    return failed == 0 ? 0 : 1;
}
