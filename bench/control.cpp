// Measures commits and syncs, elections, restarts and the cost of reports. All replicas of a group run in
// this process, each with its own data folder, and communicate over gRPC on loopback.

#include "free_address.hpp"
#include "plumspoke/control/control_state_machine.hpp"
#include "plumspoke/control/policy.hpp"
#include "plumspoke/control/slot_allocator.hpp"
#include "plumspoke/logging/logging.hpp"
#include "plumspoke/replica/grpc_transport.hpp"
#include "plumspoke/worker/lease_manager.hpp"
#include "processor_time.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/service_type.h>
#include <iomanip>
#include <iostream>
#include <unistd.h>

ABSL_FLAG(std::int64_t, run_ms, 1500, "length of one measurement");

namespace
{

using namespace plumspoke;
using bench::processor_seconds;
using test::free_address;

void print(const std::string& name, double value)
{
    std::cout << std::left << std::setw(66) << name << std::fixed << std::setprecision(3) << value << "\n";
}

/// A replica with its data folder and its gRPC server.
class bench_replica
{
  public:
    bench_replica(std::filesystem::path folder,
                  std::string address,
                  const replica::membership& first,
                  std::string name)
        : folder_(std::move(folder)), address_(std::move(address)), name_(std::move(name))
    {
        (void)replica::storage(folder_).initialize(name_ + ".first", first);
    }
    ~bench_replica()
    {
        stop();
    }

    void start()
    {
        machine = std::make_unique<control::control_state_machine>();
        storage_ = std::make_unique<replica::storage>(folder_);
        transport = std::make_unique<replica::grpc_transport>(address_);
        driver =
            std::make_unique<replica::driver>(replica::driver_options{}, *storage_, *machine, *transport);
        if (driver->start(name_))
        {
            std::abort();
        }
        service_ = replica::make_replica_service(*driver);
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address_, grpc::InsecureServerCredentials());
        builder.RegisterService(service_.get());
        server_ = builder.BuildAndStart();
    }
    void stop()
    {
        if (driver != nullptr)
        {
            driver->stop();
            server_->Shutdown(std::chrono::system_clock::now());
            server_.reset();
            driver.reset();
            transport.reset();
            storage_.reset();
        }
    }

    std::unique_ptr<control::control_state_machine> machine;
    std::unique_ptr<replica::grpc_transport> transport;
    std::unique_ptr<replica::driver> driver;

  private:
    std::filesystem::path folder_;
    std::string address_;
    std::string name_;
    std::unique_ptr<replica::storage> storage_;
    std::unique_ptr<grpc::Service> service_;
    std::unique_ptr<grpc::Server> server_;
};

class bench_group
{
  public:
    bench_group()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "plumspoke-bench-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        replica::membership first;
        for (const char* name : {"c1", "c2", "c3"})
        {
            first.members.push_back({std::string(name) + ".first", name, free_address(), true});
        }
        for (const replica::member& one : first.members)
        {
            replicas.push_back(
                std::make_unique<bench_replica>(folder_ / one.name, one.address, first, one.name));
            replicas.back()->start();
        }
    }
    ~bench_group()
    {
        replicas.clear();
        std::filesystem::remove_all(folder_);
    }

    /// Waits until a replica holds the leader lease and returns it.
    [[nodiscard]] bench_replica& leader() const
    {
        while (true)
        {
            for (const auto& one : replicas)
            {
                if (one->driver != nullptr && one->driver->holds_lease(boot_clock::now()))
                {
                    return *one;
                }
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    std::vector<std::unique_ptr<bench_replica>> replicas;

  private:
    std::filesystem::path folder_;
};

void measure_commits(bench_group& group)
{
    static std::atomic<std::uint64_t> next{1};
    for (const int proposer_count : {1, 8, 64})
    {
        bench_replica& leader = group.leader();
        const replica::replica_status before = leader.driver->status();
        const std::uint64_t bytes = leader.transport->bytes_sent();
        const double processor = processor_seconds();
        std::atomic<std::uint64_t> committed{0};
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(proposer_count));
        const time_point end = boot_clock::now() + milliseconds(absl::GetFlag(FLAGS_run_ms));
        for (int i = 0; i < proposer_count; ++i)
        {
            threads.emplace_back(
                [&]
                {
                    while (boot_clock::now() < end)
                    {
                        control::begin_claim claim;
                        claim.service = "sync";
                        claim.key = std::to_string(next++);
                        claim.digest = "0123456789";
                        committed +=
                            leader.driver->propose_and_wait(control::encode(claim), seconds(5)).error ? 0 : 1;
                    }
                });
        }
        for (std::thread& one : threads)
        {
            one.join();
        }
        const replica::replica_status after = leader.driver->status();
        const auto count = static_cast<double>(committed.load());
        const std::string suffix = ", " + std::to_string(proposer_count) + " waiting";
        print("commits a second" + suffix, count * 1000 / static_cast<double>(absl::GetFlag(FLAGS_run_ms)));
        print("leader's syncs a commit" + suffix,
              static_cast<double>(after.sync_count - before.sync_count) / count);
        print("leader's bytes to replicas a commit" + suffix,
              static_cast<double>(leader.transport->bytes_sent() - bytes) / count);
        print("processor us a commit, three replicas and the proposers" + suffix,
              (processor_seconds() - processor) * 1e6 / count);
    }
}

void measure_idle(bench_group& group)
{
    bench_replica& leader = group.leader();
    const std::uint64_t bytes = leader.transport->bytes_sent();
    const double processor = processor_seconds();
    std::this_thread::sleep_for(seconds(2));
    print("idle: leader's bytes a second to both replicas",
          static_cast<double>(leader.transport->bytes_sent() - bytes) / 2);
    print("idle: processor ms a second for a replica", (processor_seconds() - processor) * 1000 / 2 / 3);
}

void measure_failover(bench_group& group)
{
    std::vector<double> gaps;
    for (int i = 0; i < 5; ++i)
    {
        bench_replica& leader = group.leader();
        const time_point killed = boot_clock::now();
        leader.stop(); // to its peers this looks like a killed process: it stops answering
        (void)group.leader();
        gaps.push_back(std::chrono::duration<double, std::milli>(boot_clock::now() - killed).count());
        leader.start();
        std::this_thread::sleep_for(milliseconds(800));
    }
    std::sort(gaps.begin(), gaps.end());
    print("ms without a leader that may act after a stop, median of 5", gaps[2]);
    print("ms without a leader that may act after a stop, worst of 5", gaps[4]);
}

void measure_restart()
{
    for (const int changes : {1000, 10000, 40000})
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "plumspoke-bench-XXXXXX").string();
        const std::filesystem::path folder = ::mkdtemp(pattern.data());
        const replica::membership single_member = {{{"c1.first", "c1", free_address(), true}}};
        bench_replica one(folder / "c1", single_member.members[0].address, single_member, "c1");
        one.start();
        while (!one.driver->holds_lease(boot_clock::now()))
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
        control::make_plan plan;
        plan.document.teams.push_back({"t", {1, 1, 1}});
        std::atomic<int> done{0};
        for (int i = 0; i < changes; ++i)
        {
            control::begin_claim claim;
            claim.service = "sync";
            claim.key = std::to_string(i % 500); // keeps the size of the state constant while the log grows
            while (done < i - 4000)
            {
                std::this_thread::yield();
            }
            one.driver->propose(control::encode(claim),
                                [&done](const replica::proposal_result&)
                                {
                                    ++done;
                                });
        }
        while (done < changes)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
        one.stop();
        const time_point began = boot_clock::now();
        one.start();
        while (!one.driver->holds_lease(boot_clock::now()))
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
        print("ms to restart after " + std::to_string(changes) +
                  " changes (one replica, its election included)",
              std::chrono::duration<double, std::milli>(boot_clock::now() - began).count());
        one.stop();
        std::filesystem::remove_all(folder);
    }
}

/// Returns the processor time of one call of `work`, in microseconds, averaged over `count` calls.
template <typename Work> double microseconds_each(int count, Work work)
{
    const double before = processor_seconds();
    for (int i = 0; i < count; ++i)
    {
        work(i);
    }
    return (processor_seconds() - before) * 1e6 / count;
}

void measure_reports()
{
    control::control_state state;
    std::uint64_t index = 0;
    control::make_plan plan;
    plan.document.teams.push_back({"t", {1'000'000'000, 1'000'000'000, 0}});
    control::service_config service;
    service.name = "s";
    service.team = "t";
    constexpr int workers = 1000;
    constexpr int tasks = 20;
    for (int w = 0; w < workers; ++w)
    {
        const std::string name = "worker-" + std::to_string(w);
        service.endpoints.push_back({name, "nangang", "10.0.0.1:8000"});
        (void)control::apply(
            state, ++index, control::register_worker{name, "1", "nangang", "r1", {64'000, 250'000, 0}});
    }
    plan.document.services.push_back(service);
    (void)control::apply(state, ++index, control::confirm_plan{"", control::apply(state, ++index, plan).id});
    const std::uint64_t tasks_before = static_cast<std::uint64_t>(workers) * tasks;
    for (std::uint64_t t = 0; t < tasks_before; ++t)
    {
        control::submit_job job;
        job.spec.id = "job-" + std::to_string(t);
        job.spec.team = "t";
        job.spec.declared = {1000, 1000, 0};
        (void)control::apply(state, ++index, job);
        const std::string name = "worker-" + std::to_string(t % workers);
        const auto token = control::apply(state,
                                          ++index,
                                          control::place_task{job.spec.id, name, "1", job.spec.declared, "x"})
                               .id;
        (void)control::apply(
            state,
            ++index,
            control::report_task{job.spec.id, token, control::task_event::started, "", "", ""});
    }
    worker::lease_manager lease_manager{worker::lease_manager_options{}};
    lease_manager.reset(from_microseconds(1));
    control::policy policy{control::policy_options{}};
    worker::report report;
    const auto fill = [&](int w)
    {
        report.worker = "worker-" + std::to_string(w % workers);
        report.incarnation = "1";
        report.sequence = static_cast<std::uint64_t>(w) + 1;
        report.capacity = {64'000, 250'000, 0};
        report.tasks.clear();
        for (const std::string& id : state.workers.at(report.worker).jobs)
        {
            worker::task_report task;
            task.job = id;
            task.token = state.jobs.at(id).live->token;
            task.used = {900, 900, 0};
            report.tasks.push_back(task);
        }
    };
    std::size_t bytes = 0;
    const double total =
        microseconds_each(4000,
                          [&](int w)
                          {
                              fill(w);
                              const std::string sent = nlohmann::json(report).dump();
                              std::vector<settings::fault> faults;
                              const worker::report read =
                                  worker::parse_report(nlohmann::json::parse(sent), faults);
                              std::error_code error;
                              const worker::report_outcome output =
                                  lease_manager.receive(from_microseconds(1000000 + w), state, read, error);
                              policy.observe(from_microseconds(1000000 + w), state, read);
                              bytes += sent.size() + nlohmann::json(output.reply).dump().size();
                          });
    print("processor us a worker's report with 20 tasks, JSON included", total);
    print("bytes a worker's report with 20 tasks, both ways", static_cast<double>(bytes) / 4000);
    std::string snapshot;
    nlohmann::json::to_cbor(nlohmann::json(state), snapshot);
    print("bytes of the state a job, running on a worker",
          static_cast<double>(snapshot.size()) / static_cast<double>(tasks_before));
    control::slot_allocator allocator{control::slot_allocator_options{}};
    allocator.reset(from_microseconds(1), control::configuration());
    std::uint64_t sequence = 0;
    const double entry = microseconds_each(
        200,
        [&](int e)
        {
            control::entry_report sent;
            sent.entry = "e" + std::to_string(e % 9);
            sent.incarnation = "1";
            sent.sequence = ++sequence;
            for (int w = 0; w < workers; ++w)
            {
                sent.held.push_back({"worker-" + std::to_string(w), 1});
            }
            (void)allocator.receive(from_microseconds(5'000'000 + e * 1000), state.config, sent);
        });
    print("processor us an entry's report over 1000 workers", entry);
    print("processor us an entry's report for each worker", entry / workers);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    logging::start(false);
    el::Loggers::reconfigureAllLoggers(el::ConfigurationType::Enabled, "false");
    {
        bench_group group;
        measure_commits(group);
        measure_idle(group);
        measure_failover(group);
    }
    measure_restart();
    measure_reports();
    return 0;
}
