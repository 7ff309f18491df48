#include "plumspoke/dispatch/recent_crashes.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

namespace
{

constexpr auto crash_window = seconds(60); // faulty workers crash repeatedly
constexpr auto simultaneous_window =
    seconds(5); // the crash of a rack is seen when its workers return, 2 to 5 s later
constexpr std::size_t min_widespread = 3; // up to this many tasks may crash their workers at the same time
constexpr std::size_t widespread_divisor =
    5; // more than a fifth of the workers: caused by a rack, a zone or a release

} // namespace

void recent_crashes::record(time_point now, const std::string& address)
{
    std::erase_if(latest_,
                  [now](const auto& entry)
                  {
                      return entry.second + crash_window < now;
                  });
    latest_[address] = now;
}

bool recent_crashes::crashed_recently(time_point now, const std::string& address) const
{
    const auto found = latest_.find(address);
    return found != latest_.end() && now <= found->second + crash_window;
}

bool recent_crashes::is_widespread(time_point now, std::size_t silent, std::size_t workers) const
{
    const auto at_once = std::count_if(latest_.begin(),
                                       latest_.end(),
                                       [now](const auto& entry)
                                       {
                                           return now <= entry.second + simultaneous_window;
                                       });
    return static_cast<std::size_t>(at_once) + silent >
           std::max(min_widespread, workers / widespread_divisor);
}

} // namespace plumspoke::dispatch
