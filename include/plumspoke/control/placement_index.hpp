#pragma once

/// @file
/// @brief Workers by free processors, so that a placement looks at a few of them, not at all.

#include "plumspoke/control/state.hpp"

#include <array>
#include <functional>

namespace plumspoke::control
{

/// @brief A worker as placement sees it within one round.
struct placement_candidate
{
    const worker_record* worker = nullptr;
    resources free;
    std::size_t bucket = 0;
    std::size_t position = 0; // in its bucket
};

/// @brief Buckets of workers by powers of two of free processors.
class placement_index
{
  public:
    /// @brief Takes all usable workers in.
    /// @complexity Linear in the workers; once a round, not once a placement.
    void rebuild(const control_state& state, const std::function<bool(const std::string&)>& usable);

    /// @brief Up to `max_count` workers that have room: half among the emptiest, half among the fullest.
    /// @complexity Linear in `max_count` while workers with room are common.
    [[nodiscard]] std::vector<placement_candidate*>
    sample(const resources& needed, std::uint64_t random, std::size_t max_count);

    /// @brief The first worker with room, in the order of names.
    [[nodiscard]] placement_candidate* first_with_room(const resources& needed);

    /// @brief The worker with room that has the max_count free processors.
    [[nodiscard]] placement_candidate* most_free(const resources& needed);

    /// @brief Something was placed on a worker.
    void reserve(placement_candidate& from, const resources& taken);

    [[nodiscard]] std::vector<placement_candidate>& candidates() noexcept
    {
        return candidates_;
    }

  private:
    static constexpr std::size_t bucket_count = 40;

    [[nodiscard]] static std::size_t bucket_of(std::int64_t millicores) noexcept;
    void insert(std::size_t candidate);
    void sample_bucket(std::size_t bucket_number,
                       const resources& needed,
                       std::uint64_t random,
                       std::size_t max_count,
                       std::vector<placement_candidate*>& found);

    std::vector<placement_candidate> candidates_;
    std::array<std::vector<std::size_t>, bucket_count> buckets_;
};

} // namespace plumspoke::control
