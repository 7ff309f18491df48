#pragma once

/// @file
/// @brief The control role for jobs made of steps: the replicated store, the leader's dispatcher, and the
///        servers for operators, workers, entries and the other control VMs.

#include "plumspoke/dispatch/decision_rate_limiter.hpp"
#include "plumspoke/dispatch/dispatcher.hpp"
#include "plumspoke/fleet/announcement.hpp"
#include "plumspoke/http/descriptor_search_counts.hpp"
#include "plumspoke/http/server.hpp"
#include "plumspoke/job_server/announcement_relays.hpp"
#include "plumspoke/job_server/in_flight_submits.hpp"
#include "plumspoke/job_server/leader_client.hpp"
#include "plumspoke/job_server/memory_budget.hpp"
#include "plumspoke/job_server/serial_executor.hpp"
#include "plumspoke/job_server/worker_client.hpp"
#include "plumspoke/job_server/zone_orders.hpp"
#include "plumspoke/jobs/job_state_machine.hpp"
#include "plumspoke/metrics/metrics.hpp"
#include "plumspoke/metrics/thread_meter.hpp"
#include "plumspoke/replica/grpc_transport.hpp"
#include "plumspoke/settings/job_settings.hpp"
#include "plumspoke/time/boot_timer.hpp"

#include <boost/asio/post.hpp>
#include <future>
#include <limits>

namespace plumspoke::job_server
{

/// @brief Counters of one control process.
struct control_counts
{
    std::atomic<std::uint64_t> announcements{0};
    std::atomic<std::uint64_t> announcements_refused{0};
    std::atomic<std::uint64_t> configurations{0};
    std::atomic<std::uint64_t> large_requests_refused{0};
    std::atomic<std::uint64_t> evacuations{0};
    std::atomic<std::uint64_t> evacuations_unanswered{0};
    std::atomic<std::uint64_t> evacuations_abandoned{0}; // the operator may have gone on
    std::atomic<std::uint64_t> evacuation_conflicts{0};  // another order on the zone came first
    std::atomic<std::uint64_t> calls_invalid{0};         // malformed calls of operators and workers
    std::atomic<std::uint64_t> configurations_unanswered{0};
    std::atomic<std::uint64_t> reads_refused{0};
    std::atomic<std::uint64_t> submits{0};
    std::atomic<std::uint64_t> submits_refused{0};
    std::atomic<std::uint64_t> submits_undecided{0};
    std::atomic<std::uint64_t> submits_refused_behind{0};
    std::atomic<std::uint64_t> cancels{0};
    std::atomic<std::uint64_t> leader_changes{0};
    std::atomic<std::uint64_t> steps_without_lease{0};
    std::atomic<std::uint64_t> steps_yielded{0}; // to heartbeats, shortly before the lease expires
};

/// @brief One control process.
class control_server
{
  public:
    /// @name construction
    /// @{

    /// @param seeds returns the addresses of the control VMs from the current settings
    /// @param operators parses requests of operators and workers
    /// @param workers serializes orders to workers and parses their answers
    control_server(const settings::job_settings& settings,
                   std::function<std::vector<std::string>()> seeds,
                   const protocol::control_protocol& operators,
                   const protocol::worker_protocol& workers);
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;
    ~control_server();

    [[nodiscard]] std::error_code start();
    void stop();
    /// @}

    /// @name access
    /// @{

    /// @brief The error of the disk, if it has failed.
    [[nodiscard]] std::error_code failure() const;
    /// @}

  private:
    class service;
    struct grpc_members;

    // ---- the group (control_server.cpp)
    [[nodiscard]] std::error_code bootstrap_group();
    [[nodiscard]] bool start_grpc();
    [[nodiscard]] bool start_http();
    [[nodiscard]] bool start_metrics();
    void start_threads();
    void run_membership();
    void join_group();
    void restore_listener();

    // ---- the leader's loop (control_loop.cpp)
    void run_loop();
    void run_ready_handlers();
    void schedule_step();
    void step_or_wait(time_point wanted_at);
    void record_lateness(time_point wanted_at);
    void step();
    [[nodiscard]] dispatch::dispatch_output decide(time_point now);
    void update_leadership(time_point now, const replica::replica_status& status);
    void log_leadership_end(time_point now, const replica::replica_status& status) const;
    void execute(dispatch::dispatch_output& decided);
    void propose(const dispatch::planned_round& planned);
    void arm_timer();

    /// @brief Monotonic counters at the start or end of a window.
    struct loop_totals
    {
        std::array<std::uint64_t, metrics::loop_part_count> part_us{}; // processor time
        std::uint64_t process_us = 0;                                  // processor time
        http::descriptor_search_counts descriptor_searches{};
        std::uint64_t replica_us = 0; // processor time
        std::uint64_t answers = 0;
        std::uint64_t announcements = 0;
        std::uint64_t polls = 0;               // orders to workers, by kind
        std::uint64_t polls_without_lease = 0; // of `polls`
        std::uint64_t starts = 0;
        std::uint64_t stops = 0;
        std::uint64_t paces = 0;
        std::uint64_t timed_out_polls = 0;
        std::uint64_t timed_out_orders = 0;
        std::uint64_t timed_out_replicas = 0;
    };

    /// @brief Statistics of the leader's loop since its last log line.
    struct loop_window
    {
        time_point started_at{};
        std::int64_t steps = 0;
        std::int64_t without_lease = 0; // steps in which the lease had expired
        std::int64_t decisions = 0;
        std::int64_t deferred = 0; // steps whose decision gave way to heartbeats
        std::int64_t min_lease_left_us = std::numeric_limits<std::int64_t>::max(); // at any step
        std::uint64_t max_polls = 0;   // the most that one decision ordered
        std::int64_t carry_out_us = 0; // the longest time that it took for the orders of one decision
        std::int64_t late_us = 0;      // the largest delay of a step or timer
        std::int64_t decide_us = 0;    // the longest decision
        loop_totals before;
    };
    [[nodiscard]] loop_totals read_totals(const replica::replica_status& status) const;
    void report_window(time_point now, const replica::replica_status& status);
    void log_window(time_point now, const loop_totals& totals, const dispatch::unconfirmed_runs& open) const;
    [[nodiscard]] std::int64_t count_waiting() const;

    // ---- operators and workers (control_http.cpp)
    [[nodiscard]] http::response handle(const http::request& received);
    /// @brief A configuration that is encoded for the log.
    struct encoded_configuration
    {
        std::uint64_t version = 0;
        std::size_t queues = 0;
        std::string command;
    };
    [[nodiscard]] static encoded_configuration encode(jobs::configuration value);
    /// @brief Handles a request whose body needs much memory, unless too many others are in progress.
    [[nodiscard]] http::response handle_large(const http::request& received);
    [[nodiscard]] http::response handle(protocol::control_call& call, const http::request& received);
    [[nodiscard]] http::response handle(protocol::configure_call& call); // moves the configuration
    [[nodiscard]] bool configure_at_leader(const encoded_configuration& value);
    [[nodiscard]] http::response handle(const protocol::read_configuration_call& call);
    [[nodiscard]] http::response handle(const protocol::announce_call& call);
    [[nodiscard]] http::response handle(const protocol::goodbye_call& call);
    [[nodiscard]] http::response handle(const protocol::bad_call& call);
    void relay_announcements();
    void relay_once(std::uint64_t leader_term);
    [[nodiscard]] bool wait_until_relayed(const fleet::worker_life& life);
    void deliver(const std::vector<fleet::announcement>& changed);
    /// @return those that are not registered here
    [[nodiscard]] std::vector<fleet::worker_life> refresh_alive(const std::vector<fleet::worker_life>& lives);

    // ---- orders on the evacuation of zones (evacuation_orders.cpp)
    struct evacuation_order;
    [[nodiscard]] http::response handle(const protocol::evacuation_call& call, const http::request& received);
    [[nodiscard]] order_end evacuate_as_leader(const evacuation_order& order);
    [[nodiscard]] order_end evacuate_at_leader(const evacuation_order& order);

    /// @brief Proposes an order as the leader and waits until it is committed.
    /// @param expected the version that the zone must have; std::nullopt: no condition
    [[nodiscard]] order_end
    evacuate(const jobs::set_evacuation& value, const std::optional<zone_version>& expected, duration limit);

    // ---- answers of the leader (control_service.cpp)
    /// @brief Whether this process leads and holds an unexpired lease.
    [[nodiscard]] bool acting() const;

    /// @brief The term in which this process leads and holds an unexpired lease, if any.
    [[nodiscard]] std::optional<std::uint64_t> acting_term() const;
    [[nodiscard]] jobs::outcome configure(const encoded_configuration& value, duration limit);

    /// @brief Performs a linearizable read of the configuration.
    /// @return the document, empty if there is no configuration yet; nullopt if this process may not lead
    [[nodiscard]] std::optional<std::string> read_configuration() const;

    /// @brief A command that was proposed to the log.
    struct proposed_command
    {
        time_point proposed_at{};
        std::future<replica::proposal_result> result;
    };

    /// @param term the only term in which the command may be appended to the log
    /// @param registration released once the record is committed or can no longer be committed
    [[nodiscard]] proposed_command
    propose(const jobs::command& value,
            replica::term_number term = replica::any_term,
            std::shared_ptr<const in_flight_submits::entry> registration = nullptr);
    [[nodiscard]] proposed_command
    propose_encoded(std::string command,
                    replica::term_number term = replica::any_term,
                    std::shared_ptr<const in_flight_submits::entry> registration = nullptr);

    /// @brief Waits until a command is committed.
    /// @return `replica::errc::lost_leadership` if the limit passes first: it may still be committed
    [[nodiscard]] replica::proposal_result await(proposed_command& command, duration limit);

    /// @brief Proposes a command and waits until it is committed.
    [[nodiscard]] replica::proposal_result
    commit(const jobs::command& value,
           duration limit,
           std::shared_ptr<const in_flight_submits::entry> registration = nullptr);

    [[nodiscard]] http::response metrics_response() const;
    void add_timeout_lines(std::vector<metrics::counter_line>& to) const;
    void add_connection_lines(std::vector<metrics::counter_line>& to) const;

    settings::job_settings settings_;
    const protocol::control_protocol& operators_;
    const protocol::worker_protocol& workers_;
    jobs::job_state_machine state_machine_;
    std::unique_ptr<replica::storage> storage_;
    std::unique_ptr<replica::grpc_transport> transport_;
    std::unique_ptr<replica::driver> driver_;
    leader_client leader_client_;
    serial_executor large_requests_;
    memory_budget large_request_budget_;
    std::unique_ptr<http::server> http_;
    std::unique_ptr<http::server> metrics_http_;

    std::mutex registry_mutex_;
    std::condition_variable relay_requested_;
    std::condition_variable relay_done_;
    bool relay_pending_ = false;
    fleet::worker_registry registry_;
    announcement_relays relays_;

    boost::asio::io_context context_;
    boot_timer timer_{context_};
    std::unique_ptr<worker_client> worker_client_;
    boot_timer pacing_timer_{context_}; // delays the next decision
    dispatch::dispatcher dispatcher_;   // this and decision_limiter_: loop thread only
    dispatch::decision_rate_limiter decision_limiter_;
    std::atomic<bool> step_scheduled_{false};
    in_flight_submits submits_;
    zone_orders zone_orders_;
    std::atomic<bool> rejects_submits_{false}; // whether the leader was overloaded at the last decision
    time_point next_expiry_{};                 // of idle connections to workers
    loop_window window_;
    metrics::thread_meter meter_;
    mutable std::mutex counts_mutex_;
    dispatch::dispatch_counts dispatch_counts_; // as of the last decision
    std::size_t live_jobs_ = 0;
    std::size_t live_runs_ = 0;
    std::size_t known_workers_ = 0;
    dispatch::unconfirmed_runs unconfirmed_; // as of the last window

    control_counts counts_;
    metrics::latency_histogram accept_to_durable_;
    metrics::latency_histogram call_times_;
    metrics::latency_histogram loop_late_;
    metrics::latency_histogram take_over_times_;
    metrics::latency_histogram decide_times_;
    metrics::latency_histogram carry_out_times_;
    metrics::latency_histogram cancel_times_;
    std::atomic<bool> stopping_{false};
    std::thread loop_thread_;
    std::thread membership_thread_;
    std::thread relay_thread_;
    std::unique_ptr<grpc_members> grpc_;
    std::uint64_t accepts_failed_ = 0; // failed_accepts() when the gRPC server started
};

} // namespace plumspoke::job_server
