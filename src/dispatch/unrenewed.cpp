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
#include <utility>

namespace plumspoke::dispatch
{

namespace
{

constexpr auto growth_interval = milliseconds(250); // of records that only add workers
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
bool dispatcher::is_unrenewed(const worker_view& worker) const
{
    const bool is_silent = worker.unanswered_calls > 0 || worker.earlier_lease_end.has_value();
    return worker.info.life.born_ms != 0 && worker.has_inherited_runs && !worker.runs.empty() &&
           !worker.contacted && worker.lease_sent_at == time_point{} && is_silent;
}

void dispatcher::record_unrenewed(time_point now, jobs::round& into)
{
    if (unrenewed_in_flight_ || (now < next_unrenewed_check_at_ && !unrenewed_answered_))
    {
        return;
    }
    next_unrenewed_check_at_ = now + growth_interval;
    unrenewed_answered_ = false;
    jobs::unrenewed_workers current;
    current.term = term_;
    std::set<fleet::worker_life> lives;
    for (const auto& [life, worker] : workers_)
    {
        if (lives.size() < max_recorded && is_unrenewed(worker))
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
    if (lives != unrenewed_)
    {
        unrenewed_in_flight_ = true;
        unrenewed_.merge(lives); // those that are taken off stay until the record is committed
        into.unrenewed = std::move(current);
    }
}

void dispatcher::apply_unrenewed(time_point now,
                                 const std::optional<std::set<fleet::worker_life>>& recorded,
                                 bool committed)
{
    if (!recorded.has_value())
    {
        return;
    }
    unrenewed_in_flight_ = false;
    if (!committed)
    {
        unrenewed_answered_ = true;
        return;
    }
    for (const fleet::worker_life& life : std::exchange(unrenewed_, *recorded))
    {
        worker_view* worker = find_worker(life);
        if (worker != nullptr && !unrenewed_.contains(life))
        {
            worker->next_poll_at = std::min(worker->next_poll_at, now);
            mark_changed(*worker);
            capacity_changed_ = true;
        }
    }
}

bool dispatcher::may_be_renewed(const worker_view& worker) const
{
    return unrenewed_.empty() || !unrenewed_.contains(worker.info.life);
}

} // namespace plumspoke::dispatch
