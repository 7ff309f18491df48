#pragma once

/// @file
/// @brief Which jobs are being made durable now, by any of this process's threads.

#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace plumspoke::job_server
{

/// @brief Ids of jobs whose record has been handed to the log and has not come back.
/// @note A caller whose first try got no answer asks again, maybe by another entry. "Not taken" may be said
///       only where no earlier try of the same id can still be committed.
class in_flight_submits
{
  public:
    /// @brief Holds an id for as long as its record is on its way.
    class entry
    {
      public:
        entry(in_flight_submits& owner, std::string id) : owner_(owner), id_(std::move(id))
        {
            const std::lock_guard lock(owner_.mutex_);
            owner_.ids_.insert(id_);
        }
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;
        ~entry()
        {
            const std::lock_guard lock(owner_.mutex_);
            owner_.ids_.erase(owner_.ids_.find(id_));
        }

        /// @brief Whether another try of the same id is on its way too.
        [[nodiscard]] bool has_duplicate() const
        {
            const std::lock_guard lock(owner_.mutex_);
            return owner_.ids_.count(id_) > 1;
        }

      private:
        in_flight_submits& owner_;
        std::string id_;
    };

    /// @brief Whether a record of this id is on its way.
    [[nodiscard]] bool contains(const std::string& id) const
    {
        const std::lock_guard lock(mutex_);
        return ids_.contains(id);
    }

  private:
    mutable std::mutex mutex_;
    std::multiset<std::string> ids_;
};

} // namespace plumspoke::job_server
