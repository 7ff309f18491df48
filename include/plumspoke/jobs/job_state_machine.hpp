#pragma once

/// @file
/// @brief The replicated state machine of the jobs: the store behind a mutex.

#include "plumspoke/jobs/store.hpp"
#include "plumspoke/replica/driver.hpp"

#include <mutex>
#include <optional>

namespace plumspoke::jobs
{

/// @brief Applies committed commands to the store. Thread-safe.
class job_state_machine final : public replica::state_machine
{
  public:
    std::string apply(replica::log_index index, std::string_view command) override;
    [[nodiscard]] std::string save() const override;
    void restore(std::string_view saved) override;

    /// @name with a timeout
    /// @note Decisions of the leader's loop read the state under the lock and may take long.
    /// @{
    std::optional<std::string> try_apply(const replica::log_entry& entry, duration limit) override;
    [[nodiscard]] std::optional<std::string> try_save(duration limit) const override;
    [[nodiscard]] bool try_restore(std::string_view saved, duration limit) override;
    /// @}

    /// @brief Reads the state under the lock.
    template <typename Reader> decltype(auto) read(Reader reader) const
    {
        const std::lock_guard lock(mutex_);
        return reader(store_);
    }

    /// @brief Reads the state under the lock, with the time by which `store::unrenewed()` had been recorded.
    template <typename Reader> decltype(auto) read_with_record_time(Reader reader) const
    {
        const std::lock_guard lock(mutex_);
        return reader(store_, unrenewed_recorded_at_);
    }

  private:
    [[nodiscard]] std::string apply_locked(const std::optional<command>& value, time_point appended_at);
    void restore_locked(std::string_view saved);

    mutable std::timed_mutex mutex_;
    store store_;
    time_point unrenewed_recorded_at_{}; // of this replica's log, or when the state was restored
};

} // namespace plumspoke::jobs
