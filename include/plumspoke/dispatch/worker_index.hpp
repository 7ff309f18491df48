#pragma once

/// @file
/// @brief Which workers may take a kind of task at all, best first, for the length of one placement.
///
/// For hundreds of steps that wait on a fleet of thousands of workers that are nearly full: not every step
/// can ask every worker whether it fits and what runs beside it. A kind's workers are asked once for a
/// placement; a step then looks only at those that have room for it, in the order of their points, until it
/// has as many as it needs. What is left out has fewer points than all that is taken; workers that have
/// changed since are asked apart. Fillers, of which there are as many kinds as images, go further: see
/// filler_ranking.

#include "plumspoke/dispatch/interference.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <tuple>
#include <vector>

namespace plumspoke::dispatch
{

struct worker_view;

/// @brief What tasks have in common that are alike to a worker, apart from their size.
enum class task_kind : std::uint8_t
{
    brief,           // ends by itself and counts with all that it reserves
    serving,         // lasts, and has a target for its users
    filler,          // fills what others leave unused
    starving_filler, // the same, and has waited for so long that harm elsewhere is the lesser evil
};

/// @brief What a list of the index is for: a kind of task, by image where workers tell images apart.
struct index_key
{
    task_kind kind = task_kind::brief;
    image_number image = 0;

    bool operator<(const index_key& other) const noexcept
    {
        return std::tie(kind, image) < std::tie(other.kind, other.image);
    }
};

/// @brief The serving tasks of one image on a worker.
struct serving_image
{
    image_number image = 0;
    int runs = 0;
    double least_slack = 0;
};

/// @brief What runs on a worker, as far as tasks disturb each other: made anew when the worker has changed,
/// so
///        that nobody walks over its runs for each image.
struct runs_digest
{
    std::uint64_t changed = ~std::uint64_t{0}; // worker_view::changed then
    bool over_target = false;
    bool has_slowed_filler = false;
    std::vector<serving_image> serving;
    std::vector<image_number> fillers; // each image once
};

/// @brief What a kind of task is judged by on one worker.
struct worker_row
{
    worker_view* on = nullptr;
    std::int64_t cpu_left = 0;    // to tasks that count whole
    std::int64_t filler_left = 0; // to fillers
    std::int64_t whole_milli = 0;
    std::int64_t filler_milli = 0;
    double handicap = 0; // points that it loses for failures and as one that is set aside
    int serving_runs = 0;
    const runs_digest* runs = nullptr;
};

/// @brief A worker's row for fillers; their points there are never more than the room that it has for them.
struct filler_row
{
    const worker_row* of = nullptr;
    std::int64_t room_milli = 0;
    std::uint32_t place = 0; // among all rows
};

/// @brief A worker that may take a kind of task.
struct indexed_worker
{
    worker_view* on = nullptr;
    double points = 0;          // without what differs by task
    std::int64_t cpu_milli = 0; // room when the index was made; a placement only takes from it
    std::uint32_t place = 0;    // of equal ones the first is taken
};

/// @brief Whether a worker comes after another one.
[[nodiscard]] inline bool is_worse(const indexed_worker& left, const indexed_worker& right) noexcept
{
    return left.points < right.points || (left.points == right.points && left.place > right.place);
}

/// @brief The workers of one kind, best first, ordered only as far as somebody asks.
class worker_ranking
{
  public:
    /// @brief Takes the workers in; of equal ones the first stays the first.
    void assign(std::vector<indexed_worker> all);

    /// @brief The worker at a place of the order, or null where there are not so many.
    [[nodiscard]] const indexed_worker* at(std::size_t place);

  private:
    std::vector<indexed_worker> ranked_;
    std::vector<indexed_worker> open_; // a heap
};

/// @brief The workers of one kind of filler, best first, judged only as far as somebody asks.
///
/// Workers are judged in the order of their room, which bounds their points: one that has more points than
/// the next has room is better than all that are not judged yet (as in the threshold algorithm of Fagin and
/// others, 2001). With dozens of images that wait on thousands of workers, few of the pairs need judging.
class filler_ranking
{
  public:
    /// @brief The worker at a place of the order, or null where there are not so many.
    /// @param rows by falling room
    /// @param judge the worker with its points, or nothing where it may not take such a filler
    template <typename Judge>
    [[nodiscard]] const indexed_worker* at(std::size_t place, std::span<const filler_row> rows, Judge judge)
    {
        while (ranked_.size() <= place && (judged_ < rows.size() || !open_.empty()))
        {
            if (!open_.empty() && (judged_ == rows.size() || surely_next(rows[judged_])))
            {
                rank_best();
                continue;
            }
            const filler_row& row = rows[judged_++];
            if (std::optional<indexed_worker> one = judge(*row.of); one.has_value())
            {
                one->place = row.place;
                open_.push_back(*one);
                std::push_heap(open_.begin(), open_.end(), is_worse);
            }
        }
        return place < ranked_.size() ? &ranked_[place] : nullptr;
    }

  private:
    [[nodiscard]] bool surely_next(const filler_row& not_judged) const noexcept
    {
        return open_.front().points > static_cast<double>(not_judged.room_milli);
    }
    void rank_best();

    std::vector<indexed_worker> ranked_;
    std::vector<indexed_worker> open_; // a heap: judged, and maybe worse than one that is not judged yet
    std::size_t judged_ = 0;           // rows
};

/// @brief The workers by kind of task.
class worker_index
{
  public:
    /// @brief Forgets all: another placement begins.
    void clear() noexcept
    {
        by_kind_.clear();
        fillers_.clear();
        filler_rows_.clear();
        rows_.clear();
    }

    /// @brief The workers that may take anything; filled once for a placement.
    [[nodiscard]] std::vector<worker_row>& rows() noexcept
    {
        return rows_;
    }

    /// @brief The ranking of a kind of task that is no filler.
    /// @param ask returns the workers; called once for each kind and placement
    template <typename Ask> [[nodiscard]] worker_ranking& find(const index_key& what, Ask ask)
    {
        const auto [at, is_new] = by_kind_.try_emplace(what);
        if (is_new)
        {
            at->second.assign(ask());
        }
        return at->second;
    }

    /// @brief The rows by falling room for fillers; rows() has been filled.
    [[nodiscard]] std::span<const filler_row> filler_rows();

    /// @brief The ranking of a kind of filler.
    [[nodiscard]] filler_ranking& fillers(const index_key& what)
    {
        return fillers_[what];
    }

  private:
    std::vector<worker_row> rows_;
    std::vector<filler_row> filler_rows_;
    std::map<index_key, filler_ranking> fillers_;
    std::map<index_key, worker_ranking> by_kind_;
};

} // namespace plumspoke::dispatch
