#pragma once

/// @file
/// @brief The followers to which a leader directs its workers' announcements.

#include "plumspoke/time/time.hpp"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace plumspoke::job_server
{

/// @brief The followers that have recently relayed announcements to this leader. Thread-safe.
///
/// An announcement taken over HTTP costs a connection, a thread and a decision each; relayed ones arrive in
/// batches. A leader that takes its share of them has less processor time for its decisions.
class announcement_relays
{
  public:
    /// @brief Records a relay from a follower.
    /// @param address where the follower takes announcements; ignored if empty
    void record(time_point now, std::string_view address);

    /// @brief Chooses the follower for a worker. The choice changes only if that follower stops relaying, or
    ///        one appears that is preferred (rendezvous hashing; Thaler and Ravishankar, 1998).
    /// @return the address, or an empty text if no follower has relayed recently
    [[nodiscard]] std::string choose(time_point now, std::string_view worker) const;

  private:
    mutable std::mutex mutex_;
    std::map<std::string, time_point, std::less<>> relayed_at_; // by address
};

} // namespace plumspoke::job_server
