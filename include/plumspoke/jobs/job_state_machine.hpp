#pragma once

/// @file
/// @brief The store as the replicated log sees it, behind one mutex.

#include "plumspoke/jobs/store.hpp"
#include "plumspoke/replica/driver.hpp"

#include <mutex>
#include <optional>

namespace plumspoke::jobs
{

/// @brief Applies commands; other threads read under the lock.
class job_state_machine final : public replica::state_machine
{
  public:
    std::string apply(replica::log_index index, std::string_view command) override;
    [[nodiscard]] std::string save() const override;
    void restore(std::string_view saved) override;

    /// @name with a limit
    /// @note A decision of the leader's loop reads under the lock and may last.
    /// @{
    std::optional<std::string>
    try_apply(replica::log_index index, std::string_view command, duration limit) override;
    [[nodiscard]] std::optional<std::string> try_save(duration limit) const override;
    [[nodiscard]] bool try_restore(std::string_view saved, duration limit) override;
    /// @}

    /// @brief Reads the state under the lock.
    template <typename Reader> decltype(auto) read(Reader reader) const
    {
        const std::lock_guard lock(mutex_);
        return reader(store_);
    }

  private:
    [[nodiscard]] std::string apply_locked(const std::optional<command>& value);
    void restore_locked(std::string_view saved);

    mutable std::timed_mutex mutex_;
    store store_;
};

} // namespace plumspoke::jobs
