#pragma once

/// @file
/// @brief Index of workers by free processors, so that a placement examines only a few of them.

#include "plumspoke/control/state.hpp"

#include <array>
#include <functional>

namespace plumspoke::control
{

/// @brief A usable worker and its free capacity within one scheduling round.
struct placement_candidate
{
    const worker_record* worker = nullptr;
    resources free;
    std::size_t bucket = 0;
    std::size_t position = 0; // index in its bucket
};

/// @brief Workers in buckets by powers of two of their free processors.
class placement_index
{
  public:
    /// @brief Rebuilds the index from all usable workers, once per round.
    /// @complexity Linear in the number of workers.
    void rebuild(const control_state& state, const std::function<bool(const std::string&)>& usable);

    /// @brief Up to `max_count` workers with enough free capacity: half among those with the most free
    ///        processors, half among those with the fewest.
    /// @complexity Linear in `max_count` while workers with enough capacity are common.
    [[nodiscard]] std::vector<placement_candidate*>
    sample(const resources& needed, std::uint64_t random, std::size_t max_count);

    /// @brief The first worker by name with enough free capacity, or null.
    [[nodiscard]] placement_candidate* first_with_room(const resources& needed);

    /// @brief The worker with enough free capacity and the most free processors, or null.
    [[nodiscard]] placement_candidate* most_free(const resources& needed);

    /// @brief Deducts the capacity of a placed task from a worker.
    void reserve(placement_candidate& from, const resources& taken);

    [[nodiscard]] std::vector<placement_candidate>& candidates() noexcept
    {
        return candidates_;
    }

  private:
    static constexpr std::size_t bucket_count = 40;

    [[nodiscard]] static std::size_t bucket_of(std::int64_t millicores) noexcept;
    void insert(std::size_t index);
    void sample_bucket(std::size_t bucket_number,
                       const resources& needed,
                       std::uint64_t random,
                       std::size_t max_count,
                       std::vector<placement_candidate*>& found);

    std::vector<placement_candidate> candidates_;
    std::array<std::vector<std::size_t>, bucket_count> buckets_;
};

} // namespace plumspoke::control
