/// @file
/// @brief Clients hand jobs in while the leader is killed and an operator drops their route.

#include "../stand_in/platform.hpp"

#include <set>

namespace
{

using namespace review;

constexpr int server_count = 4;
constexpr int client_count = 32;
constexpr std::int64_t start_limit_ms = 20000;
// From the sending of the change until the leader is killed, in each round, as a share of the time that the
// same change has just taken.
constexpr std::array<double, 6> kill_delays = {0.6, 0.8, 1.0, 1.2, 1.4, 1.6};
constexpr double min_kill_delay_us = 5000; // the least that the pages name
constexpr int measurements = 5;
constexpr std::int64_t client_deadline_ms = 3000;

json make_configuration_of(std::uint64_t version, bool with_second_route)
{
    json out = make_configuration(version);
    if (with_second_route)
    {
        json route = out["routes"][0];
        route["name"] = "r-two";
        route["path-prefix"] = "/two/";
        out["routes"].push_back(route);
    }
    return out;
}

/// @brief What a client was told about each of its jobs.
class client_log
{
  public:
    void note(const std::string& id, int status)
    {
        const std::lock_guard lock(mutex_);
        answers_[id].push_back(status);
    }

    /// @brief Whether each attempt was answered with a rejection.
    [[nodiscard]] std::vector<std::string> rejected() const
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> out;
        for (const auto& [id, statuses] : answers_)
        {
            const bool all = std::all_of(statuses.begin(),
                                         statuses.end(),
                                         [](int status)
                                         {
                                             return status == 404 || status == 429 || status == 503;
                                         });
            if (all)
            {
                out.push_back(id);
            }
        }
        return out;
    }

    [[nodiscard]] std::string answers(const std::string& id) const
    {
        const std::lock_guard lock(mutex_);
        std::string out;
        for (const int status : answers_.at(id))
        {
            out += " " + std::to_string(status);
        }
        return out;
    }

  private:
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<int>> answers_;
};

/// @brief Hands one job after the other in. An attempt without an answer, or one answered with 502 or 504, is
///        repeated under the same id at another entry.
void run_client(
    const deployment& system, int number, const std::atomic<bool>& stopping, client_log& told, record& log)
{
    const json job = {{"spec", "ms=50 cpu=50"},
                      {"steps", {{{"count", 1}, {"cpu", 50}, {"mem-mb", 16}, {"estimate-ms", 50}}}}};
    const std::string body = job.dump();
    for (std::uint64_t sent = 1; !stopping; ++sent)
    {
        const std::string id = make_job_id((static_cast<std::uint64_t>(number) << 32U) + sent);
        for (std::size_t attempt = 0; attempt < 4; ++attempt)
        {
            const address to =
                system.entry((static_cast<std::size_t>(number) + attempt) % deployment::entry_count);
            const std::optional<http_response> got =
                call(to, "POST", "/two/" + id, "one.example", body, client_deadline_ms);
            const int status = got.has_value() ? got->status : 0;
            told.note(id, status);
            log.write("client POST /two/" + id + " to " + to.text() + ": " + std::to_string(status));
            if (status != 0 && status != 502 && status != 504)
            {
                break;
            }
            sleep_ms(100);
        }
        sleep_ms(5);
    }
}

/// @brief Sends the configuration that is in force again, which changes nothing.
/// @return the usual time until its acknowledgement, in microseconds
double measure_change(const address& leader, const std::string& configuration)
{
    std::vector<double> times;
    for (int i = 0; i < measurements; ++i)
    {
        const auto started_at = std::chrono::steady_clock::now();
        (void)call(leader, "PUT", "/config", leader.text(), configuration, 1000);
        const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - started_at;
        times.push_back(took.count());
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

int play(const std::filesystem::path& folder, const std::filesystem::path& data)
{
    record log(folder / "record.txt");
    deployment system(data, log);
    std::vector<std::string> ips;
    for (int i = 1; i <= server_count; ++i)
    {
        ips.push_back("127.0.0." + std::to_string(20 + i));
    }
    const std::vector<std::uint16_t> ports = find_free_ports(ips, 1);
    if (ports.empty() || !system.start())
    {
        return exit_not_run;
    }
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 1; i <= server_count; ++i)
    {
        server::options options;
        options.id = "i-" + std::to_string(i);
        options.at = {ips[static_cast<std::size_t>(i) - 1], ports[0]};
        options.control = system.controls();
        servers.push_back(std::make_unique<server>(options, log));
        if (!servers.back()->start())
        {
            return exit_not_run;
        }
    }
    const std::string both = make_configuration_of(1, true).dump();
    if (!send_order(system.controls(), "PUT", "/config", both, start_limit_ms, log))
    {
        return exit_not_run;
    }
    sleep_ms(3000);
    std::atomic<bool> stopping{false};
    client_log told;
    std::vector<std::thread> clients;
    for (int i = 1; i <= client_count; ++i)
    {
        clients.emplace_back(
            [&system, &stopping, &told, &log, i]
            {
                run_client(system, i, stopping, told, log);
            });
    }
    bool acknowledged = true;
    std::uint64_t version = 1;
    for (const double delay : kill_delays)
    {
        sleep_ms(2000);
        const std::size_t leader = system.find_leader();
        if (leader == deployment::control_count)
        {
            continue;
        }
        const double usual_us =
            measure_change(system.control(leader), make_configuration_of(version, true).dump());
        const double delay_us = std::max(delay * usual_us, min_kill_delay_us);
        const std::string dropped = make_configuration_of(++version, false).dump();
        std::thread first_try(
            [&system, &log, &dropped, leader]
            {
                const address to = system.control(leader);
                const std::optional<http_response> got = call(to, "PUT", "/config", to.text(), dropped, 1000);
                log.write("operator PUT /config without /two/ to " + to.text() + ": " +
                          (got.has_value() ? std::to_string(got->status) : "no answer"));
            });
        std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::int64_t>(delay_us)));
        if (has_trouble())
        {
            system.kill(leader);
            log.write("the leader, process " + std::to_string(leader) + ", was killed after " +
                      std::to_string(delay_us / 1000) + " ms");
        }
        first_try.join();
        acknowledged =
            send_order(system.controls(), "PUT", "/config", dropped, start_limit_ms, log) && acknowledged;
        if (has_trouble())
        {
            system.start(leader, false);
        }
        sleep_ms(3500);
        const std::string again = make_configuration_of(++version, true).dump();
        acknowledged =
            send_order(system.controls(), "PUT", "/config", again, start_limit_ms, log) && acknowledged;
    }
    sleep_ms(3000);
    stopping = true;
    for (std::thread& each : clients)
    {
        each.join();
    }
    sleep_ms(6000);
    std::set<std::string> started;
    for (const std::unique_ptr<server>& each : servers)
    {
        for (const seen_start& seen : each->starts())
        {
            started.insert(seen.task.substr(0, seen.task.find('.')));
        }
    }
    int broken = 0;
    for (const std::string& id : told.rejected())
    {
        if (started.contains(id))
        {
            ++broken;
            log.write("REFUSED: a task of " + id + " was started, though its client was told" +
                      told.answers(id));
        }
    }
    std::cout << "jobs that were rejected at each attempt and started all the same: " << broken << " of "
              << told.rejected().size() << " rejected, " << started.size() << " started\n";
    if (!acknowledged || started.empty())
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
