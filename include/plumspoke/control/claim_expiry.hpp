#pragma once

/// @file
/// @brief Ends claims whose entry didn't record an outcome in time.

#include "plumspoke/control/state.hpp"
#include "plumspoke/time/time.hpp"

namespace plumspoke::control
{

/// @brief Tracks how long each open claim has been in progress and ends overdue ones as unknown.
///
/// Soft state of one leader: times count from when this leader first saw the claim.
class claim_expiry
{
  public:
    /// @param margin time after a request's deadline at which its claim is ended
    explicit claim_expiry(duration margin) noexcept : margin_(margin)
    {
    }

    /// @brief Clears all times; called when leadership begins.
    void reset() noexcept
    {
        seen_.clear();
    }

    /// @brief Commands that end the claims open for longer than their deadline plus the margin.
    [[nodiscard]] std::vector<command> tick(time_point now, const control_state& state);

  private:
    duration margin_;
    std::map<std::uint64_t, time_point> seen_; // when a claim was first seen, by its id
};

} // namespace plumspoke::control
