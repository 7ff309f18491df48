#pragma once

/// @file
/// @brief Who has asked to be taken into a group. No I/O, no lock.

#include "plumspoke/replica/message.hpp"
#include "plumspoke/time/time.hpp"

#include <vector>

namespace plumspoke::replica
{

/// @brief Requests that have not been granted yet. One change of membership is made at a time, so a request
///        may have to wait for the change before it.
class join_requests
{
  public:
    /// @brief Adds a request, or renews it. An earlier one of the same VM, with another disk, is dropped.
    void add(const member& joining, time_point now);

    /// @brief Requests of disks that are not members, oldest first. Others, and expired ones, are dropped.
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
