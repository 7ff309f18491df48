#pragma once

// Fakes of the systems around plumspoke: a worker with its endpoint, the platform's list of VMs and a client.

#include "plumspoke/http/server.hpp"
#include "plumspoke/worker/report.hpp"

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace plumspoke::stand_in
{

struct worker_options
{
    std::string name;
    std::string availability_zone;
    std::string rack;
    std::string endpoint; // IP:PORT
    std::vector<std::string> control;
    std::string journal; // file that gets a line per start and end of a task; empty: none
    control::resources capacity{16000, 60000, 0};
    std::int64_t slots = 8;
    std::int64_t work_ms = 5; // processing time of a request
};

/// A fake worker: serves an endpoint with a set processing time and runs tasks while it holds a lease.
class worker
{
  public:
    explicit worker(worker_options options);
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    ~worker();

    [[nodiscard]] bool start();
    void stop();

  private:
    /// A granted task. It simulates work by waiting for `run_ms`, which advances only while the lease is
    /// held.
    struct running_task
    {
        plumspoke::worker::task_report report;
        std::int64_t run_ms = 0;
        std::int64_t done_ms = 0;
        std::string result;
        bool fails = false;
    };

    [[nodiscard]] http::response answer(const http::request& received);
    void run_tasks();
    void advance(std::int64_t elapsed_ms);
    void report();
    void apply_orders(const plumspoke::worker::orders& orders);
    void start_task(const plumspoke::worker::order& granted);
    void end_task(running_task& ended, plumspoke::worker::task_state state, const std::string& reason);
    void write_journal(const std::string& line) const;

    worker_options options_;
    std::string incarnation_;
    std::unique_ptr<http::server> http_;
    std::atomic<std::int64_t> in_flight_{0};
    std::atomic<std::int64_t> most_in_flight_{0};
    std::atomic<std::int64_t> answered_{0};
    std::atomic<std::int64_t> over_slots_{0};
    std::map<std::uint64_t, running_task> tasks_; // by token
    std::map<std::string, std::uint64_t> newest_token_;
    std::uint64_t sequence_ = 0;
    std::size_t control_position_ = 0;
    time_point lease_end_{};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// A fake platform: serves the list of VMs; `POST /NAME` marks a VM as leaving.
class platform
{
  public:
    platform(std::string address, const std::vector<std::string>& vms);
    [[nodiscard]] bool start();

  private:
    [[nodiscard]] http::response answer(const http::request& received);

    std::mutex mutex_;
    std::map<std::string, bool> leaving_;
    std::uint64_t version_ = 1;
    http::server http_;
};

struct caller_options
{
    std::vector<std::string> entries;
    std::string path;
    std::int64_t threads = 4;
    std::int64_t run_ms = 1000;
    bool unsafe_requests = false;
};

/// Outcomes of the requests that a caller sent.
struct caller_counts
{
    std::atomic<std::uint64_t> done{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> not_connected{0};
    std::atomic<std::uint64_t> incomplete{0}; // sent on a connection, but no complete response
    std::atomic<std::uint64_t> mismatched{0}; // response to a different request
};

/// Sends requests for `run_ms`, each on a new connection, to the entries in round-robin order.
void run_caller(const caller_options& options, caller_counts& counts);

} // namespace plumspoke::stand_in
