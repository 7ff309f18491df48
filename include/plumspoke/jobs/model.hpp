#pragma once

/// @file
/// @brief The data model: jobs made of steps, steps made of tasks, queues, and runs of tasks.

#include "plumspoke/fleet/worker_life.hpp"
#include "plumspoke/jobs/crash_evidence.hpp"
#include "plumspoke/jobs/job_id.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace plumspoke::jobs
{

/// @brief The resources that a task requires, or that a worker provides.
struct resources
{
    std::int64_t cpu_milli = 0; // thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other) noexcept;
    resources& operator-=(const resources& other) noexcept;
    [[nodiscard]] bool fits_into(const resources& other) const noexcept;
    bool operator==(const resources&) const = default;
};

/// @brief A step: identical tasks with the same dependencies.
struct step_spec
{
    std::uint32_t task_count = 1;
    resources needs;                  // of each task
    std::uint32_t estimate_ms = 0;    // the submitter's estimate of a task's duration, often inaccurate
    std::vector<std::uint32_t> after; // indexes of the steps it depends on
    bool saves_progress = false;      // a new run resumes from the last progress
    bool gang = false;                // all tasks run together, with a common attempt and checkpoint
    bool single_rack = false;         // its tasks are slower if they run on several racks
    std::string required_label;
    std::string data_rack;            // tasks are slower on any other rack
    std::uint32_t max_per_worker = 0; // 0: no limit
    bool copies_allowed = false;      // a straggler may get a second, concurrent run
    bool lasting = false;             // runs until the job is cancelled
    std::string image;
    std::uint32_t tail_target_ms = 0; // latency target of a lasting task that serves users; 0: none
    bool filler = false;              // best effort: uses spare processors, which are not reserved for it
    std::uint32_t max_away = 0;       // lasting: tasks that the scheduler may interrupt at once; 0: no limit

    bool operator==(const step_spec&) const = default;
};

/// @brief A job's specification: its steps and when they run.
struct job_spec
{
    std::string payload; // opaque; passed to each task
    std::vector<step_spec> steps;
    std::uint32_t repeat_count = 0; // 0: run once, immediately
    std::int64_t first_due_ms = 0;  // milliseconds since 1970
    std::int64_t interval_ms = 0;

    bool operator==(const job_spec&) const = default;
};

/// @brief Validates a job's specification.
/// @return a short description of the first error, which names the step; nothing if it is valid
[[nodiscard]] std::optional<std::string> find_spec_error(const job_spec& spec);

/// @brief A queue of the configuration.
struct queue
{
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service;
    std::uint32_t priority = 0;           // 0 is the highest
    std::uint32_t max_failures = 1;       // of one task; at this number its job fails
    double objective_factor = 1;          // completion target: multiple of the job's critical path
    std::uint32_t objective_extra_ms = 0; // added to the completion target
    std::uint32_t timeout_ms = 0;
    bool tickets = false;

    bool operator==(const queue&) const = default;
};

/// @brief A pool of workers of the configuration.
struct pool_service
{
    std::string name;
    bool workers_check_room = true; // false: workers start tasks without checking their resources
    bool spare_pool = false;
};

/// @brief A complete configuration; the highest version is in force.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<queue> queues;
    std::vector<pool_service> services;
    std::uint32_t max_body_bytes = 0; // 0: no limit
    std::string document;             // as sent by the operator; returned unchanged

    /// @brief The queue with this host and the longest matching prefix of this path, if any.
    /// @complexity Linear in the number of queues.
    [[nodiscard]] const queue* find_queue(std::string_view host, std::string_view path) const noexcept;
};

/// @brief Identifies a task of one occurrence of a job.
struct task_name
{
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const task_name&) const = default;
    bool operator<(const task_name& other) const noexcept
    {
        return std::tie(job, occurrence, step, index) <
               std::tie(other.job, other.occurrence, other.step, other.index);
    }
};

/// @brief Identifies a run of a task.
struct run_name
{
    task_name task;
    std::uint32_t attempt = 0;

    bool operator==(const run_name&) const = default;
    bool operator<(const run_name& other) const noexcept
    {
        return std::tie(task, attempt) < std::tie(other.task, other.attempt);
    }
};

/// @brief How a run ended, as known to the control VMs.
enum class run_end : std::uint8_t
{
    done = 0,
    failed = 1,    // counts towards queue::max_failures
    stopped = 2,   // on a stop order
    lapsed = 3,    // its lease expired
    broken = 4,    // another member of its gang ended
    alone = 5,     // its gang was never complete
    lost = 6,      // its worker has left, or no longer reports it
    not_begun = 7, // the start order had no effect and never will
    crashed = 8,   // its worker crashed: another incarnation answers at its address
};

/// @brief The state of a task.
enum class task_phase : std::uint8_t
{
    waiting = 0,
    running = 1,
    done = 2,
};

/// @brief The state of a job; the last three are final.
enum class job_phase : std::uint8_t
{
    queued = 0,
    running = 1,
    completed = 2,
    failed = 3,
    cancelled = 4,
};

/// @brief Whether a job in this phase has ended.
[[nodiscard]] constexpr bool is_final(job_phase phase) noexcept
{
    return phase == job_phase::completed || phase == job_phase::failed || phase == job_phase::cancelled;
}

/// @brief A run that may be in progress; recorded before its start order is sent.
struct run
{
    std::uint32_t attempt = 0;
    fleet::worker_life worker;
    std::string address; // of that worker's incarnation
};

/// @brief The state of one task of a step.
struct task
{
    task_phase phase = task_phase::waiting;
    std::uint32_t failures = 0;
    std::uint32_t last_attempt = 0;
    crash_evidence evidence;
    std::string saved; // last recorded progress; empty: none
    std::vector<run> runs;
};

/// @brief The state of one step.
struct step
{
    std::vector<task> tasks;
    std::uint32_t done = 0;
    std::set<std::uint32_t> failed_attempts; // of a gang, whose tasks fail together
};

/// @brief One execution of all steps of a job.
struct occurrence
{
    std::uint32_t number = 0;
    std::vector<step> steps;
};

/// @brief The images of a serving task and of a filler on the same worker.
struct image_pair
{
    std::string serving;
    std::string filler;

    bool operator==(const image_pair&) const = default;
    bool operator<(const image_pair& other) const noexcept
    {
        return std::tie(serving, filler) < std::tie(other.serving, other.filler);
    }
};

/// @brief The measured interference of a filler image with a serving image. It is replicated so that a new
///        leader need not slow down serving tasks to measure it again.
struct learned_effect
{
    image_pair images;
    std::int64_t effect_milli = 0;   // thousandths of the latency slack consumed by one filler at full speed
    std::int64_t evidence_milli = 0; // thousandths of a report; the weight of the measurement

    bool operator==(const learned_effect&) const = default;
};

/// @brief The state of a job: its specification and its progress.
struct job
{
    job_id id;
    queue source_queue; // as configured when the job was accepted
    job_spec spec;
    job_phase phase = job_phase::queued;
    bool granted = false; // a run was recorded; its start order may not have reached a worker
    bool begun = false;   // a worker has begun a task
    std::int64_t accepted_at_ms = 0;
    std::int64_t ended_at_ms = 0;
    std::uint64_t order = 0; // sequence number of acceptance
    std::map<std::uint32_t, occurrence> occurrences;
    std::uint32_t occurrences_done = 0;

    /// @brief Whether all steps that this one depends on are done.
    [[nodiscard]] bool is_ready(const occurrence& instance, std::uint32_t step) const noexcept;
    [[nodiscard]] bool has_lasting_step() const noexcept;
    [[nodiscard]] std::uint32_t occurrence_count() const noexcept
    {
        return spec.repeat_count == 0 ? 1 : spec.repeat_count;
    }
};

} // namespace plumspoke::jobs
