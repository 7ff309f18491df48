/// @file
/// @brief The command-line client for operators. Exit codes: 0 success, 1 request refused, 2 invalid usage or
///        settings, 3 control VMs unreachable.

#include "cli/commands.hpp"
#include "cli/conversation.hpp"
#include "cli/tables.hpp"
#include "plumspoke/logging/logging.hpp"
#include "plumspoke/operator/error_list.hpp"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace
{

namespace ps = plumspoke;
using namespace ps::cli;

constexpr const char* usage_text = R"(plumspoke [FLAGS] COMMAND

  settings check FILE     check a process's settings; prints each fault with its path
  settings describe       all whole-number settings with unit, default and range
  intent apply FILE       state what you want; prints the plan, changes nothing
  intent list             the services and teams in force
  plan list               plans and how they ended
  plan show ID            one plan's steps
  plan confirm ID         carry a plan out, and wait until it is in force everywhere
  plan discard ID         drop a plan
  zone evacuate NAME      start nothing new in an availability zone; prints the plan, changes nothing
  zone restore NAME       use the zone again; prints the plan, changes nothing
  zone list               the evacuated zones
  job submit FILE         hand in a job; its id is its identity, a resend is the same job
  job list                all jobs
  job status ID           one job, with its result
  job cancel ID...        cancel jobs
  worker take_back NAME   give a worker that was set aside another chance
  worker set_aside NAME   place nothing new on a worker
  explain JOB             why a job is where it is
  status                  replicas, entries, workers, jobs at a glance
  counters [ADDRESS]      counters of a process, the leader's without an address
  errors                  all numbered errors and what they mean

Exit codes: 0 done, 1 refused, 2 usage or settings, 3 control not reached.
Flags: --control --json --operator --request --based_on --limit_ms --wait (see --helpfull))";

int run_command(arguments words)
{
    const std::string command = words.empty() ? "" : words[0];
    const arguments rest = words.empty() ? words : words.subspan(1);
    if (command == "settings")
    {
        return settings_command(rest);
    }
    if (command == "intent")
    {
        return intent_command(rest);
    }
    if (command == "plan")
    {
        return plan_command(rest);
    }
    if (command == "zone")
    {
        return zone_command(rest);
    }
    if (command == "job")
    {
        return job_command(rest);
    }
    if (command == "worker")
    {
        return worker_command(rest);
    }
    if (command == "explain" && rest.size() == 1)
    {
        return print_answer(make_client().get("/v1/explain/" + std::string(rest[0])),
                            [](const nlohmann::json& body)
                            {
                                for (const nlohmann::json& line : body.at("lines"))
                                {
                                    std::cout << line.get<std::string>() << "\n";
                                }
                            });
    }
    if (command == "status")
    {
        return print_answer(make_client().get("/v1/status"), &print_status);
    }
    if (command == "errors")
    {
        std::cout << ps::operators::describe_errors();
        return exit_done;
    }
    if (command == "counters")
    {
        return counters_command(rest);
    }
    std::cerr << usage_text << "\n";
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage_text);
    const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    ps::logging::start(false);
    return run_command(arguments(words).subspan(1));
}
