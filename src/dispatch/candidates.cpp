/// @file
/// @brief The workers that may take a step's tasks: from an index by kind of task, which a placement fills
/// once.

#include "ready_step.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

// Beyond one for each task: for what suits one task of a step less than another (it failed there before, its
// copy runs there).
constexpr std::size_t spare_candidates = 32;

} // namespace

std::int64_t dispatcher::cpu_left(const worker_view& of, bool filler) const
{
    return filler ? spare_for_fillers(of) : of.info.room.cpu_milli - of.used.cpu_milli;
}

void dispatcher::note_least_filler(std::span<const ready_step> ready)
{
    least_filler_milli_.clear();
    for (const ready_step& what : ready)
    {
        if (what.spec->filler)
        {
            const std::int64_t needed = what.spec->needs.cpu_milli;
            std::int64_t& least = least_filler_milli_.try_emplace(what.image_id, needed).first->second;
            least = std::min(least, needed);
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
    for (worker_view* of : all_workers())
    {
        if (is_usable(now, *of, true))
        {
            rows.push_back(make_row(*of));
            rows.back().handicap += now < of->set_aside_until ? set_aside_cost : 0;
        }
    }
}

std::vector<indexed_worker> dispatcher::ask_workers(const index_key& what)
{
    const std::vector<worker_row>& rows = index_.rows();
    std::vector<indexed_worker> out;
    out.reserve(rows.size());
    for (const worker_row& of : rows)
    {
        out.push_back({of.on, points_of(of, what), of.cpu_left});
    }
    return out;
}

std::optional<indexed_worker> dispatcher::judge_for_filler(const worker_row& of, const index_key& what) const
{
    if (of.runs->over_target)
    {
        return std::nullopt;
    }
    const bool starves = what.kind == task_kind::starving_filler;
    if (harms(*of.runs, what.image) && (!starves || has_harmful_filler(*of.runs)))
    {
        return std::nullopt;
    }
    return indexed_worker{of.on, points_of(of, what), of.filler_left};
}

dispatcher::worker_order dispatcher::workers_for(time_point now, const ready_step& what, start_kind how)
{
    fill_rows(now);
    const index_key kind = key_of(what, how);
    if (what.spec->filler)
    {
        const std::span<const filler_row> rows = index_.filler_rows();
        const auto end = std::partition_point(rows.begin(),
                                              rows.end(),
                                              [least = least_filler_milli_[kind.image]](const filler_row& one)
                                              {
                                                  return one.room_milli >= least;
                                              });
        return [this, kind, rows = std::span(rows.begin(), end), &ranking = index_.fillers(kind)](
                   std::size_t place)
        {
            return ranking.at(place,
                              rows,
                              [this, &kind](const worker_row& of)
                              {
                                  return judge_for_filler(of, kind);
                              });
        };
    }
    worker_ranking& ranking = index_.find(kind,
                                          [&]
                                          {
                                              return ask_workers(kind);
                                          });
    return [&ranking](std::size_t place)
    {
        return ranking.at(place);
    };
}

std::vector<dispatcher::candidate> dispatcher::find_candidates(
    time_point now, const ready_step& what, start_kind how, std::uint64_t changed_since, std::size_t wanted)
{
    std::vector<candidate> found;
    const std::int64_t needed = what.spec->needs.cpu_milli;
    const auto take = [&](worker_view& of)
    {
        if (of.changed > changed_since && may_take(now, of, what, how) == fitness::fits)
        {
            found.push_back({&of, score(of, what, how)});
        }
    };
    // Their points have changed since the index was made.
    for (worker_view* of : granted_)
    {
        if (cpu_left(*of, what.spec->filler) >= needed)
        {
            take(*of);
        }
    }
    const worker_order worker_at = workers_for(now, what, how);
    const auto take_best = [&](bool wrong_rack)
    {
        const std::size_t enough = found.size() + wanted + spare_candidates;
        for (std::size_t place = 0; found.size() < enough; ++place)
        {
            const indexed_worker* one = worker_at(place);
            if (one == nullptr)
            {
                return;
            }
            if (one->cpu_milli >= needed && is_wrong_rack(*one->on, what) == wrong_rack && !one->on->granted)
            {
                take(*one->on);
            }
        }
    };
    take_best(false);
    if (!what.spec->data_rack.empty())
    {
        take_best(true);
    }
    return found;
}

std::vector<dispatcher::candidate> dispatcher::ask_all(time_point now, const ready_step& what, start_kind how)
{
    std::vector<candidate> found;
    for (worker_view* of : all_workers())
    {
        if (may_take(now, *of, what, how) == fitness::fits)
        {
            found.push_back({of, score(*of, what, how)});
        }
    }
    return found;
}

} // namespace plumspoke::dispatch
