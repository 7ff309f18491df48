#pragma once

/// @file
/// @brief Recent crashes of workers by address: explanations of a crash other than the tasks that ran there.

#include "plumspoke/time/time.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace plumspoke::dispatch
{

/// @brief The crashes seen by this leader in its term; soft state.
class recent_crashes
{
  public:
    /// @brief Records a crash and removes old ones.
    /// @complexity linear in the number of recently crashed addresses
    void record(time_point now, const std::string& address);

    /// @brief Whether a worker at this address crashed within the last minute.
    [[nodiscard]] bool crashed_recently(time_point now, const std::string& address) const;

    /// @brief Whether so many workers crashed within the last 5 s that a common external cause is likely.
    /// @param silent the number of workers that don't answer and may have crashed too
    /// @param workers the number of known workers
    [[nodiscard]] bool is_widespread(time_point now, std::size_t silent, std::size_t workers) const;

  private:
    std::map<std::string, time_point> latest_; // by address
};

} // namespace plumspoke::dispatch
