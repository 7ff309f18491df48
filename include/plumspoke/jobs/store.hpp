#pragma once

/// @file
/// @brief The replicated state of jobs and configuration. Applying commands is deterministic: it uses neither
///        a clock nor randomness.

#include "plumspoke/jobs/early_cancels.hpp"
#include "plumspoke/jobs/model.hpp"

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <variant>

namespace plumspoke::jobs
{

/// @brief Puts a configuration in force if its version is higher than the current one.
struct configure
{
    configuration value;
};

/// @brief Accepts a job; submitting the same id again has no effect.
struct submit
{
    job_id id;
    queue source_queue;
    job_spec spec;
    std::int64_t at_ms = 0;
};

/// @brief Cancels a job that has not ended.
/// @note The cancel of an unknown id is stored, and a later submit of that id is cancelled at once.
struct cancel
{
    job_id id;
    std::int64_t at_ms = 0;
};

/// @brief A run assigned to a worker; committed before its start order is sent.
struct run_started
{
    run_name name;
    fleet::worker_life worker;
    std::string address;
};

/// @brief A run that has certainly ended.
struct run_ended
{
    run_name name;
    run_end how = run_end::lost;
    std::string saved; // the task's progress; empty: unknown or none
    crash_sign sign = crash_sign::none;
};

/// @brief An occurrence of a repeated job that is due.
struct occurrence_due
{
    job_id id;
    std::uint32_t number = 0;
};

/// @brief A worker to which the leader that records it has sent no lease.
struct unrenewed_worker
{
    fleet::worker_life life;
    // How long before the record all leaders that may have sent it a lease had lost their own, at least.
    std::int64_t lease_age_ms = 0;
    std::int64_t waited_ms = 0; // how long before the record a leader began to wait for its answer, at least

    bool operator==(const unrenewed_worker&) const = default;
};

/// @brief Workers that don't answer and that the leader of a term promises not to renew while they are
///        recorded.
struct unrenewed_workers
{
    std::uint64_t term = 0; // of the leader; 0: none was recorded
    std::vector<unrenewed_worker> workers;

    bool operator==(const unrenewed_workers&) const = default;
};

/// @brief The decisions and observations of a leader in one round; ends are applied first.
struct round
{
    std::vector<run_ended> ends;
    std::vector<run_started> starts;
    std::vector<occurrence_due> due;
    std::vector<job_id> forgotten;
    std::vector<learned_effect> learned;        // replace the values of these pairs
    std::vector<job_id> begun;                  // jobs of which a worker has begun a task
    std::optional<unrenewed_workers> unrenewed; // replaces those recorded before
    std::int64_t at_ms = 0;

    [[nodiscard]] bool empty() const noexcept
    {
        return ends.empty() && starts.empty() && due.empty() && forgotten.empty() && learned.empty() &&
               begun.empty() && !unrenewed.has_value();
    }
};

/// @brief Starts or withdraws the evacuation of an availability zone: no task starts in an evacuated zone.
/// @note Repeating an order has no effect.
struct set_evacuation
{
    std::string availability_zone;
    bool evacuated = true; // false: withdraws the evacuation
};

using command = std::variant<configure, submit, cancel, round, set_evacuation>;

/// @brief The outcome of a request of a caller or an operator.
enum class outcome : std::uint8_t
{
    accepted = 0,
    known = 1,         // already accepted; nothing changed
    unknown_job = 2,   // no job has this id
    unknown_queue = 3, // no queue has this host and path
    unconfigured = 4,  // there is no configuration yet
    invalid = 5,
    too_large = 6,
    refused = 7,     // not accepted, and certainly never will be
    undecided = 8,   // possibly accepted
    not_leading = 9, // this process does not lead; nothing was done
};

/// @brief The result of applying a command.
struct command_answer
{
    outcome result = outcome::accepted;
    std::vector<bool> starts_accepted; // in the order of round::starts
};

/// @brief All jobs and the configuration.
class store
{
  public:
    /// @name modifiers
    /// @{
    command_answer apply(const command& value);
    /// @}

    /// @name access
    /// @{
    [[nodiscard]] const configuration& current() const noexcept
    {
        return configuration_;
    }
    [[nodiscard]] const job* find(const job_id& id) const noexcept;
    [[nodiscard]] const std::map<job_id, job>& all() const noexcept
    {
        return jobs_;
    }

    /// @brief Jobs that have not ended, by sequence number of acceptance.
    [[nodiscard]] const std::map<std::uint64_t, job*>& live() const noexcept
    {
        return live_;
    }

    /// @brief Ended jobs with runs that may still be in progress.
    [[nodiscard]] const std::set<job_id>& ended_with_runs() const noexcept
    {
        return ended_with_runs_;
    }

    [[nodiscard]] const task* find(const task_name& name) const noexcept;

    /// @brief The number of live jobs of a queue of which no worker is known to have begun a task.
    /// @complexity Linear in the number of live jobs.
    [[nodiscard]] std::uint32_t pending(const queue& counted_queue) const noexcept;

    /// @brief Cancels recorded before the submit of their job.
    [[nodiscard]] const early_cancels& cancelled_early() const noexcept
    {
        return early_cancels_;
    }

    /// @brief Measured interference between images, at most `max_learned_effects` pairs.
    [[nodiscard]] const std::map<image_pair, learned_effect>& learned() const noexcept
    {
        return learned_;
    }

    /// @brief The workers that the leader of a term hasn't renewed, as of its latest record.
    [[nodiscard]] const unrenewed_workers& unrenewed() const noexcept
    {
        return unrenewed_;
    }

    /// @brief Availability zones in which no task may be started.
    [[nodiscard]] const std::set<std::string>& evacuated_zones() const noexcept
    {
        return evacuated_zones_;
    }

    /// @brief The number of changes of `evacuated_zones()` so far.
    [[nodiscard]] std::uint64_t evacuation_version() const noexcept
    {
        return evacuation_version_;
    }

    /// @brief Increases with each change that may make a task ready or free a worker.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }
    /// @}

    /// @name snapshots
    /// @{
    [[nodiscard]] std::string save() const;

    /// @return false if the bytes are malformed; the store is empty then
    [[nodiscard]] bool restore(std::string_view saved);
    /// @}

  private:
    command_answer apply_command(const configure& value);
    command_answer apply_command(const submit& value);
    command_answer apply_command(const cancel& value);
    command_answer apply_command(const round& value);
    command_answer apply_command(const set_evacuation& value);
    void end_run(const run_ended& ended, std::int64_t at_ms);
    [[nodiscard]] bool start_run(const run_started& started);
    static void mark_begun(job& owner);
    void start_occurrence(job& owner, std::uint32_t number);
    static void end_task_run(job& owner, occurrence& instance, task& ending, const run_ended& ended);
    static void mark_done(job& owner, occurrence& instance, const run_ended& ended);
    [[nodiscard]] static bool fails_job(const job& owner, const occurrence& instance, const task_name& name);
    void record_effect(const learned_effect& value);
    void finish(job& owner, job_phase phase, std::int64_t at_ms);
    void update_ended_with_runs(job& owner);
    [[nodiscard]] job* find_mutable(const job_id& id) noexcept;

    configuration configuration_;
    std::map<job_id, job> jobs_;
    std::map<std::uint64_t, job*> live_;
    std::set<job_id> ended_with_runs_;
    early_cancels early_cancels_;
    std::map<image_pair, learned_effect> learned_;
    unrenewed_workers unrenewed_;
    std::set<std::string> evacuated_zones_;
    std::uint64_t evacuation_version_ = 0;
    std::uint64_t next_order_ = 1;
    std::uint64_t revision_ = 0;
};

} // namespace plumspoke::jobs
