#include "tables.hpp"

#include <iomanip>
#include <iostream>

namespace plumspoke::cli
{

namespace
{

void print_steps(const nlohmann::json& steps)
{
    for (const nlohmann::json& step : steps)
    {
        std::cout << "  " << std::left << std::setw(11) << step.value("action", "") << std::setw(28)
                  << step.value("subject", "") << step.value("reason", "") << "\n";
    }
}

} // namespace

void print_plan(const nlohmann::json& plan)
{
    std::cout << "Plan " << plan.value("id", 0) << ", based on version " << plan.value("based_on", 0)
              << ":\n";
    print_steps(plan.value("steps", nlohmann::json::array()));
    if (plan.value("refused", false))
    {
        std::cout << "It can't be carried out as it stands.\n";
        return;
    }
    std::cout << "Nothing has changed yet. To carry it out: plumspoke plan confirm " << plan.value("id", 0)
              << "\n";
}

void print_rows(const nlohmann::json& rows, const std::vector<std::string>& columns)
{
    constexpr int width = 18;
    for (const std::string& column : columns)
    {
        std::cout << std::left << std::setw(width) << column;
    }
    std::cout << "\n";
    for (const nlohmann::json& row : rows)
    {
        for (const std::string& column : columns)
        {
            const nlohmann::json value = row.value(column, nlohmann::json());
            const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
            std::cout << std::left << std::setw(width) << (value.is_null() ? "-" : text) << " ";
        }
        std::cout << "\n";
    }
}

void print_status(const nlohmann::json& status)
{
    const nlohmann::json& replicas = status.at("replicas");
    std::cout << "Version " << status.value("version", 0) << " by " << status.value("changed_by", "") << ", "
              << (status.value("in_force", false) ? "in force everywhere" : "not yet in force everywhere")
              << "\n\n";
    std::cout << "Replicas (leader " << replicas.value("leader", "") << ", term " << replicas.value("term", 0)
              << ")\n";
    print_rows(replicas.at("members"), {"name", "voter", "leader", "lag"});
    const nlohmann::json evacuated = status.value("evacuated_zones", nlohmann::json::array());
    std::cout << "\nEvacuated zones: " << (evacuated.empty() ? "none" : evacuated.dump()) << "\n";
    std::cout << "\nEntries\n";
    print_rows(status.at("entries"), {"entry", "version", "serving", "slots"});
    std::cout << "\nWorkers\n";
    nlohmann::json workers = status.at("workers");
    for (nlohmann::json& worker : workers)
    {
        const auto format_usage = [&worker](const char* field)
        {
            return std::to_string(worker.at("used").value(field, 0)) + "/" +
                   std::to_string(worker.at("capacity").value(field, 0));
        };
        worker["millicores"] = format_usage("millicores");
        worker["memory_mb"] = format_usage("memory_mb");
    }
    print_rows(
        workers,
        {"worker", "availability_zone", "millicores", "memory_mb", "tasks", "live", "leaving", "set_aside"});
    std::cout << "\nJobs: " << status.at("jobs").dump() << "\n";
    for (const nlohmann::json& one : status.at("cannot_run"))
    {
        std::cout << "  cannot run: " << one.value("job", "") << ", " << one.value("reason", "") << "\n";
    }
}

void print_job(const nlohmann::json& job)
{
    const nlohmann::json live = job.value("live", nlohmann::json());
    std::cout << "Job " << job.at("spec").value("id", "") << ": " << job.value("phase", "") << ", "
              << job.value("reason", "") << "\n";
    if (live.is_object())
    {
        std::cout << "  worker " << live.value("worker", "") << ", token " << live.value("token", 0)
                  << ", order " << live.value("order", "")
                  << (live.value("reason", "").empty() ? "" : ", because: ") << live.value("reason", "")
                  << "\n";
    }
    std::cout << "  attempts " << job.value("attempts", 0) << ", interruptions "
              << job.value("interruptions", 0) << ", resumes " << job.value("resumes", 0) << ", failures "
              << job.value("failures", 0) << "\n";
    if (!job.value("result", "").empty())
    {
        std::cout << "  result: " << job.value("result", "") << "\n";
    }
}

} // namespace plumspoke::cli
