#pragma once

/// @file
/// @brief The scheduling policy: placement, throttling, eviction and resizing. No I/O and no clock.
///
/// Soft state of one leader: sizes, interference and the workers' latest measurements are learnt anew after
/// a change of leader. Decisions become commands of the log, and the state validates each of them again.

#include "plumspoke/control/interference_model.hpp"
#include "plumspoke/control/placement_index.hpp"
#include "plumspoke/control/size_model.hpp"
#include "plumspoke/worker/report.hpp"

#include <variant>

namespace plumspoke::control
{

// ---- placement rules; the first three are baselines for bench/policy ---------------------------

/// @brief The first worker by name with enough free capacity.
struct first_fit
{
};
/// @brief The worker with the most free processors.
struct least_loaded
{
};
/// @brief The one with more free processors of two random workers with enough free capacity.
struct random_of_two
{
};
/// @brief The worker whose services are expected to slow down least; fit and spread break ties.
struct least_interference
{
    bool per_class = true; // false: predicts the same slowdown for all classes
};
using placement_rule = std::variant<first_fit, least_loaded, random_of_two, least_interference>;

// ---- reactions to a slow service ---------------------------------------------------------------

struct no_reaction
{
};
/// @brief Evicts as soon as a measurement is above the breach threshold; a baseline for bench/policy.
struct evict_immediately
{
};
/// @brief Throttles before it checkpoints, and waits after each action for a later measurement.
struct throttle_first
{
};
using reaction_rule = std::variant<no_reaction, evict_immediately, throttle_first>;

/// @brief Targets and limits of the policy. Slowdowns are relative: 0.1 is 10 percent slower.
struct policy_options
{
    placement_rule placement = least_interference{};
    reaction_rule reaction = throttle_first{};
    bool learn_sizes = true;
    // Slowdowns are relative to a service's baseline p99 at its peak load. At a lower load the service is
    // faster than that, and may be slowed down further by this slack, at most `max_slack`.
    double max_slack = 0.3;
    double slowdown_budget = 0.06;       // target for throttling and placement
    double breach_threshold = 0.10;      // above this the policy acts
    double recovery_threshold = 0.02;    // below this throttles are lifted
    std::size_t max_placements = 1024;   // per round
    std::size_t max_scanned_jobs = 4096; // waiting jobs examined per round
    std::size_t candidates_per_job = 24; // workers examined per job
    std::int64_t evictions_per_hour = 60;
    duration aging_after = seconds(300);    // from then on a job goes before all but urgent and older ones
    duration max_deferral = seconds(14400); // from then on a job is placed even if it slows a service down
    duration trial_delay = seconds(120);    // until a worker set aside is tried again; doubles each time
    std::size_t max_concurrent_trials = 2;
};

/// @brief Number of decisions by kind, exported as metrics.
struct policy_counters
{
    std::uint64_t placed = 0;
    std::uint64_t waits_no_room = 0;
    std::uint64_t waits_quota = 0;
    std::uint64_t waits_harm = 0; // deferred: the expected slowdown is above the budget
    std::uint64_t throttled = 0;
    std::uint64_t unthrottled = 0;
    std::uint64_t evicted = 0;
    std::uint64_t eviction_bound_reached = 0;
    std::uint64_t held_for_report = 0; // no action: the measurement is from before the latest action
    std::uint64_t resized = 0;
    std::uint64_t trials = 0;
};

/// @brief Learns from workers' reports and makes the decisions of each scheduling round.
class policy
{
  public:
    explicit policy(policy_options options, std::uint64_t seed = 1);

    /// @brief Clears all that was learnt; called when leadership begins.
    void reset();

    /// @brief Takes in a worker's report. Its measurements carry their age.
    void observe(time_point now, const control_state& state, const worker::report& received);

    /// @brief Runs one scheduling round.
    /// @param usable whether a worker's lease is valid and the worker is not leaving
    /// @return the commands to propose, at most one per job
    [[nodiscard]] std::vector<command>
    decide(time_point now, const control_state& state, const std::function<bool(const std::string&)>& usable);

    /// @brief Explains a job's current placement, or why it waits, for `plumspoke explain`.
    /// @return lines of text; empty if the job doesn't exist
    [[nodiscard]] std::vector<std::string>
    explain(time_point now, const control_state& state, const std::string& job) const;

    [[nodiscard]] const policy_counters& counters() const noexcept
    {
        return counters_;
    }

  private:
    /// @brief Latest measurements of a worker and the time of the latest action on it.
    struct worker_measurement
    {
        std::map<std::string, worker::service_report> services;
        std::map<std::string, double> smoothed_factor; // p99 relative to its baseline, by service
        time_point measured_at{};
        time_point acted_at{};
        bool acted = false;
        std::map<std::uint64_t, resources> peak_use; // by token
    };
    /// @brief A worker for a job, and the slowdown expected for the worker's services.
    struct placement_choice
    {
        placement_candidate* candidate = nullptr;
        double slowdown = 0;
        std::string reason;
    };
    /// @brief A waiting job and whether it has exceeded the limits on its wait.
    struct ranked_job
    {
        const job* waiting = nullptr;
        bool aged = false;
        bool deferral_expired = false;
    };

    void place_pending(time_point now, const control_state& state, std::vector<command>& commands);
    [[nodiscard]] std::vector<ranked_job> rank_pending(time_point now, const control_state& state);
    [[nodiscard]] placement_choice
    choose_worker(time_point now, const control_state& state, const job& waiting, const resources& needed);
    [[nodiscard]] placement_choice choose_worker_by(const first_fit& rule,
                                                    time_point now,
                                                    const control_state& state,
                                                    const job& waiting,
                                                    const resources& needed);
    [[nodiscard]] placement_choice choose_worker_by(const least_loaded& rule,
                                                    time_point now,
                                                    const control_state& state,
                                                    const job& waiting,
                                                    const resources& needed);
    [[nodiscard]] placement_choice choose_worker_by(const random_of_two& rule,
                                                    time_point now,
                                                    const control_state& state,
                                                    const job& waiting,
                                                    const resources& needed);
    [[nodiscard]] placement_choice choose_worker_by(const least_interference& rule,
                                                    time_point now,
                                                    const control_state& state,
                                                    const job& waiting,
                                                    const resources& needed);
    [[nodiscard]] double slack_scale(const std::string& service, double load) const;
    [[nodiscard]] double predicted_slowdown(time_point now,
                                            const std::string& service,
                                            const std::string& work_class,
                                            double load) const;
    [[nodiscard]] double expected_slowdown(time_point now,
                                           const control_state& state,
                                           const worker_record& worker,
                                           const worker_measurement& measurement) const;

    void react_to_slowdowns(time_point now, const control_state& state, std::vector<command>& commands);
    void react_on_worker(time_point now,
                         const control_state& state,
                         const std::string& worker,
                         worker_measurement& measurement,
                         std::vector<command>& commands);
    void reduce_interference(time_point now,
                             const control_state& state,
                             const worker_record& worker,
                             worker_measurement& measurement,
                             double slowdown,
                             std::vector<command>& commands);
    void lift_throttles(time_point now,
                        const control_state& state,
                        const worker_record& worker,
                        worker_measurement& measurement,
                        double slowdown,
                        std::vector<command>& commands);
    void issue_order(time_point now,
                     const job& ordered,
                     task_order new_order,
                     const std::string& reason,
                     worker_measurement& measurement,
                     std::vector<command>& commands);
    [[nodiscard]] double slowdown_contribution(time_point now,
                                               const worker_record& worker,
                                               const worker_measurement& measurement,
                                               const job& candidate) const;
    [[nodiscard]] const job* most_disruptive_job(time_point now,
                                                 const control_state& state,
                                                 const worker_record& worker,
                                                 const worker_measurement& measurement,
                                                 task_order current_order) const;
    [[nodiscard]] bool consume_eviction_budget(time_point now);
    void resize_reservations(const control_state& state, std::vector<command>& commands);
    void start_trials(time_point now, const control_state& state, std::vector<command>& commands);
    [[nodiscard]] std::vector<class_share> class_shares_on(const control_state& state,
                                                           const worker_record& worker) const;

    policy_options options_;
    std::uint64_t random_state_;
    size_model sizes_;
    interference_model interference_;
    placement_index index_;
    std::map<std::string, worker_measurement> measurements_;
    std::map<std::string, time_point> waiting_since_;
    std::map<std::string, time_point> set_aside_since_;
    std::map<std::string, int> trial_counts_;
    std::vector<time_point> recent_evictions_;
    std::set<std::string> jobs_with_command_;        // ordered or resized in this round
    std::map<std::string, double> planned_slowdown_; // by worker; of tasks placed in this round
    policy_counters counters_;
};

} // namespace plumspoke::control
