/// @file
/// @brief Finds workers that can take a step's tasks, from an index by kind of task that is filled once per
///        placement.

#include "ready_step.hpp"

#include <algorithm>
#include <limits>

namespace plumspoke::dispatch
{

namespace
{

// Candidates beyond one for each task, since a worker may suit only some tasks of a step: one may have failed
// there before, or its copy runs there.
constexpr std::size_t spare_candidates = 32;

} // namespace

std::int64_t dispatcher::needed_cpu_milli(const ready_step& step, start_kind start) noexcept
{
    return start == start_kind::shared_processors ? std::numeric_limits<std::int64_t>::min()
                                                  : step.spec->needs.cpu_milli;
}

std::int64_t dispatcher::free_cpu_milli(const worker_view& worker, bool filler) const
{
    return filler ? filler_headroom_milli(worker) : worker.info.room.cpu_milli - worker.used.cpu_milli;
}

void dispatcher::update_min_filler_cpu(std::span<const ready_step> ready)
{
    min_filler_cpu_milli_.clear();
    for (const ready_step& step : ready)
    {
        if (step.spec->filler)
        {
            const std::int64_t needed = step.spec->needs.cpu_milli;
            std::int64_t& smallest = min_filler_cpu_milli_.try_emplace(step.image_id, needed).first->second;
            smallest = std::min(smallest, needed);
        }
    }
}

void dispatcher::fill_rows(time_point now)
{
    std::vector<worker_row>& rows = index_.rows();
    if (!rows.empty())
    {
        return;
    }
    for (worker_view* worker : all_workers())
    {
        worker->row = no_row;
        if (is_available(now, *worker, true))
        {
            worker->row = rows.size();
            rows.push_back(make_row(*worker));
            rows.back().penalty += now < worker->set_aside_until ? set_aside_cost : 0;
        }
    }
}

std::vector<indexed_worker> dispatcher::make_indexed_workers(const index_key& key)
{
    const std::vector<worker_row>& rows = index_.rows();
    std::vector<indexed_worker> out;
    out.reserve(rows.size());
    for (const worker_row& row : rows)
    {
        out.push_back({row.worker, base_score(row, key), row.free_cpu_milli});
    }
    return out;
}

std::optional<indexed_worker> dispatcher::evaluate_for_filler(const worker_row& row,
                                                              const index_key& key) const
{
    if (row.colocation->over_target)
    {
        return std::nullopt;
    }
    const bool starving = key.kind == task_kind::starving_filler;
    const bool owed = key.kind == task_kind::owed_filler || key.kind == task_kind::owed_sharing_filler;
    if (!owed && would_interfere(*row.colocation, key.image) &&
        (!starving || has_interfering_filler(*row.colocation)))
    {
        return std::nullopt;
    }
    return indexed_worker{row.worker, base_score(row, key), row.filler_free_milli};
}

dispatcher::ranked_worker_lookup
dispatcher::ranked_workers(time_point now, const ready_step& step, start_kind start)
{
    fill_rows(now);
    const index_key key = index_key_for(step, start);
    if (step.spec->filler)
    {
        const std::span<const filler_row> rows = index_.filler_rows();
        const auto end =
            std::partition_point(rows.begin(),
                                 rows.end(),
                                 [least = start == start_kind::shared_processors
                                              ? needed_cpu_milli(step, start)
                                              : min_filler_cpu_milli_[key.image]](const filler_row& row)
                                 {
                                     return row.free_milli >= least;
                                 });
        return [this, key, rows = std::span(rows.begin(), end), &ranking = index_.fillers(key)](
                   std::size_t position)
        {
            return ranking.at(position,
                              rows,
                              [this, &key](const worker_row& row)
                              {
                                  return evaluate_for_filler(row, key);
                              });
        };
    }
    worker_ranking& ranking = index_.find(key,
                                          [&]
                                          {
                                              return make_indexed_workers(key);
                                          });
    return [&ranking](std::size_t position)
    {
        return ranking.at(position);
    };
}

worker_ranking dispatcher::rank_changed_workers(time_point now,
                                                const ready_step& step,
                                                start_kind start,
                                                std::uint64_t changed_since)
{
    fill_rows(now);
    const index_key key = index_key_for(step, start);
    std::vector<std::size_t> changed;
    for (const worker_view& worker : changed_workers_)
    {
        if (worker.changed <= changed_since)
        {
            break;
        }
        if (worker.row != no_row && !worker.granted)
        {
            changed.push_back(worker.row);
        }
    }
    std::sort(changed.begin(), changed.end()); // among equal ones the first row is preferred
    std::vector<indexed_worker> found;
    for (const std::size_t position : changed)
    {
        const worker_row& row = index_.rows()[position];
        if ((step.spec->filler ? row.filler_free_milli : row.free_cpu_milli) < needed_cpu_milli(step, start))
        {
            continue;
        }
        if (!step.spec->filler)
        {
            found.push_back({row.worker, base_score(row, key), row.free_cpu_milli});
        }
        else if (const std::optional<indexed_worker> indexed = evaluate_for_filler(row, key);
                 indexed.has_value())
        {
            found.push_back(*indexed);
        }
    }
    worker_ranking ranking;
    ranking.assign(std::move(found));
    return ranking;
}

// A step that no worker could take is tried again only on those that have changed since, which are few.
std::vector<dispatcher::candidate> dispatcher::find_candidates(
    time_point now, const ready_step& step, start_kind start, std::uint64_t changed_since, std::size_t wanted)
{
    std::vector<candidate> found;
    const std::int64_t needed = needed_cpu_milli(step, start);
    const auto take = [&](worker_view& worker)
    {
        if (worker.changed > changed_since &&
            check_eligibility(now, worker, step, start) == eligibility::eligible)
        {
            found.push_back({&worker, score_worker(worker, step, start)});
        }
    };
    // The scores of these workers have changed since the index was filled.
    for (worker_view* worker : granted_)
    {
        if (free_cpu_milli(*worker, step.spec->filler) >= needed)
        {
            take(*worker);
        }
    }
    worker_ranking changed;
    ranked_worker_lookup worker_at;
    if (changed_since > 0)
    {
        changed = rank_changed_workers(now, step, start, changed_since);
        worker_at = [&changed](std::size_t position)
        {
            return changed.at(position);
        };
    }
    else
    {
        worker_at = ranked_workers(now, step, start);
    }
    const auto take_best = [&](bool off_data_rack)
    {
        const std::size_t enough = found.size() + wanted + spare_candidates;
        for (std::size_t position = 0; found.size() < enough; ++position)
        {
            const indexed_worker* indexed = worker_at(position);
            if (indexed == nullptr)
            {
                return;
            }
            ++counts_.workers_compared;
            if (indexed->free_milli >= needed && is_off_data_rack(*indexed->worker, step) == off_data_rack &&
                !indexed->worker->granted)
            {
                take(*indexed->worker);
            }
        }
    };
    take_best(false);
    if (!step.spec->data_rack.empty())
    {
        take_best(true);
    }
    return found;
}

std::vector<dispatcher::candidate>
dispatcher::scan_all_workers(time_point now, const ready_step& step, start_kind start)
{
    std::vector<candidate> found;
    for (worker_view* worker : all_workers())
    {
        if (check_eligibility(now, *worker, step, start) == eligibility::eligible)
        {
            found.push_back({worker, score_worker(*worker, step, start)});
        }
    }
    return found;
}

} // namespace plumspoke::dispatch
