#pragma once

/// @file
/// @brief Ends claims whose entry never said what became of them: their outcome is unknown, for good.

#include "plumspoke/control/state.hpp"
#include "plumspoke/time/time.hpp"

namespace plumspoke::control
{

/// @brief Soft state of one leader: since when each open claim has been seen.
class claim_expiry
{
  public:
    /// @param margin time past a request's own deadline until its claim is ended
    explicit claim_expiry(duration margin) noexcept : margin_(margin)
    {
    }

    /// @brief Forgets everything, as a new leader must.
    void reset() noexcept
    {
        seen_.clear();
    }

    /// @brief Commands that end what has been open for longer than its deadline and the margin.
    [[nodiscard]] std::vector<command> tick(time_point now, const control_state& state);

  private:
    duration margin_;
    std::map<std::uint64_t, time_point> seen_; // by claim
};

} // namespace plumspoke::control
