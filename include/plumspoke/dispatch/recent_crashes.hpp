#pragma once

/// @file
/// @brief Which workers have crashed lately, by address: what explains a crash other than the tasks there.

#include "plumspoke/time/time.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace plumspoke::dispatch
{

/// @brief The crashes that this leader has seen in its term: soft state.
class recent_crashes
{
  public:
    /// @brief Takes note of a crash, and forgets old ones.
    /// @complexity linear in the number of addresses that crashed lately
    void record(time_point now, const std::string& address);

    /// @brief Whether a worker at this address crashed in the last minute.
    [[nodiscard]] bool crashed_recently(time_point now, const std::string& address) const;

    /// @brief Whether so many of the workers crashed in the last seconds that it has one cause outside of
    /// them.
    /// @param silent workers that don't answer and may have crashed as well
    /// @param workers all that are known
    [[nodiscard]] bool is_widespread(time_point now, std::size_t silent, std::size_t workers) const;

  private:
    std::map<std::string, time_point> latest_; // by address
};

} // namespace plumspoke::dispatch
