#pragma once

/// @file
/// @brief Jobs made of steps, each step of many tasks; queues that take them; how runs end.

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

/// @brief What a task needs, or what a worker has.
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

/// @brief Equal tasks that wait for the same earlier steps.
struct step_spec
{
    std::uint32_t task_count = 1;
    resources needs;               // of each task
    std::uint32_t estimate_ms = 0; // the submitter's guess, often far off
    std::vector<std::uint32_t> after;
    bool saves_progress = false;
    bool gang = false;        // all or none: one attempt, one checkpoint
    bool single_rack = false; // slower when its tasks are on several racks
    std::string required_label;
    std::string data_rack;            // slower on any other rack
    std::uint32_t max_per_worker = 0; // 0: no limit
    bool copies_allowed = false;
    bool lasting = false; // runs until the job is cancelled
    std::string image;
    std::uint32_t tail_target_ms = 0; // of a lasting task that serves users of its own
    bool filler = false;              // takes what others leave; its processors are not counted
    std::uint32_t max_away = 0;       // lasting: may be away at once by our doing; 0: no limit

    bool operator==(const step_spec&) const = default;
};

/// @brief What a submitter asks for: steps, and when they run.
struct job_spec
{
    std::string payload; // opaque; handed to each task
    std::vector<step_spec> steps;
    std::uint32_t repeat_count = 0; // 0: once, at once
    std::int64_t first_due_ms = 0;  // since 1970
    std::int64_t interval_ms = 0;

    bool operator==(const job_spec&) const = default;
};

/// @brief Why a job's description can't be run, or nothing.
/// @return a short sentence that names the step
[[nodiscard]] std::optional<std::string> find_spec_error(const job_spec& spec);

/// @brief A queue as the configuration states it.
struct queue
{
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service;
    std::uint32_t priority = 0;     // 0 goes first
    std::uint32_t max_failures = 1; // of one task, until its job has failed
    double objective_factor = 1;    // times the longest chain of work
    std::uint32_t objective_extra_ms = 0;
    std::uint32_t timeout_ms = 0;
    bool tickets = false;

    bool operator==(const queue&) const = default;
};

/// @brief A pool of workers as the configuration states it.
struct pool_service
{
    std::string name;
    bool workers_check_room = true; // false: workers start whatever they are told
    bool spare_pool = false;
};

/// @brief A whole configuration; the highest version holds.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<queue> queues;
    std::vector<pool_service> services;
    std::uint32_t max_body_bytes = 0; // 0: no limit
    std::string document;             // as the operator sent it; read back unchanged

    /// @brief The queue with this host and the longest prefix of this path.
    /// @complexity Linear in the number of queues.
    [[nodiscard]] const queue* find_queue(std::string_view host, std::string_view path) const noexcept;
};

/// @brief Names one task of one occurrence of a job.
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

/// @brief Names one run of a task.
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

/// @brief How a run ended, as far as control knows.
enum class run_end : std::uint8_t
{
    done = 0,
    failed = 1,    // counts against the task's budget
    stopped = 2,   // by our order
    lapsed = 3,    // its lease ran out
    broken = 4,    // another member of its gang ended
    alone = 5,     // its gang did not come together
    lost = 6,      // its worker has left, or doesn't list it any more
    not_begun = 7, // the order surely had no effect and never will
    crashed = 8,   // its worker crashed: another life answers at the address
};

/// @brief How far a task is.
enum class task_phase : std::uint8_t
{
    waiting = 0,
    running = 1,
    done = 2,
};

/// @brief How far a job is; the last three are final.
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

/// @brief A run that may be going on somewhere: recorded before its order is sent.
struct run
{
    std::uint32_t attempt = 0;
    fleet::worker_life worker;
    std::string address; // where that life is reached
};

/// @brief One task of a step, as recorded.
struct task
{
    task_phase phase = task_phase::waiting;
    std::uint32_t failures = 0;
    std::uint32_t last_attempt = 0;
    crash_evidence evidence;
    std::string saved; // progress as last recorded; empty: none
    std::vector<run> runs;
};

/// @brief The tasks of one step, as recorded.
struct step
{
    std::vector<task> tasks;
    std::uint32_t done = 0;
    std::set<std::uint32_t> failed_attempts; // of a gang, which fails as a whole
};

/// @brief One time at which a job's steps run.
struct occurrence
{
    std::uint32_t number = 0;
    std::vector<step> steps;
};

/// @brief The images of a serving task and of a filler beside it.
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

/// @brief What leaders have learned of two images, so that the next leader need not learn it by doing harm.
struct learned_effect
{
    image_pair images;
    std::int64_t effect_milli = 0;   // thousandths of slack that one filler at full pace takes
    std::int64_t evidence_milli = 0; // thousandths of a report

    bool operator==(const learned_effect&) const = default;
};

/// @brief A job as recorded: what was asked for, and how far it is.
struct job
{
    job_id id;
    queue source_queue; // as it stood when the job was accepted
    job_spec spec;
    job_phase phase = job_phase::queued;
    bool granted = false; // a run has been recorded once; its order may have reached nobody
    bool begun = false;   // a worker has begun a task
    std::int64_t accepted_at_ms = 0;
    std::int64_t ended_at_ms = 0;
    std::uint64_t order = 0; // of acceptance
    std::map<std::uint32_t, occurrence> occurrences;
    std::uint32_t occurrences_done = 0;

    /// @brief Whether all steps before this one are done.
    [[nodiscard]] bool is_ready(const occurrence& at, std::uint32_t step) const noexcept;
    [[nodiscard]] bool has_lasting_step() const noexcept;
    [[nodiscard]] std::uint32_t occurrence_count() const noexcept
    {
        return spec.repeat_count == 0 ? 1 : spec.repeat_count;
    }
};

} // namespace plumspoke::jobs
