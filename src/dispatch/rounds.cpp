/// @file
/// @brief Rounds, the records of a leader: planning, and the effects of their commit or failure.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

constexpr auto placement_interval = milliseconds(100); // for conditions that change with time alone
constexpr auto record_interval = seconds(1);           // a lost leader loses the effects learned since
// Ended jobs are kept for minutes, so a second more is harmless; the check iterates over all jobs.
constexpr auto forget_interval = milliseconds(1000);
constexpr std::size_t encoded_end_overhead = 32;     // bytes of an encoded end besides its texts, at most
constexpr std::size_t max_forgotten_per_round = 200; // at least the number of jobs that end per second
// Begun jobs are recorded with the next round, or alone after this time; a count of waiting jobs may be 2 s
// old.
constexpr auto begun_interval = milliseconds(500);
// Ends come in clusters and each poll has a cost, so the poll after one with ends is delayed a little.
constexpr auto min_poll_delay_after_ends = milliseconds(80);

} // namespace

// ---- planning ----------------------------------------------------------------------------------

void dispatcher::propose(std::int64_t day_ms, const jobs::store& state, time_point now, dispatch_output& out)
{
    if (in_flight_.size() >= options_.max_rounds_in_flight ||
        count_starts_in_flight() >= options_.max_starts_in_flight)
    {
        ++window_.deferred;
        return;
    }
    jobs::round first = plan_round(now, day_ms, state);
    if (first.empty())
    {
        apply_without_record(now, make_proposal(first));
        return;
    }
    add_round(std::move(first), out);
    // The other half remains for starts.
    while (!pending_ends_.empty() && in_flight_.size() < options_.max_rounds_in_flight / 2)
    {
        jobs::round further;
        further.at_ms = day_ms;
        further.ends = take_pending_ends();
        add_round(std::move(further), out);
    }
}

void dispatcher::add_round(jobs::round command, dispatch_output& out)
{
    const std::uint64_t id = next_round_++;
    in_flight_[id] = make_proposal(command);
    out.rounds.push_back({id, std::move(command)});
}

std::vector<jobs::run_ended> dispatcher::take_pending_ends()
{
    std::size_t bytes = 0;
    const auto first_left =
        std::find_if(pending_ends_.begin(),
                     pending_ends_.end(),
                     [this, &bytes](const jobs::run_ended& end)
                     {
                         bytes += encoded_end_overhead + end.name.task.job.view().size() + end.saved.size();
                         return bytes > options_.max_end_bytes_per_round && &end != &pending_ends_.front();
                     });
    std::vector<jobs::run_ended> taken(std::make_move_iterator(pending_ends_.begin()),
                                       std::make_move_iterator(first_left));
    pending_ends_.erase(pending_ends_.begin(), first_left);
    return taken;
}

std::size_t dispatcher::count_starts_in_flight() const
{
    return std::accumulate(in_flight_.begin(),
                           in_flight_.end(),
                           std::size_t{0},
                           [](std::size_t sum, const auto& entry)
                           {
                               return sum + entry.second.starts.size();
                           });
}

jobs::round dispatcher::plan_round(time_point now, std::int64_t day_ms, const jobs::store& state)
{
    jobs::round planned;
    planned.at_ms = day_ms;
    planned.ends = take_pending_ends();
    find_due_occurrences(day_ms, state, planned);
    record_learned_effects(now, planned);
    considers_fillers_ = false;
    const bool due = capacity_changed_ || placed_revision_ != state.revision() || now >= next_placement_at_;
    if (due)
    {
        capacity_changed_ = false;
        placed_revision_ = state.revision();
        next_placement_at_ = now + placement_interval;
        place(now, day_ms, state, planned);
        capacity_changed_ = capacity_changed_ || !considers_fillers_;
    }
    if (now >= next_forget_at_)
    {
        next_forget_at_ = now + forget_interval;
        forget_old_jobs(day_ms, state, planned);
    }
    record_unrenewed(now, planned);
    record_begun(now, state, planned);
    return planned;
}

dispatcher::round_proposal dispatcher::make_proposal(const jobs::round& planned) const
{
    round_proposal proposal;
    if (pending_ends_.empty()) // otherwise a worker would forget ends that a later round records
    {
        for (const auto& [id, worker] : workers_)
        {
            if (worker.ends_proposed > worker.ends_recorded)
            {
                proposal.recorded_ends[id] = worker.ends_proposed;
            }
        }
    }
    proposal.ends = planned.ends;
    for (const jobs::run_started& one : planned.starts)
    {
        proposal.starts.push_back(one.name);
    }
    proposal.begun = planned.begun;
    if (planned.unrenewed.has_value())
    {
        proposal.unrenewed.emplace();
        for (const jobs::unrenewed_worker& one : planned.unrenewed->workers)
        {
            proposal.unrenewed->insert(one.life);
        }
    }
    return proposal;
}

void dispatcher::apply_without_record(time_point now, const round_proposal& empty)
{
    if (!in_flight_.empty())
    {
        return;
    }
    // Ends of runs that no task waits for need no record.
    for (const auto& [id, number] : empty.recorded_ends)
    {
        worker_view& worker = workers_.at(id);
        worker.ends_recorded = number;
        worker.next_poll_at = now;
    }
}

void dispatcher::forget_old_jobs(std::int64_t day_ms, const jobs::store& state, jobs::round& into)
{
    for (const auto& [id, job] : state.all())
    {
        const bool old = jobs::is_final(job.phase) && job.ended_at_ms + options_.keep_ended_ms < day_ms;
        if (old && !state.ended_with_runs().contains(id) && into.forgotten.size() < max_forgotten_per_round)
        {
            into.forgotten.push_back(id);
        }
    }
}

void dispatcher::record_learned_effects(time_point now, jobs::round& into)
{
    if (now < next_record_at_)
    {
        return;
    }
    next_record_at_ = now + record_interval;
    into.learned = interference_.take_changed();
}

void dispatcher::mark_begun(time_point now, const jobs::run_name& name)
{
    if (begun_jobs_.empty())
    {
        begun_due_ = now + begun_interval;
    }
    begun_jobs_.insert(name.task.job);
}

void dispatcher::record_begun(time_point now, const jobs::store& state, jobs::round& into)
{
    if (into.empty() && now < begun_due_)
    {
        return;
    }
    for (const jobs::job_id& id : std::exchange(begun_jobs_, {}))
    {
        const jobs::job* found = state.find(id);
        if (found != nullptr && !found->begun && !jobs::is_final(found->phase))
        {
            into.begun.push_back(id);
        }
    }
}

void dispatcher::find_due_occurrences(std::int64_t day_ms, const jobs::store& state, jobs::round& into)
{
    for (const auto& [accepted, job] : state.live())
    {
        if (job->spec.repeat_count == 0 || job->occurrences.size() >= job->spec.repeat_count)
        {
            continue;
        }
        // Occurrences become due in sequence, so their count is the number of the next one.
        const auto next = static_cast<std::uint32_t>(job->occurrences.size());
        if (job->spec.first_due_ms + static_cast<std::int64_t>(next) * job->spec.interval_ms <= day_ms)
        {
            into.due.push_back({job->id, next});
        }
    }
}

// ---- ends --------------------------------------------------------------------------------------

void dispatcher::round_ended(time_point now,
                             std::uint64_t id,
                             const std::optional<std::vector<bool>>& accepted)
{
    const auto found = in_flight_.find(id);
    if (found == in_flight_.end())
    {
        return;
    }
    const round_proposal round = std::move(found->second);
    in_flight_.erase(found);
    capacity_changed_ = true;
    apply_start_results(now, round, accepted);
    apply_unrenewed(round.unrenewed, accepted.has_value());
    if (accepted.has_value())
    {
        forget_recorded_ends(now, round);
    }
    else
    {
        rollback_ends(now, round);
        rollback_begun(now, round);
    }
}

void dispatcher::apply_start_results(time_point now,
                                     const round_proposal& round,
                                     const std::optional<std::vector<bool>>& accepted)
{
    for (std::size_t i = 0; i < round.starts.size(); ++i)
    {
        run_view* run = find_run(round.starts[i]);
        if (run == nullptr)
        {
            continue;
        }
        if (accepted.has_value() && i < accepted->size() && (*accepted)[i])
        {
            run->stage = run_stage::ordered;
            stage_delays_.record(kind_of(run->lasting, run->filler),
                                 task_stage::start_record,
                                 std::chrono::duration_cast<duration>(now - run->granted_at));
            run->recorded_at = now;
            run->next_start_at = now;
            track_if_actionable(*run);
        }
        else
        {
            remove_run(round.starts[i]);
        }
    }
}

// A caller waits for the end of each short task, and few workers run one, so overload
// doesn't delay these polls further.
duration dispatcher::next_poll_delay(time_point now, const worker_view& worker) const
{
    const bool has_short_task = std::any_of(worker.runs.begin(),
                                            worker.runs.end(),
                                            [](const run_view& run)
                                            {
                                                return !run.lasting && !run.filler;
                                            });
    if (has_short_task)
    {
        return min_poll_delay_after_ends;
    }
    const duration longest = options_.overloaded_poll_delay;
    return overload_.is_late(now) ? longest
                                  : overload_.poll_delay_after_ends(min_poll_delay_after_ends, longest);
}

// The round was not recorded. Ends are proposed again, since workers list only those that they have seen
// themselves; their numbers are not recorded until the workers list them again.
void dispatcher::rollback_ends(time_point now, const round_proposal& round)
{
    pending_ends_.insert(pending_ends_.end(), round.ends.begin(), round.ends.end());
    for (auto& [id, later] : in_flight_)
    {
        later.recorded_ends.clear(); // their numbers cover these ends, too
    }
    for (const auto& [life, number] : round.recorded_ends)
    {
        if (worker_view* worker = find_worker(life); worker != nullptr)
        {
            worker->ends_proposed = worker->ends_recorded;
            worker->next_poll_at = now;
        }
    }
}

// The round was not recorded, and a run is reported as begun only once, on its first confirmation.
void dispatcher::rollback_begun(time_point now, const round_proposal& round)
{
    begun_jobs_.insert(round.begun.begin(), round.begun.end());
    begun_due_ = now + begun_interval;
}

void dispatcher::forget_recorded_ends(time_point now, const round_proposal& round)
{
    for (const jobs::run_ended& end : round.ends)
    {
        if (const run_view* run = find_run(end.name); run != nullptr)
        {
            run->siblings->last_end_at = now;
            stage_delays_.record(kind_of(run->lasting, run->filler),
                                 task_stage::end_record,
                                 std::chrono::duration_cast<duration>(now - run->end_read_at));
        }
        remove_run(end.name);
    }
    for (const auto& [life, number] : round.recorded_ends)
    {
        if (worker_view* worker = find_worker(life); worker != nullptr)
        {
            worker->ends_recorded = std::max(worker->ends_recorded, number);
            worker->next_poll_at = std::max(now, worker->answered_at + next_poll_delay(now, *worker));
        }
    }
}

} // namespace plumspoke::dispatch
