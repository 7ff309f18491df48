#pragma once

/// @file
/// @brief The policy: what starts where, what is throttled, evicted, resized. No I/O and no clock.
///
/// Soft state of one leader: sizes, interference and what each worker last reported are learnt anew after
/// a change of leader. What it decides becomes commands of the log, which the state checks again.

#include "plumspoke/control/interference_model.hpp"
#include "plumspoke/control/placement_index.hpp"
#include "plumspoke/control/size_model.hpp"
#include "plumspoke/worker/report.hpp"

#include <variant>

namespace plumspoke::control
{

// ---- ways to choose a worker; the first three are baselines for bench/policy -------------------

struct first_fit
{
};
struct least_loaded
{
};
struct random_of_two
{
};
/// @brief Least expected harm to services, then fit, then spread.
struct least_interference
{
    bool per_class = true; // false: all classes are taken to be alike
};
using placement_rule = std::variant<first_fit, least_loaded, random_of_two, least_interference>;

// ---- ways to react to a slow service -----------------------------------------------------------

struct no_reaction
{
};
/// @brief Evicts on a breach at once; a baseline.
struct evict_immediately
{
};
/// @brief Throttles first, then checkpoints, and waits for a report from after each action.
struct throttle_first
{
};
using reaction_rule = std::variant<no_reaction, evict_immediately, throttle_first>;

/// @brief Bounds and aims.
struct policy_options
{
    placement_rule placement = least_interference{};
    reaction_rule reaction = throttle_first{};
    bool learn_sizes = true;
    // Slowdowns are held against a service's quiet p99 at its busiest: at noon there is slack, up to
    // `most_slack`.
    double max_slack = 0.3;
    double slowdown_budget = 0.06; // aimed at; a breach is above `breach`
    double breach_threshold = 0.10;
    double recovery_threshold = 0.02;
    std::size_t max_placements = 1024;   // in a round
    std::size_t max_scanned_jobs = 4096; // waiting jobs looked at in a round
    std::size_t candidates_per_job = 24; // workers looked at for one job
    std::int64_t evictions_per_hour = 60;
    duration aging_after = seconds(300);    // after which a job goes before younger ones of any priority
    duration max_deferral = seconds(14400); // after which it starts even where it disturbs a service
    duration trial_delay = seconds(120);    // a worker set aside is tried again, later each time
    std::size_t max_concurrent_trials = 2;  // workers on trial at once
};

/// @brief Why a decision was taken, counted.
struct policy_counters
{
    std::uint64_t placed = 0;
    std::uint64_t waits_no_room = 0;
    std::uint64_t waits_quota = 0;
    std::uint64_t waits_harm = 0;
    std::uint64_t throttled = 0;
    std::uint64_t unthrottled = 0;
    std::uint64_t evicted = 0;
    std::uint64_t eviction_bound_reached = 0;
    std::uint64_t held_for_report = 0; // a breach that an earlier action may have mended already
    std::uint64_t resized = 0;
    std::uint64_t trials = 0;
};

/// @brief Learns from reports and decides in rounds.
class policy
{
  public:
    explicit policy(policy_options options, std::uint64_t seed = 1);

    /// @brief Forgets everything, as a new leader must.
    void reset();

    /// @brief A worker has reported; its measurements are from some time ago.
    void observe(time_point now, const control_state& state, const worker::report& received);

    /// @brief One round.
    /// @param usable whether a worker's lease holds and it is not leaving
    /// @return commands, at most one for each job
    [[nodiscard]] std::vector<command>
    decide(time_point now, const control_state& state, const std::function<bool(const std::string&)>& usable);

    /// @brief Why a job is where it is, or is not anywhere: for `plumspoke explain`.
    [[nodiscard]] std::vector<std::string>
    explain(time_point now, const control_state& state, const std::string& job) const;

    [[nodiscard]] const policy_counters& counters() const noexcept
    {
        return counters_;
    }

  private:
    /// @brief What was last measured on a worker.
    struct worker_measurement
    {
        std::map<std::string, worker::service_report> services;
        std::map<std::string, double> smoothed_factor; // by service, of its quiet p99
        time_point measured_at{};
        time_point acted_at{};
        bool acted = false;
        std::map<std::uint64_t, resources> peak_use; // by token
    };
    /// @brief Where a job could go, and the harm it is expected to do there.
    struct placement_choice
    {
        placement_candidate* where = nullptr;
        double slowdown = 0;
        std::string reason;
    };
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
                     task_order what,
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
                                                 task_order among) const;
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
    std::set<std::string> jobs_with_command_;        // jobs with a command in this round
    std::map<std::string, double> planned_slowdown_; // placed in this round and not yet in the state
    policy_counters counters_;
};

} // namespace plumspoke::control
