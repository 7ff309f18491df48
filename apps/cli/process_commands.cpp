/// @file
/// @brief Commands that inspect a single process: its settings and its counters.

#include "commands.hpp"
#include "conversation.hpp"
#include "plumspoke/http/client.hpp"
#include "plumspoke/settings/process_settings.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <iostream>
#include <string_view>

namespace plumspoke::cli
{

int settings_command(arguments words)
{
    if (words.size() == 1 && std::string_view(words[0]) == "describe")
    {
        std::cout << settings::describe_settings();
        return exit_done;
    }
    if (words.size() != 2 || std::string_view(words[0]) != "check")
    {
        std::cerr << "plumspoke: settings check FILE, or settings describe\n";
        return exit_usage;
    }
    std::vector<settings::fault> faults;
    (void)settings::load_process_settings(words[1], faults);
    for (const settings::fault& fault : faults)
    {
        std::cerr << "settings: " << fault.path << " " << fault.message << "\n";
    }
    if (faults.empty())
    {
        std::cout << words[1] << " is good.\n";
    }
    return faults.empty() ? exit_done : exit_usage;
}

int counters_command(arguments words)
{
    const std::string address = words.empty() ? "" : words[0];
    const std::vector<std::string> control = absl::StrSplit(absl::GetFlag(FLAGS_control), ',');
    for (const char* path : {"/_plumspoke/metrics", "/metrics"})
    {
        http::request request;
        request.method = "GET";
        request.path = path;
        const auto answer = http::call(address.empty() ? control.front() : address,
                                       request,
                                       milliseconds(absl::GetFlag(FLAGS_limit_ms)));
        if (answer.has_value() && answer->status == 200)
        {
            std::cout << answer->body;
            return exit_done;
        }
    }
    std::cerr << "plumspoke: no counters at " << (address.empty() ? control.front() : address) << "\n";
    return exit_not_reached;
}

} // namespace plumspoke::cli
