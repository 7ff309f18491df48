#pragma once

/// @file
/// @brief Processes workers' reports on the leader: renews leases, issues orders and detects lost grants.
///
/// Volatile state of one leader. A new leader starts with empty state and assumes that every worker was
/// answered up to the moment of the election.

#include "plumspoke/control/state.hpp"
#include "plumspoke/time/time.hpp"
#include "plumspoke/worker/report.hpp"

namespace plumspoke::worker
{

/// @brief Lease durations and timeouts.
struct lease_manager_options
{
    duration lease = seconds(3);
    duration drift_margin =
        milliseconds(500); // maximum clock drift between a worker and this VM over one lease
    duration report_interval = milliseconds(300);
    duration reproposal_interval = milliseconds(1000); // delay before the same command is proposed again
    // A worker process lost after its job ran for at least this long isn't counted as a crash caused by the
    // job: services run for weeks and outlive some workers.
    duration long_run_threshold = seconds(60);
};

/// @brief The answer to a report and the commands to append to the replicated log.
struct report_outcome
{
    orders reply;
    std::vector<control::command> commands;
};

/// @brief Volatile state of one worker that isn't kept in the replicated log.
struct worker_status
{
    std::uint64_t sequence = 0;
    std::string incarnation;
    time_point answered_at{};
    bool has_reported = false;
    std::vector<task_report> tasks;
    std::vector<service_report> services;
    std::uint64_t reports = 0;
};

/// @brief Processes reports, renews leases and detects lost workers.
class lease_manager
{
  public:
    explicit lease_manager(lease_manager_options options) noexcept : options_(options)
    {
    }

    /// @brief Clears all state at the start of a leadership.
    /// @param now start of the leadership
    void reset(time_point now);

    /// @brief Processes one report.
    /// @param error set to old_sequence if a newer report, or a report of a later worker process, has already
    ///        been answered; no lease is granted in that case
    [[nodiscard]] report_outcome receive(time_point now,
                                         const control::control_state& state,
                                         const report& received,
                                         std::error_code& error);

    /// @brief Returns commands for grants whose lease has expired on the worker's own clock, assuming that
    ///        its drift stays within `drift_margin`.
    [[nodiscard]] std::vector<control::command> tick(time_point now, const control::control_state& state);

    /// @brief Whether the worker's last answered report is younger than one lease.
    [[nodiscard]] bool is_live(time_point now, const std::string& worker) const;

    /// @brief The latest time at which a grant of this worker can expire.
    [[nodiscard]] time_point lease_end(const std::string& worker) const;

    [[nodiscard]] const std::map<std::string, worker_status>& workers() const noexcept
    {
        return workers_;
    }

  private:
    [[nodiscard]] bool was_recently_proposed(time_point now, std::uint64_t token, control::task_event event);
    void process_task_reports(time_point now,
                              const control::control_state& state,
                              const report& received,
                              report_outcome& output);
    void add_grant_orders(time_point now,
                          const control::control_state& state,
                          const report& received,
                          report_outcome& output);
    [[nodiscard]] time_point last_heard(const std::string& worker) const;
    [[nodiscard]] jobs::crash_sign crash_sign_of(time_point last_heard, std::uint64_t token) const;
    [[nodiscard]] std::vector<control::crashed_job> find_crashed_jobs(time_point last_heard,
                                                                      const control::control_state& state,
                                                                      const std::string& worker) const;
    void prune_ended_grants(const control::control_state& state);

    /// @brief A proposed command that may not be committed yet.
    struct recent_proposal
    {
        std::uint64_t token = 0;
        control::task_event event = control::task_event::started;

        bool operator<(const recent_proposal& other) const noexcept
        {
            return token != other.token ? token < other.token : event < other.event;
        }
    };

    lease_manager_options options_;
    time_point leader_since_{};
    std::map<std::string, worker_status> workers_;
    std::map<recent_proposal, time_point> proposed_;
    static constexpr std::size_t min_remembered_grants = 1000;
    std::size_t prune_threshold_ = min_remembered_grants;
    std::map<std::uint64_t, time_point> granted_at_; // by token: when the worker first received the grant
};

} // namespace plumspoke::worker
