#pragma once

/// @file
/// @brief Pending requests to join a group. Performs no I/O and takes no lock.

#include "plumspoke/replica/message.hpp"
#include "plumspoke/time/time.hpp"

#include <vector>

namespace plumspoke::replica
{

/// @brief Join requests that have not been granted yet. Because membership changes are made one at a time, a
///        request may have to wait for earlier ones.
class join_requests
{
  public:
    /// @brief Adds or renews a request. An earlier request of the same VM with another disk is dropped.
    void add(const member& joining, time_point now);

    /// @brief Returns the requesting disks that are not members, oldest first. Other and expired requests are
    ///        dropped.
    [[nodiscard]] std::vector<member> pending(time_point now, const membership& present);

  private:
    struct request
    {
        member joining;
        time_point received_at{};
    };

    std::vector<request> requests_;
};

} // namespace plumspoke::replica
