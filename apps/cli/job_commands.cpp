/// @file
/// @brief Commands for jobs and workers.

#include "commands.hpp"
#include "conversation.hpp"
#include "tables.hpp"

#include <algorithm>
#include <iostream>

namespace plumspoke::cli
{

using operators::control_answer;
using operators::control_api_client;

namespace
{

int job_submit(const std::string& path)
{
    const std::optional<nlohmann::json> document = read_document(path);
    if (!document.has_value())
    {
        return exit_usage;
    }
    return print_answer(make_client().post("/v1/jobs", *document),
                        [](const nlohmann::json& body)
                        {
                            std::cout << "Job " << body.at("detail").value("job", "")
                                      << " is accepted: " << body.at("detail").value("phase", "") << "\n";
                        });
}

int job_cancel(arguments ids)
{
    control_api_client client = make_client();
    int code = exit_done;
    for (const char* id : ids)
    {
        const control_answer answer =
            client.post("/v1/jobs/" + std::string(id) + "/cancel", nlohmann::json::object());
        const int exit_code = print_answer(answer,
                                           [id](const nlohmann::json& body)
                                           {
                                               std::cout << "Job " << id << ": "
                                                         << body.at("detail").value("phase", "") << ", "
                                                         << body.at("detail").value("reason", "") << "\n";
                                           });
        code = std::max(code, exit_code);
    }
    return code;
}

} // namespace

int job_command(arguments words)
{
    const std::string verb = words.empty() ? "" : words[0];
    if (verb == "list" && words.size() == 1)
    {
        return print_answer(make_client().get("/v1/jobs"),
                            [](const nlohmann::json& body)
                            {
                                print_rows(body, {"job", "team", "phase", "worker", "reason"});
                            });
    }
    if (verb == "submit" && words.size() == 2)
    {
        return job_submit(words[1]);
    }
    if (verb == "status" && words.size() == 2)
    {
        return print_answer(make_client().get("/v1/jobs/" + std::string(words[1])), &print_job);
    }
    if (verb == "cancel" && words.size() >= 2)
    {
        return job_cancel(words.subspan(1));
    }
    std::cerr << "plumspoke: job submit FILE, job list, job status ID, or job cancel ID...\n";
    return exit_usage;
}

int worker_command(arguments words)
{
    const std::string verb = words.empty() ? "" : words[0];
    if (words.size() != 2 || (verb != "take_back" && verb != "set_aside"))
    {
        std::cerr << "plumspoke: worker take_back NAME, or worker set_aside NAME\n";
        return exit_usage;
    }
    return print_answer(
        make_client().post("/v1/workers/" + std::string(words[1]) + "/" + verb, nlohmann::json::object()),
        [](const nlohmann::json&)
        {
            std::cout << "Done.\n";
        });
}

} // namespace plumspoke::cli
