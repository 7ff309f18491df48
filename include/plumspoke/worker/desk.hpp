#pragma once

/// @file
/// @brief What a leader decides on workers' reports: leases, orders, and which grants are surely lost.
///
/// Soft state of one leader. A new leader starts it afresh and assumes that every worker was answered up
/// to the moment of the election.

#include "plumspoke/control/state.hpp"
#include "plumspoke/time/time.hpp"
#include "plumspoke/worker/report.hpp"

namespace plumspoke::worker
{

/// @brief Times of the leases.
struct desk_options
{
    duration lease = seconds(3);
    duration drift_margin = milliseconds(500); // workers' clocks against ours over one lease
    duration report_interval = milliseconds(300);
    duration repeat_after = milliseconds(1000); // before a report's command is proposed again
    // A job that ran for so long before its process was gone didn't crash it by its start. Services run for
    // weeks and meet some lost workers.
    duration long_run = seconds(60);
};

/// @brief What to answer and what to write to the log.
struct desk_output
{
    orders reply;
    std::vector<control::command> commands;
};

/// @brief What the leader knows of one worker beyond the log.
struct worker_view
{
    std::uint64_t sequence = 0;
    std::string incarnation;
    time_point answered_at{};
    bool heard = false;
    std::vector<task_report> tasks;
    std::vector<service_report> services;
    std::uint64_t reports = 0;
};

/// @brief Takes reports, renews leases, notices lost workers.
class desk
{
  public:
    explicit desk(desk_options options) noexcept : options_(options)
    {
    }

    /// @brief Forgets everything, as a new leader must.
    /// @param now when leadership began
    void reset(time_point now);

    /// @brief Answers one report.
    /// @param error set to old_sequence where a newer report, or one of a later process, was answered before;
    ///        nothing is granted then
    [[nodiscard]] desk_output receive(time_point now,
                                      const control::control_state& state,
                                      const report& received,
                                      std::error_code& error);

    /// @brief The grants whose lease has run out by the worker's own clock, whatever that clock did within
    ///        the margin.
    [[nodiscard]] std::vector<control::command> tick(time_point now, const control::control_state& state);

    /// @brief Whether the worker has answered within its lease.
    [[nodiscard]] bool is_live(time_point now, const std::string& worker) const;

    /// @brief When a grant of this worker ends at the latest.
    [[nodiscard]] time_point lease_end(const std::string& worker) const;

    [[nodiscard]] const std::map<std::string, worker_view>& workers() const noexcept
    {
        return workers_;
    }

  private:
    [[nodiscard]] bool proposed_lately(time_point now, std::uint64_t token, control::task_event event);
    void read_tasks(time_point now,
                    const control::control_state& state,
                    const report& received,
                    desk_output& output);
    void list_grants(time_point now,
                     const control::control_state& state,
                     const report& received,
                     desk_output& output);
    [[nodiscard]] time_point last_heard(const std::string& worker) const;
    [[nodiscard]] jobs::crash_sign sign_of_loss(time_point last_heard, std::uint64_t token) const;
    [[nodiscard]] std::vector<control::crashed_job>
    list_crashed(time_point last_heard, const control::control_state& state, const std::string& worker) const;
    void forget_old_grants(const control::control_state& state);

    /// @brief A command that was proposed and may not be committed yet.
    struct recent_proposal
    {
        std::uint64_t token = 0;
        control::task_event event = control::task_event::started;

        bool operator<(const recent_proposal& other) const noexcept
        {
            return token != other.token ? token < other.token : event < other.event;
        }
    };

    desk_options options_;
    time_point leader_since_{};
    std::map<std::string, worker_view> workers_;
    std::map<recent_proposal, time_point> proposed_;
    static constexpr std::size_t least_remembered_grants = 1000;
    std::size_t forget_grants_above_ = least_remembered_grants;
    std::map<std::uint64_t, time_point> granted_at_; // by token: when its worker was first told of it
};

} // namespace plumspoke::worker
