/// @file
/// @brief The record of workers that a leader has sent no lease, so that the loss of its term doesn't prolong
///        the wait for their runs.
///
/// A leader may send a lease to any worker, so its successor has to count a whole lease from the end of its
/// term for each worker that doesn't answer. A leader therefore records silent workers to which it has sent
/// no lease, with the age of the leases that still count for them. From the proposal of the record on, such a
/// worker gets no lease until a later record without it is committed.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <string>

namespace plumspoke::dispatch
{

namespace
{

constexpr auto growth_interval = milliseconds(250); // between records that only add workers
constexpr auto removal_interval = milliseconds(50); // while workers answer one after the other
constexpr std::size_t max_recorded = 1024;          // about 40 KB in a record

} // namespace

void dispatcher::adopt_unrenewed(const jobs::unrenewed_workers& recorded, const earlier_leaders& earlier)
{
    // The leader of any other term in between may have renewed these workers.
    if (recorded.term == 0 || recorded.term != earlier.last_term)
    {
        return;
    }
    const auto before_record = [&](std::int64_t ms)
    {
        return earlier.unrenewed_recorded_at - shortened(milliseconds(ms));
    };
    for (const jobs::unrenewed_worker& one : recorded.workers)
    {
        worker_view* worker = find_worker(one.life);
        if (worker != nullptr && worker->has_inherited_runs)
        {
            worker->earlier_lease_end = std::min(earlier_lease_end_, before_record(one.lease_age_ms));
            worker->awaited_since = std::min(leading_since_, before_record(one.waited_ms));
        }
    }
}

/// @brief Whether the worker is to be recorded as not renewed: it has runs of earlier leaders and hasn't
///        answered a call of this leader or of the one that recorded it before.
bool dispatcher::is_unrenewed(time_point now, const worker_view& worker) const
{
    // Later no lease of an earlier leader is left, and a worker that returns may have a new view.
    const bool is_early = now < leading_since_ + stretched(options_.lease) + options_.lapse_margin;
    const bool is_silent = worker.unanswered_calls > 0 || worker.earlier_lease_end.has_value();
    return is_early && worker.info.life.born_ms != 0 && worker.has_inherited_runs && !worker.runs.empty() &&
           is_silent && !has_contacted_life(worker.info.life.id);
}

// A start for one life may be carried out late by the next one under the same id.
bool dispatcher::has_contacted_life(const std::string& id) const
{
    for (auto at = workers_.lower_bound({id, std::numeric_limits<std::int64_t>::min()});
         at != workers_.end() && at->first.id == id;
         ++at)
    {
        if (at->second.contacted || at->second.lease_sent_at != time_point{})
        {
            return true;
        }
    }
    return false;
}

void dispatcher::record_unrenewed(time_point now, jobs::round& into)
{
    const duration interval = unrenewed_recheck_ ? removal_interval : growth_interval;
    if (unrenewed_in_flight_ || now < unrenewed_checked_at_ + interval)
    {
        return;
    }
    unrenewed_checked_at_ = now;
    unrenewed_recheck_ = false;
    jobs::unrenewed_workers current;
    current.term = term_;
    std::set<fleet::worker_life> lives;
    for (const auto& [life, worker] : workers_)
    {
        if (lives.size() < max_recorded && is_unrenewed(now, worker))
        {
            lives.insert(life);
            const time_point lease_end = worker.earlier_lease_end.value_or(earlier_lease_end_);
            const time_point awaited_since = worker.awaited_since.value_or(leading_since_);
            current.workers.push_back(
                {life,
                 std::chrono::duration_cast<milliseconds>(now - lease_end).count(),
                 std::chrono::duration_cast<milliseconds>(now - awaited_since).count()});
        }
    }
    if (lives != unrenewed_ || unrenewed_record_failed_)
    {
        unrenewed_in_flight_ = true;
        unrenewed_record_failed_ = false;
        unrenewed_.merge(lives); // those that are taken off stay until the record is committed
        into.unrenewed = std::move(current);
    }
}

void dispatcher::apply_unrenewed(const std::optional<std::set<fleet::worker_life>>& recorded, bool committed)
{
    if (!recorded.has_value())
    {
        return;
    }
    unrenewed_in_flight_ = false;
    unrenewed_record_failed_ = !committed;
    if (committed)
    {
        unrenewed_ = *recorded;
        capacity_changed_ = true; // those taken off may take tasks
    }
}

bool dispatcher::may_be_renewed(const worker_view& worker) const
{
    const std::string& id = worker.info.life.id;
    const auto at = unrenewed_.lower_bound({id, std::numeric_limits<std::int64_t>::min()});
    return at == unrenewed_.end() || at->id != id;
}

} // namespace plumspoke::dispatch
