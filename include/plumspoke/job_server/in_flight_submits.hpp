#pragma once

/// @file
/// @brief The submits that this process has proposed to the log and that are not decided yet.

#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace plumspoke::job_server
{

/// @brief Ids of jobs whose record was proposed to the log and is neither committed nor rejected yet.
///        Thread-safe.
/// @note A caller whose first attempt got no answer retries, possibly through another entry. "Not taken" may
///       be reported only if no earlier attempt for the same id can still be committed.
class in_flight_submits
{
  public:
    /// @brief Registers an id for as long as its record is in flight.
    class entry
    {
      public:
        entry(in_flight_submits& owner, std::string id) : owner_(owner), id_(std::move(id))
        {
            const std::lock_guard lock(owner_.mutex_);
            had_duplicate_ = owner_.ids_.contains(id_);
            owner_.ids_.insert(id_);
        }
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;
        ~entry()
        {
            const std::lock_guard lock(owner_.mutex_);
            owner_.ids_.erase(owner_.ids_.find(id_));
        }

        /// @brief Whether another submit of the same id is in flight too, or was when this one was
        ///        registered: its record may have been committed since.
        [[nodiscard]] bool has_duplicate() const
        {
            const std::lock_guard lock(owner_.mutex_);
            return had_duplicate_ || owner_.ids_.count(id_) > 1;
        }

      private:
        in_flight_submits& owner_;
        std::string id_;
        bool had_duplicate_ = false;
    };

    /// @brief Whether a submit of this id is in flight.
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
