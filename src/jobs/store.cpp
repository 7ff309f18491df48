#include "plumspoke/jobs/store.hpp"

#include <algorithm>

namespace plumspoke::jobs
{

namespace
{

// Pairs of images: about 100 KB; the users' services have 45 pairs.
constexpr std::size_t max_learned_effects = 2000;
constexpr std::size_t max_copies = 2; // one copy for a straggler; a third run brings no further gain

bool has_runs(const job& owner)
{
    for (const auto& [number, instance] : owner.occurrences)
    {
        for (const step& parent_step : instance.steps)
        {
            for (const task& member : parent_step.tasks)
            {
                if (!member.runs.empty())
                {
                    return true;
                }
            }
        }
    }
    return false;
}

/// @brief Whether this end implies that a worker had begun the run.
constexpr bool implies_begun(run_end how) noexcept
{
    return how == run_end::done || how == run_end::failed || how == run_end::broken || how == run_end::alone;
}

task* find_task(job& owner, const task_name& name) noexcept
{
    const auto found = owner.occurrences.find(name.occurrence);
    if (found == owner.occurrences.end() || name.step >= found->second.steps.size())
    {
        return nullptr;
    }
    std::vector<task>& tasks = found->second.steps[name.step].tasks;
    return name.index < tasks.size() ? &tasks[name.index] : nullptr;
}

} // namespace

// ---- access ------------------------------------------------------------------------------------

const job* store::find(const job_id& id) const noexcept
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

job* store::find_mutable(const job_id& id) noexcept
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const task* store::find(const task_name& name) const noexcept
{
    const auto found = jobs_.find(name.job);
    if (found == jobs_.end())
    {
        return nullptr;
    }
    return find_task(const_cast<job&>(found->second), name); // does not modify the job
}

std::uint32_t store::pending(const queue& counted_queue) const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(live_.begin(),
                                                    live_.end(),
                                                    [&counted_queue](const auto& entry)
                                                    {
                                                        const job& one = *entry.second;
                                                        return !one.begun &&
                                                               one.source_queue.host == counted_queue.host &&
                                                               one.source_queue.path_prefix ==
                                                                   counted_queue.path_prefix;
                                                    }));
}

// ---- commands ----------------------------------------------------------------------------------

command_answer store::apply(const command& value)
{
    return std::visit(
        [this](const auto& one)
        {
            return apply_command(one);
        },
        value);
}

command_answer store::apply_command(const configure& value)
{
    if (value.value.version <= configuration_.version)
    {
        return {outcome::known, {}};
    }
    configuration_ = value.value;
    ++revision_;
    return {outcome::accepted, {}};
}

command_answer store::apply_command(const submit& value)
{
    if (jobs_.contains(value.id))
    {
        return {outcome::known, {}};
    }
    if (find_spec_error(value.spec).has_value())
    {
        return {outcome::invalid, {}};
    }
    job& added = jobs_[value.id];
    added.id = value.id;
    added.source_queue = value.source_queue;
    added.spec = value.spec;
    added.accepted_at_ms = value.at_ms;
    added.order = next_order_;
    live_[next_order_] = &added;
    ++next_order_;
    if (early_cancels_.erase(value.id))
    {
        finish(added, job_phase::cancelled, value.at_ms);
        update_ended_with_runs(added);
        return {outcome::accepted, {}};
    }
    if (value.spec.repeat_count == 0)
    {
        start_occurrence(added, 0);
    }
    ++revision_;
    return {outcome::accepted, {}};
}

command_answer store::apply_command(const cancel& value)
{
    job* found = find_mutable(value.id);
    if (found == nullptr)
    {
        early_cancels_.add(value.id, value.at_ms);
        return {outcome::unknown_job, {}};
    }
    if (!is_final(found->phase))
    {
        finish(*found, job_phase::cancelled, value.at_ms);
        update_ended_with_runs(*found);
    }
    return {outcome::accepted, {}};
}

command_answer store::apply_command(const round& value)
{
    command_answer result;
    for (const run_ended& ended : value.ends)
    {
        end_run(ended, value.at_ms);
    }
    for (const occurrence_due& due : value.due)
    {
        job* found = find_mutable(due.id);
        if (found != nullptr && !is_final(found->phase) && !found->occurrences.contains(due.number) &&
            due.number < found->occurrence_count())
        {
            start_occurrence(*found, due.number);
        }
    }
    for (const run_started& started : value.starts)
    {
        result.starts_accepted.push_back(start_run(started));
    }
    for (const job_id& id : value.begun)
    {
        if (job* found = find_mutable(id); found != nullptr)
        {
            mark_begun(*found);
        }
    }
    for (const job_id& id : value.forgotten)
    {
        const job* found = find(id);
        if (found != nullptr && is_final(found->phase) && !ended_with_runs_.contains(id))
        {
            jobs_.erase(id);
        }
    }
    for (const learned_effect& one : value.learned)
    {
        record_effect(one);
    }
    unrenewed_ = value.unrenewed.value_or(std::move(unrenewed_));
    if (!value.ends.empty() || !value.starts.empty() || !value.due.empty() || !value.forgotten.empty())
    {
        ++revision_;
    }
    return result;
}

command_answer store::apply_command(const set_evacuation& value)
{
    const bool changed = value.evacuated ? evacuated_zones_.insert(value.availability_zone).second
                                         : evacuated_zones_.erase(value.availability_zone) > 0;
    if (!changed)
    {
        return {outcome::known, {}};
    }
    ++evacuation_version_;
    ++revision_;
    return {outcome::accepted, {}};
}

void store::record_effect(const learned_effect& value)
{
    learned_[value.images] = value;
    if (learned_.size() <= max_learned_effects)
    {
        return;
    }
    const auto least_known =
        std::min_element(learned_.begin(),
                         learned_.end(),
                         [](const auto& left, const auto& right)
                         {
                             return left.second.evidence_milli < right.second.evidence_milli;
                         });
    learned_.erase(least_known);
}

void store::start_occurrence(job& owner, std::uint32_t number)
{
    occurrence& added = owner.occurrences[number];
    added.number = number;
    for (const step_spec& spec : owner.spec.steps)
    {
        step made;
        made.tasks.resize(spec.task_count);
        added.steps.push_back(std::move(made));
    }
}

bool store::start_run(const run_started& started)
{
    job* owner = find_mutable(started.name.task.job);
    if (owner == nullptr || is_final(owner->phase))
    {
        return false;
    }
    task* found = find_task(*owner, started.name.task);
    if (found == nullptr || found->phase == task_phase::done || started.name.attempt <= found->last_attempt)
    {
        return false;
    }
    const step_spec& spec = owner->spec.steps[started.name.task.step];
    const std::size_t most = spec.copies_allowed ? max_copies : 1;
    if (found->runs.size() >= most ||
        !owner->is_ready(owner->occurrences.at(started.name.task.occurrence), started.name.task.step))
    {
        return false;
    }
    found->phase = task_phase::running;
    found->last_attempt = started.name.attempt;
    found->runs.push_back({started.name.attempt, started.worker, started.address});
    // The order is not sent yet and may not reach a worker: the job stays queued until a worker has begun it.
    owner->granted = true;
    return true;
}

void store::mark_begun(job& owner)
{
    owner.begun = true;
    if (owner.phase == job_phase::queued)
    {
        owner.phase = job_phase::running;
    }
}

void store::end_run(const run_ended& ended, std::int64_t at_ms)
{
    job* owner = find_mutable(ended.name.task.job);
    task* found = owner == nullptr ? nullptr : find_task(*owner, ended.name.task);
    if (found == nullptr)
    {
        return;
    }
    const std::size_t removed = std::erase_if(found->runs,
                                              [&ended](const run& one)
                                              {
                                                  return one.attempt == ended.name.attempt;
                                              });
    if (removed == 0)
    {
        return; // already applied
    }
    if (implies_begun(ended.how))
    {
        mark_begun(*owner);
    }
    const bool was_live = !is_final(owner->phase);
    occurrence& instance = owner->occurrences.at(ended.name.task.occurrence);
    if (found->phase != task_phase::done)
    {
        end_task_run(*owner, instance, *found, ended);
    }
    if (was_live && fails_job(*owner, instance, ended.name.task))
    {
        finish(*owner, job_phase::failed, at_ms);
    }
    else if (was_live && owner->occurrences_done == owner->occurrence_count())
    {
        finish(*owner, job_phase::completed, at_ms);
    }
    if (is_final(owner->phase))
    {
        update_ended_with_runs(*owner);
    }
}

void store::end_task_run(job& owner, occurrence& instance, task& ending, const run_ended& ended)
{
    const step_spec& spec = owner.spec.steps[ended.name.task.step];
    if (ended.how == run_end::done && !spec.lasting)
    {
        mark_done(owner, instance, ended);
        return;
    }
    if (ended.how == run_end::failed)
    {
        ++ending.failures;
        if (spec.gang)
        {
            instance.steps[ended.name.task.step].failed_attempts.insert(ended.name.attempt);
        }
    }
    ending.evidence.add(ended.sign);
    ending.phase = ending.runs.empty() ? task_phase::waiting : task_phase::running;
    if (!ended.saved.empty())
    {
        ending.saved = ended.saved;
    }
}

void store::mark_done(job& owner, occurrence& instance, const run_ended& ended)
{
    step& parent_step = instance.steps[ended.name.task.step];
    const bool gang = owner.spec.steps[ended.name.task.step].gang;
    for (std::uint32_t i = 0; i < parent_step.tasks.size(); ++i)
    {
        // When one member of a gang is done, all of them are.
        if ((gang || i == ended.name.task.index) && parent_step.tasks[i].phase != task_phase::done)
        {
            parent_step.tasks[i].phase = task_phase::done;
            parent_step.tasks[i].saved.clear();
            ++parent_step.done;
        }
    }
    const bool all = std::all_of(instance.steps.begin(),
                                 instance.steps.end(),
                                 [](const step& one)
                                 {
                                     return one.done == one.tasks.size();
                                 });
    owner.occurrences_done += all ? 1 : 0;
}

bool store::fails_job(const job& owner, const occurrence& instance, const task_name& name)
{
    const step_spec& spec = owner.spec.steps[name.step];
    const step& parent_step = instance.steps[name.step];
    const task& ended = parent_step.tasks[name.index];
    if (ended.phase == task_phase::done)
    {
        return false;
    }
    // Crashes are checked separately: a task that crashes its workers never ends as `failed`, so without this
    // check it would be started again forever.
    if (ended.evidence.exceeds_limit())
    {
        return true;
    }
    if (spec.lasting)
    {
        return false;
    }
    const std::size_t failures = spec.gang ? parent_step.failed_attempts.size() : ended.failures;
    return failures >= owner.source_queue.max_failures;
}

void store::finish(job& owner, job_phase phase, std::int64_t at_ms)
{
    owner.phase = phase;
    owner.ended_at_ms = at_ms;
    live_.erase(owner.order);
    ++revision_;
}

void store::update_ended_with_runs(job& owner)
{
    if (has_runs(owner))
    {
        ended_with_runs_.insert(owner.id);
        return;
    }
    ended_with_runs_.erase(owner.id);
    // From now on only the job's state is read. Complete, the jobs that ended in the last minutes would make
    // up most of a snapshot and delay the recovery of a lost disk, which has to transfer it.
    owner.spec = {};
    owner.occurrences.clear();
}

} // namespace plumspoke::jobs
