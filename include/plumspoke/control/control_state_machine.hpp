#pragma once

/// @file
/// @brief The control state as a replicated state machine, guarded by one mutex.

#include "plumspoke/control/state.hpp"
#include "plumspoke/replica/driver.hpp"

#include <mutex>

namespace plumspoke::control
{

/// @brief Applies the log's commands to the state; other threads read it under the lock.
class control_state_machine final : public replica::state_machine
{
  public:
    std::string apply(replica::log_index index, std::string_view command) override;
    [[nodiscard]] std::string save() const override;
    void restore(std::string_view saved) override;

    /// @brief Calls `reader` with the state while holding the lock.
    template <typename Reader> decltype(auto) read(Reader reader) const
    {
        const std::lock_guard lock(mutex_);
        return reader(state_);
    }

  private:
    mutable std::mutex mutex_;
    control_state state_;
};

} // namespace plumspoke::control
