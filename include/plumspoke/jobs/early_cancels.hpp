#pragma once

/// @file
/// @brief Cancels that were recorded before the submit of their job.

#include "plumspoke/jobs/job_id.hpp"

#include <cstdint>
#include <functional>
#include <map>

namespace plumspoke::jobs
{

/// @brief The ids of cancels that were recorded while no such job existed.
/// @note The submit may still be in flight, at an entry that retries it or at a former leader. Entries expire
///       so that cancels of jobs that are never submitted use a bounded amount of memory.
class early_cancels
{
  public:
    /// @brief Adds or renews a cancel and removes expired entries.
    /// @param at_ms time of the cancel from its command, in milliseconds since 1970
    /// @complexity Logarithmic, plus constant for each entry removed.
    void add(const job_id& id, std::int64_t at_ms);

    /// @return whether the id had an entry
    bool erase(const job_id& id);

    void clear() noexcept;

    [[nodiscard]] bool contains(const job_id& id) const noexcept;
    [[nodiscard]] std::size_t size() const noexcept;

    /// @brief Calls `visit(id, at_ms)` for each entry, oldest first.
    void for_each(const std::function<void(const job_id&, std::int64_t)>& visit) const;

  private:
    struct entry
    {
        job_id id;
        std::int64_t at_ms = 0;
    };

    void remove_expired(std::int64_t now_ms);

    std::map<std::uint64_t, entry> by_age_;
    std::map<job_id, std::uint64_t> positions_; // in by_age_
    std::uint64_t next_position_ = 0;
};

} // namespace plumspoke::jobs
