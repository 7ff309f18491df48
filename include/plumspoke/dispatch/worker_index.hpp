#pragma once

/// @file
/// @brief Index of the workers that can take a kind of task, best first, for the duration of one placement.
///
/// Hundreds of steps may wait on a fleet of thousands of workers that are nearly full. Checking for every
/// step whether it fits on every worker, and what runs there, would take too long. The workers are scored
/// once per kind of task and placement. A step then checks only those with enough free capacity, in
/// descending order of score, until it has as many as it needs. Workers that are left out have lower scores
/// than all that are taken. Workers that have changed since are checked separately. Fillers have a kind per
/// image, for which even this is too much work: see filler_ranking.

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

/// @brief Tasks of one kind are scored alike on a worker, apart from their size.
enum class task_kind : std::uint8_t
{
    short_task,          // ends by itself and uses all that it reserves
    serving,             // runs until it is stopped and has a latency target
    filler,              // uses what others leave unused
    starving_filler,     // a filler that has waited for so long that it may interfere with serving tasks
    owed_filler,         // the same, of a job that must start since most of its pool is free
    sharing_filler,      // a filler that may share the processors that others use
    owed_sharing_filler, // the same, of a job that must start since most of its pool is free
};

/// @brief Key of a ranking: a kind of task, and the image where scores depend on it.
struct index_key
{
    task_kind kind = task_kind::short_task;
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
    double min_slack = 0;
};

/// @brief What runs on a worker, as far as it matters for interference. Rebuilt when the worker has changed,
///        so that its runs are not iterated over for each image.
struct colocation_summary
{
    std::uint64_t changed = ~std::uint64_t{0}; // worker_view::changed when this was built
    bool over_target = false;
    bool has_throttled_filler = false;
    std::vector<serving_image> serving;
    std::vector<image_number> fillers; // without duplicates
};

/// @brief Position of a worker that has no row.
inline constexpr std::size_t no_row = ~std::size_t{0};

/// @brief Inputs of the score of one worker, for all kinds of tasks.
struct worker_row
{
    worker_view* worker = nullptr;
    std::int64_t free_cpu_milli = 0;    // for tasks other than fillers
    std::int64_t filler_free_milli = 0; // for fillers
    std::int64_t total_milli = 0;
    std::int64_t filler_milli = 0;
    double penalty = 0; // subtracted from the score, for failures and while the worker is set aside
    int serving_runs = 0;
    const colocation_summary* colocation = nullptr;
};

/// @brief A worker's row for fillers. Its free capacity is an upper bound of the score of any filler there.
struct filler_row
{
    const worker_row* row = nullptr;
    std::int64_t free_milli = 0;
    std::uint32_t position = 0; // in worker_index::rows()
};

/// @brief A worker that can take a kind of task.
struct indexed_worker
{
    worker_view* worker = nullptr;
    double score = 0;            // without what depends on the individual task
    std::int64_t free_milli = 0; // when the index was filled; decreases only during a placement
    std::uint32_t position = 0;  // breaks ties: the lower one is preferred
};

/// @brief Whether a worker is ranked below another one.
[[nodiscard]] inline bool ranks_below(const indexed_worker& left, const indexed_worker& right) noexcept
{
    return left.score < right.score || (left.score == right.score && left.position > right.position);
}

/// @brief The workers for one kind of task, best first, sorted lazily.
class worker_ranking
{
  public:
    /// @brief Sets the workers. Equal ones keep their order.
    void assign(std::vector<indexed_worker> all);

    /// @return the worker at a position of the ranking, or null past the end
    [[nodiscard]] const indexed_worker* at(std::size_t position);

  private:
    std::vector<indexed_worker> ranked_;
    std::vector<indexed_worker> heap_; // not ranked yet
};

/// @brief The workers for one kind of filler, best first, evaluated and sorted lazily.
///
/// Workers are evaluated in descending order of their free capacity, which is an upper bound of their score.
/// A worker whose score exceeds the next one's free capacity is better than all that are not evaluated yet
/// (the threshold algorithm of Fagin et al., 2001). With dozens of images that wait on thousands of workers,
/// only few of the pairs are evaluated.
class filler_ranking
{
  public:
    /// @param rows in descending order of free capacity
    /// @param evaluate returns the worker of a row with its score, or nothing if it can't take such a filler
    /// @return the worker at a position of the ranking, or null past the end
    template <typename Evaluate>
    [[nodiscard]] const indexed_worker*
    at(std::size_t position, std::span<const filler_row> rows, Evaluate evaluate)
    {
        while (ranked_.size() <= position && (evaluated_ < rows.size() || !heap_.empty()))
        {
            if (!heap_.empty() && (evaluated_ == rows.size() || front_beats(rows[evaluated_])))
            {
                rank_best();
                continue;
            }
            const filler_row& row = rows[evaluated_++];
            if (std::optional<indexed_worker> indexed = evaluate(*row.row); indexed.has_value())
            {
                indexed->position = row.position;
                heap_.push_back(*indexed);
                std::push_heap(heap_.begin(), heap_.end(), ranks_below);
            }
        }
        return position < ranked_.size() ? &ranked_[position] : nullptr;
    }

  private:
    [[nodiscard]] bool front_beats(const filler_row& next) const noexcept
    {
        return heap_.front().score > static_cast<double>(next.free_milli);
    }
    void rank_best();

    std::vector<indexed_worker> ranked_;
    std::vector<indexed_worker> heap_; // evaluated, but possibly worse than one that is not evaluated yet
    std::size_t evaluated_ = 0;        // number of rows
};

/// @brief The rankings of workers by kind of task.
class worker_index
{
  public:
    /// @brief Clears the index for another placement.
    void clear() noexcept
    {
        by_kind_.clear();
        fillers_.clear();
        filler_rows_.clear();
        rows_.clear();
    }

    /// @brief The rows of the available workers, filled once per placement.
    [[nodiscard]] std::vector<worker_row>& rows() noexcept
    {
        return rows_;
    }

    /// @brief The ranking for a kind of task other than a filler.
    /// @param collect returns the workers; called once per kind and placement
    template <typename Collect> [[nodiscard]] worker_ranking& find(const index_key& key, Collect collect)
    {
        const auto [at, is_new] = by_kind_.try_emplace(key);
        if (is_new)
        {
            at->second.assign(collect());
        }
        return at->second;
    }

    /// @brief The rows in descending order of free capacity for fillers.
    /// @pre rows() is filled
    [[nodiscard]] std::span<const filler_row> filler_rows();

    /// @brief The ranking for a kind of filler.
    [[nodiscard]] filler_ranking& fillers(const index_key& key)
    {
        return fillers_[key];
    }

  private:
    std::vector<worker_row> rows_;
    std::vector<filler_row> filler_rows_;
    std::map<index_key, filler_ranking> fillers_;
    std::map<index_key, worker_ranking> by_kind_;
};

} // namespace plumspoke::dispatch
