/// @file
/// @brief A control process freezes while an operator takes an evacuation back, and thaws after the zone was
///        evacuated again.

#include "../stand_in/platform.hpp"

namespace
{

using namespace review;

constexpr std::int64_t evacuation_ms = 5000;    // bounds of the settings
constexpr std::int64_t contact_ms = 4000;       // after the thaw, until all machines are in touch
constexpr std::int64_t max_extension_ms = 6000; // while the core is unstable
constexpr std::int64_t frozen_ms = 3900;
constexpr std::int64_t start_limit_ms = 20000;
constexpr std::int64_t watched_ms = 6000; // after the bound
constexpr std::int64_t operator_pause_ms = 1000;
constexpr const char* zone = "z1";

json make_job()
{
    return {{"spec", "ms=300 cpu=500"},
            {"steps", {{{"count", 8}, {"cpu", 500}, {"mem-mb", 64}, {"estimate-ms", 300}}}}};
}

int play(const std::filesystem::path& folder, const std::filesystem::path& data)
{
    record log(folder / "record.txt");
    deployment system(data, log);
    const std::vector<std::uint16_t> ports = find_free_ports({"127.0.0.21", "127.0.0.22"}, 1);
    if (ports.empty() || !system.start())
    {
        return exit_not_run;
    }
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 1; i <= 2; ++i)
    {
        server::options options;
        options.id = "i-" + std::to_string(i);
        options.zone = "z" + std::to_string(i);
        options.at = {"127.0.0.2" + std::to_string(i), ports[0]};
        options.control = system.controls();
        servers.push_back(std::make_unique<server>(options, log));
        if (!servers.back()->start())
        {
            return exit_not_run;
        }
    }
    const std::vector<address> controls = system.controls();
    if (!send_order(controls, "PUT", "/config", make_configuration(1).dump(), start_limit_ms, log))
    {
        return exit_not_run;
    }
    sleep_ms(3000);
    const std::size_t leader = system.find_leader();
    if (leader == deployment::control_count)
    {
        return exit_not_run;
    }
    // The operator picks the same control process first for each order, and the next one after a second
    // without a response.
    const std::size_t first = (leader + 1) % deployment::control_count;
    std::vector<address> order = {system.control(first),
                                  system.control((first + 1) % deployment::control_count),
                                  system.control((first + 2) % deployment::control_count)};
    const std::string path = std::string("/evacuate/") + zone;
    if (!send_order(order, "POST", path, "", start_limit_ms, log))
    {
        return exit_not_run;
    }
    if (has_trouble())
    {
        log.write("control process " + order[0].text() + " freezes");
        system.signal(first, SIGSTOP);
    }
    const std::int64_t frozen_at = now_ms();
    if (!send_order(order, "DELETE", path, "", start_limit_ms, log))
    {
        return exit_not_run;
    }
    sleep_ms(operator_pause_ms);
    std::rotate(order.begin(), order.begin() + (has_trouble() ? 1 : 0), order.end());
    if (!send_order(order, "POST", path, "", start_limit_ms, log))
    {
        return exit_not_run;
    }
    const std::int64_t acknowledged_at = now_ms();
    sleep_ms(std::max<std::int64_t>(frozen_at + frozen_ms - now_ms(), 0));
    if (has_trouble())
    {
        log.write("control process thaws");
        system.signal(first, SIGCONT);
    }
    const std::int64_t judged_from =
        std::max(acknowledged_at + evacuation_ms + max_extension_ms, now_ms() + contact_ms);
    sleep_ms(judged_from - now_ms());
    std::uint64_t number = 1;
    for (const std::int64_t until = now_ms() + watched_ms; now_ms() < until; sleep_ms(400))
    {
        (void)submit(system, make_job_id(number), make_job(), log);
        ++number;
    }
    int broken = 0;
    for (const seen_start& one : servers[0]->starts())
    {
        if (one.at_ms > judged_from)
        {
            ++broken;
            log.write("EVAC: " + one.task + " was started in " + zone + " " +
                      std::to_string(one.at_ms - acknowledged_at) + " ms after the acknowledgement");
        }
    }
    std::cout << "starts in the evacuated zone after the bound: " << broken
              << ", in the other zone: " << servers[1]->starts().size() << "\n";
    if (servers[0]->starts().empty() && servers[1]->starts().empty())
    {
        return exit_not_run;
    }
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 3 ? play(argv[1], argv[2]) : exit_not_run;
}
