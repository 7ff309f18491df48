/// @file
/// @brief Stops an entry process again and again while clients use it until the process has ended. Every
/// request
///        that it has taken gets a response.
///
/// The process is started by entry_soak.sh, whenever the last one has ended. A share of a processor is
/// imposed on it by suspending it within each tenth of a second.

#include "draining_entry_fixture.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <span>

ABSL_FLAG(std::string, folder, "", "where settings.json and done are written, and pid is read");
ABSL_FLAG(std::uint64_t, seed, 1, "of the random numbers");
ABSL_FLAG(int, stops, 2, "number of stops");
ABSL_FLAG(int, max_clients, 80, "at most, at once");
ABSL_FLAG(int, traits, 0, "sum of the traits (see the enumeration), or -1: drawn from the seed");

using namespace plumspoke;

namespace
{

constexpr auto quota_period = milliseconds(100);
constexpr auto grace_period = seconds(6);       // then a stopping process is killed
constexpr auto allowed_cut = milliseconds(200); // a request sent this long before the end may get no response
constexpr int readiness_tries = 400;

/// @brief What makes a stop harder. Each is independent of the others.
enum trait : int
{
    delaying_leader = 1,
    hanging_leader = 2,
    changing_leader = 4,
    silent_leader = 8, // accepts connections and never speaks
    idle_clients = 16,
    new_connections = 32,
    halves_of_heads = 64,
    halves_of_bodies = 128,
    abandoned = 256,
    pipelined = 512,
    pauses = 1024,
    small_share = 2048,
    all_traits = 4095,
};

/// @brief The entry process that runs at the moment.
class entry_process
{
  public:
    explicit entry_process(std::filesystem::path folder) : folder_(std::move(folder))
    {
    }

    [[nodiscard]] std::optional<pid_t> id() const
    {
        std::ifstream file(folder_ / "pid");
        pid_t id = 0;
        return file >> id && ::kill(id, 0) == 0 ? std::optional(id) : std::nullopt;
    }

    void signal(int number) const
    {
        if (const std::optional<pid_t> process = id(); process.has_value())
        {
            ::kill(*process, number);
        }
    }

  private:
    std::filesystem::path folder_;
};

/// @brief Lets the process run for a share of each tenth of a second.
class processor_quota
{
  public:
    processor_quota(const entry_process& process, double share)
        : thread_(
              [this, &process, share]
              {
                  run(process, share);
              })
    {
    }

    /// @brief Suspends the process for some time, soon.
    void pause(milliseconds length) noexcept
    {
        pause_ = length;
    }
    processor_quota(const processor_quota&) = delete;
    processor_quota& operator=(const processor_quota&) = delete;
    ~processor_quota()
    {
        ended_ = true;
        thread_.join();
    }

  private:
    void run(const entry_process& process, double share)
    {
        const auto running = std::chrono::duration_cast<milliseconds>(quota_period * share);
        while (!ended_)
        {
            const std::optional<pid_t> id = process.id();
            std::this_thread::sleep_for(running);
            const milliseconds suspended = quota_period - running + pause_.exchange(milliseconds(0));
            if (id.has_value() && suspended > milliseconds(0))
            {
                ::kill(*id, SIGSTOP);
                std::this_thread::sleep_for(suspended);
                ::kill(*id, SIGCONT);
            }
        }
    }

    std::atomic<bool> ended_{false};
    std::atomic<milliseconds> pause_{milliseconds(0)};
    std::thread thread_;
};

/// @brief Changes what the leader does, and the way to it, while a stop runs.
class leader_changes
{
  public:
    leader_changes(test::scripted_leader& leader, test::silent_relay& relay, int traits, std::uint64_t seed)
        : leader_(leader), relay_(relay), traits_(traits), random_(seed)
    {
        if ((traits & (delaying_leader | hanging_leader | changing_leader | silent_leader)) != 0)
        {
            thread_ = std::thread(
                [this]
                {
                    run();
                });
        }
    }
    leader_changes(const leader_changes&) = delete;
    leader_changes& operator=(const leader_changes&) = delete;
    ~leader_changes()
    {
        ended_ = true;
        if (thread_.joinable())
        {
            thread_.join();
            leader_.set_mode(test::leader_mode::answers);
            relay_.accept_silently(false);
        }
    }

  private:
    void run()
    {
        std::vector<int> modes;
        for (const int one : {delaying_leader, hanging_leader, changing_leader, silent_leader})
        {
            if ((traits_ & one) != 0)
            {
                modes.push_back(one);
            }
        }
        while (!ended_)
        {
            const int mode = modes.at(random_() % modes.size());
            using enum test::leader_mode;
            leader_.set_mode(mode == delaying_leader                         ? delays
                             : mode == hanging_leader                        ? hangs
                             : mode == changing_leader && random_() % 2 == 0 ? no_leader
                                                                             : answers);
            relay_.accept_silently(mode == silent_leader);
            if (mode == silent_leader)
            {
                relay_.go_silent();
            }
            const auto until = boot_clock::now() + milliseconds(200 + random_() % 1500);
            while (!ended_ && boot_clock::now() < until)
            {
                std::this_thread::sleep_for(milliseconds(10));
            }
        }
    }

    test::scripted_leader& leader_;
    test::silent_relay& relay_;
    int traits_;
    std::mt19937_64 random_;
    std::atomic<bool> ended_{false};
    std::thread thread_;
};

/// @brief The settings of an entry whose only known control VM is the scripted leader.
settings::job_settings
write_settings(const std::filesystem::path& folder, std::int64_t threads, const std::string& leader)
{
    nlohmann::json document = nlohmann::json::parse(R"({"interface":"platform","role":"entry","name":"e",
        "availability_zone":"z","ip":"127.0.0.1","internal_port":7720,"timing":{"stop_ms":4500}})");
    document["listen"] = test::free_address();
    document["readiness"] = test::free_address();
    document["control_seeds"] = nlohmann::json::array({leader});
    document["limits"] = {{"http_threads", threads}};
    std::vector<settings::fault> faults;
    settings::job_settings read = settings::parse_job_settings(document, faults);
    {
        std::ofstream file(folder / "settings.new");
        file << document.dump();
    }
    std::filesystem::rename(folder / "settings.new", folder / "settings.json");
    return read;
}

bool wait_until_listening(const std::string& address)
{
    for (int i = 0; i < readiness_tries; ++i)
    {
        const int socket = test::connect_to(address);
        const bool connected = !test::is_closed(socket);
        ::close(socket);
        if (connected)
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(25));
    }
    return false;
}

struct stop_result
{
    time_point began_at{};
    milliseconds took{0};
    bool killed = false;
};

stop_result stop_process(const entry_process& process, std::mt19937_64& random)
{
    stop_result out;
    out.began_at = boot_clock::now();
    const std::optional<pid_t> id = process.id();
    if (!id.has_value())
    {
        return out;
    }
    ::kill(*id, SIGTERM);
    const bool repeats = random() % 2 == 0;
    while (::kill(*id, 0) == 0 && process.id() == id)
    {
        std::this_thread::sleep_for(milliseconds(5));
        out.took = std::chrono::duration_cast<milliseconds>(boot_clock::now() - out.began_at);
        if (repeats && random() % 200 == 0)
        {
            ::kill(*id, random() % 2 == 0 ? SIGTERM : SIGHUP);
        }
        if (out.took >= grace_period)
        {
            ::kill(*id, SIGKILL);
            out.killed = true;
        }
    }
    return out;
}

test::drain_load draw_load(std::mt19937_64& random)
{
    const auto draw = [&random](std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random);
    };
    test::drain_load load;
    load.seed = random();
    load.clients = static_cast<std::size_t>(draw(12, absl::GetFlag(FLAGS_max_clients)));
    load.threads = draw(0, 1) == 0 ? 24 : 32;
    load.shortest_pause = milliseconds(draw(50, 300));
    load.longest_pause = load.shortest_pause + milliseconds(draw(100, 600));
    load.reuse = std::array{0.0, 0.5, 1.0}.at(static_cast<std::size_t>(draw(0, 2)));
    return load;
}

void add_traits(test::drain_load& load, int traits)
{
    const auto share = [traits](trait one, double value)
    {
        return (traits & one) != 0 ? value : 0;
    };
    load.idle_clients = share(idle_clients, 0.5);
    load.new_connections = share(new_connections, 0.5);
    load.halves_of_heads = share(halves_of_heads, 0.2);
    load.halves_of_bodies = share(halves_of_bodies, 0.2);
    load.abandoned = share(abandoned, 0.1);
    load.pipelined = share(pipelined, 0.2);
}

std::string describe(const test::persistent_client::exchange& one)
{
    return std::string(one.kind) + ", request " + std::to_string(one.number) + " of its connection" +
           (one.after_close ? " (told to close it)" : "") +
           (one.error == ECONNRESET ? ", not read"
            : one.error != 0        ? ", no end"
                                    : "");
}

/// @brief How the requests of all clients ended.
struct request_counts
{
    std::size_t sent = 0;
    std::size_t unanswered = 0;
    std::size_t late = 0;             // responses after the request's deadline
    std::size_t sent_after_close = 0; // on a connection whose last response ended it
    std::size_t unanswered_after_close = 0;
};

/// @brief Counts the requests, and prints each one that was left without a response.
request_counts count_requests(std::span<const std::unique_ptr<test::persistent_client>> clients,
                              std::span<const stop_result> stops)
{
    request_counts out;
    for (const auto& client : clients)
    {
        for (const test::persistent_client::exchange& one : client->exchanges())
        {
            const auto took = std::chrono::duration_cast<milliseconds>(one.ended_at - one.sent_at);
            ++out.sent;
            out.late += one.status != 0 && took > milliseconds(3000) ? 1 : 0;
            out.sent_after_close += one.after_close ? 1 : 0;
            if (one.status != 0 || took < allowed_cut || one.abandoned)
            {
                continue;
            }
            ++out.unanswered;
            out.unanswered_after_close += one.after_close ? 1 : 0;
            for (const stop_result& stop : stops)
            {
                const auto after = std::chrono::duration_cast<milliseconds>(one.sent_at - stop.began_at);
                if (after > seconds(-3) && after < stop.took)
                {
                    std::cout << "sent " << after.count()
                              << " ms after SIGTERM, ended without a response after " << took.count()
                              << " ms; the stop took " << stop.took.count() << " ms; " << describe(one)
                              << "\n";
                }
            }
        }
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::mt19937_64 random(absl::GetFlag(FLAGS_seed));
    test::drain_load load = draw_load(random);
    double share = std::array{0.12, 0.12, 0.25, 1.0}.at(random() % 4);
    std::mt19937_64 trait_random(absl::GetFlag(FLAGS_seed) + 1);
    const int drawn_traits = static_cast<int>(trait_random() & trait_random() & all_traits);
    const int traits = absl::GetFlag(FLAGS_traits) < 0 ? drawn_traits : absl::GetFlag(FLAGS_traits);
    add_traits(load, traits);
    share = (traits & small_share) != 0 ? 0.05 : share;
    const std::filesystem::path folder = absl::GetFlag(FLAGS_folder);
    test::scripted_leader leader(true);
    test::silent_relay relay(leader.address);
    const settings::job_settings settings = write_settings(folder, load.threads, relay.address());
    const entry_process process(folder);
    if (!wait_until_listening(settings.listen))
    {
        std::cerr << "The entry does not listen.\n";
        return 1;
    }

    std::atomic<bool> ended{false};
    std::vector<std::unique_ptr<test::persistent_client>> clients;
    std::vector<std::thread> threads;
    std::vector<stop_result> stops;
    {
        processor_quota quota(process, share);
        for (std::size_t i = 0; i < load.clients; ++i)
        {
            clients.push_back(std::make_unique<test::persistent_client>(settings.listen, load, i));
            threads.emplace_back(
                [&one = *clients.back(), &ended]
                {
                    one.run(ended);
                });
        }
        for (int i = 0; i < absl::GetFlag(FLAGS_stops); ++i)
        {
            std::this_thread::sleep_for(milliseconds(500 + random() % 1500));
            leader.set_answers(random() % 3 == 0);
            std::this_thread::sleep_for(milliseconds(random() % 1500));
            {
                const leader_changes changes(leader, relay, traits, trait_random());
                std::this_thread::sleep_for(milliseconds(traits == 0 ? 0 : trait_random() % 1500));
                std::thread pausing;
                if ((traits & pauses) != 0)
                {
                    pausing = std::thread(
                        [&quota, at = trait_random() % 5000, length = 300 + trait_random() % 2200]
                        {
                            std::this_thread::sleep_for(milliseconds(at));
                            quota.pause(milliseconds(length));
                        });
                }
                stops.push_back(stop_process(process, random));
                if (pausing.joinable())
                {
                    pausing.join();
                }
            }
            leader.set_answers(true);
            (void)wait_until_listening(settings.listen);
        }
        ended = true;
        for (std::thread& one : threads)
        {
            one.join();
        }
    }
    std::ofstream(folder / "done").flush();
    process.signal(SIGKILL);

    const request_counts counts = count_requests(clients, stops);
    std::size_t killed = 0;
    std::cout << "seed " << absl::GetFlag(FLAGS_seed) << ": " << load.clients << " clients, " << load.threads
              << " threads, traits " << traits << ", share " << share << ", " << counts.sent << " sent, "
              << counts.unanswered << " unanswered (" << counts.unanswered_after_close << " of "
              << counts.sent_after_close << " after a response that ended the connection), " << counts.late
              << " late, stops of";
    for (const stop_result& stop : stops)
    {
        std::cout << " " << stop.took.count();
        killed += stop.killed ? 1 : 0;
    }
    std::cout << " ms, " << killed << " killed\n";
    return counts.unanswered == 0 && killed == 0 ? 0 : 1;
}
