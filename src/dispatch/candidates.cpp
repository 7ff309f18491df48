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

void dispatcher::ask_workers(time_point now, const index_key& what, std::vector<indexed_worker>& into)
{
    fill_rows(now);
    if (what.kind != task_kind::filler && what.kind != task_kind::starving_filler)
    {
        for (const worker_row& of : index_.rows())
        {
            into.push_back({of.on, points_of(of, what), of.cpu_left});
        }
        return;
    }
    const bool starves = what.kind == task_kind::starving_filler;
    const std::int64_t least = least_filler_milli_[what.image];
    for (const worker_row& of : index_.rows())
    {
        if (of.filler_left < least || of.runs->over_target)
        {
            continue;
        }
        if (!harms(*of.runs, what.image) || (starves && !has_harmful_filler(*of.runs)))
        {
            into.push_back({of.on, points_of(of, what), of.filler_left});
        }
    }
}

std::span<const indexed_worker> dispatcher::workers_for(time_point now, const ready_step& what)
{
    const index_key kind = key_of(what);
    return index_.find(kind,
                       [&](std::vector<indexed_worker>& into)
                       {
                           ask_workers(now, kind, into);
                       });
}

std::vector<dispatcher::candidate> dispatcher::find_candidates(
    time_point now, const ready_step& what, bool first_start, std::uint64_t changed_since, std::size_t wanted)
{
    std::vector<candidate> found;
    const std::int64_t needed = what.spec->needs.cpu_milli;
    const auto take = [&](worker_view& of)
    {
        if (of.changed > changed_since && may_take(now, of, what, first_start) == fitness::fits)
        {
            found.push_back({&of, score(of, what)});
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
    const std::span<const indexed_worker> all = workers_for(now, what);
    const auto take_best = [&](bool wrong_rack)
    {
        const std::size_t enough = found.size() + wanted + spare_candidates;
        for (const indexed_worker& one : all)
        {
            if (found.size() >= enough)
            {
                return;
            }
            if (one.cpu_milli >= needed && is_wrong_rack(*one.on, what) == wrong_rack && !one.on->granted)
            {
                take(*one.on);
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

std::vector<dispatcher::candidate>
dispatcher::ask_all(time_point now, const ready_step& what, bool first_start)
{
    std::vector<candidate> found;
    for (worker_view* of : all_workers())
    {
        if (may_take(now, *of, what, first_start) == fitness::fits)
        {
            found.push_back({of, score(*of, what)});
        }
    }
    return found;
}

} // namespace plumspoke::dispatch
