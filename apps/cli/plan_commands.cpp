/// @file
/// @brief Commands for intents (desired configurations) and the plans computed from them.

#include "commands.hpp"
#include "conversation.hpp"
#include "tables.hpp"

#include <absl/flags/flag.h>
#include <chrono>
#include <iostream>
#include <string_view>
#include <thread>
#include <unistd.h>

namespace plumspoke::cli
{

using operators::control_answer;
using operators::control_api_client;

namespace
{

constexpr auto in_force_poll_interval = std::chrono::milliseconds(100);

int make_plan(const nlohmann::json& intent)
{
    control_api_client client = make_client();
    std::int64_t based_on = absl::GetFlag(FLAGS_based_on);
    if (based_on < 0)
    {
        const control_answer current = client.get("/v1/configuration");
        if (!current.accepted())
        {
            return print_answer(current, {});
        }
        based_on = current.body.value("version", 0);
    }
    const control_answer answer = client.post("/v1/plans",
                                              {{"request", request_identity()},
                                               {"operator", operator_name()},
                                               {"based_on", based_on},
                                               {"intent", intent}});
    const int code = print_answer(answer,
                                  [](const nlohmann::json& body)
                                  {
                                      print_plan(body.at("detail"));
                                  });
    const bool refused = answer.accepted() && answer.body.at("detail").value("refused", false);
    return refused ? exit_refused : code;
}

int intent_apply(const std::string& path)
{
    const std::optional<nlohmann::json> document = read_document(path);
    return document.has_value() ? make_plan(*document) : exit_usage;
}

int wait_until_in_force(control_api_client& client, std::uint64_t version)
{
    const bool on_terminal = ::isatty(STDERR_FILENO) != 0;
    const auto end = boot_clock::now() + std::chrono::milliseconds(absl::GetFlag(FLAGS_limit_ms));
    while (boot_clock::now() < end)
    {
        const control_answer answer = client.get("/v1/in_force/" + std::to_string(version));
        if (answer.accepted() && answer.body.value("in_force", false))
        {
            std::cout << "Version " << version << " is in force everywhere.\n";
            return exit_done;
        }
        if (on_terminal)
        {
            std::cerr << "." << std::flush;
        }
        std::this_thread::sleep_for(in_force_poll_interval);
    }
    std::cerr << "plumspoke: version " << version
              << " is accepted, but not yet known to be in force everywhere; see plumspoke status\n";
    return exit_not_reached;
}

} // namespace

int intent_command(arguments words)
{
    if (words.size() == 2 && std::string_view(words[0]) == "apply")
    {
        return intent_apply(words[1]);
    }
    if (words.size() == 1 && std::string_view(words[0]) == "list")
    {
        return print_answer(
            make_client().get("/v1/configuration"),
            [](const nlohmann::json& config)
            {
                std::cout << "Version " << config.value("version", 0) << " by "
                          << config.value("changed_by", "") << "\n";
                print_rows(config.at("services"),
                           {"name", "team", "answer_within_ms", "safe_to_repeat", "slots_per_worker"});
                print_rows(config.at("teams"), {"name", "quota"});
            });
    }
    std::cerr << "plumspoke: intent apply FILE, or intent list\n";
    return exit_usage;
}

int zone_command(arguments words)
{
    const std::string_view verb = words.empty() ? "" : words[0];
    if (verb == "list" && words.size() == 1)
    {
        return print_answer(make_client().get("/v1/configuration"),
                            [](const nlohmann::json& config)
                            {
                                for (const nlohmann::json& zone :
                                     config.value("evacuated_zones", nlohmann::json::array()))
                                {
                                    std::cout << zone.get<std::string>() << "\n";
                                }
                            });
    }
    if (words.size() != 2 || (verb != "evacuate" && verb != "restore"))
    {
        std::cerr << "plumspoke: zone evacuate NAME, zone restore NAME, or zone list\n";
        return exit_usage;
    }
    nlohmann::json intent;
    intent[std::string(verb) + "_zones"] = nlohmann::json::array({words[1]});
    return make_plan(intent);
}

int plan_command(arguments words)
{
    const std::string verb = words.empty() ? "" : words[0];
    if (verb == "list" && words.size() == 1)
    {
        return print_answer(make_client().get("/v1/plans"),
                            [](const nlohmann::json& body)
                            {
                                print_rows(body, {"id", "based_on", "operator", "phase", "refused", "steps"});
                            });
    }
    if (words.size() != 2 || (verb != "show" && verb != "confirm" && verb != "discard"))
    {
        std::cerr << "plumspoke: plan list, plan show ID, plan confirm ID, or plan discard ID\n";
        return exit_usage;
    }
    control_api_client client = make_client();
    const std::string path = "/v1/plans/" + std::string(words[1]);
    if (verb == "show")
    {
        return print_answer(client.get(path), &print_plan);
    }
    const control_answer answer = client.post(path + "/" + verb, {{"request", request_identity()}});
    std::uint64_t version = 0;
    const int code = print_answer(answer,
                                  [&](const nlohmann::json& body)
                                  {
                                      version = body.value("version", 0U);
                                      std::cout << "Plan " << words[1]
                                                << (verb == "confirm" ? " is accepted as version "
                                                                      : " is discarded at version ")
                                                << version << ".\n";
                                  });
    if (code != exit_done || verb == "discard" || !absl::GetFlag(FLAGS_wait) || absl::GetFlag(FLAGS_json))
    {
        return code;
    }
    return wait_until_in_force(client, version);
}

} // namespace plumspoke::cli
