#pragma once

/// @file
/// @brief The order of concurrent calls from one sender.

#include "plumspoke/time/time.hpp"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace plumspoke::replica
{

/// @brief Identifies a call among those of its sender.
struct call_number
{
    std::uint64_t connection = 0; // differs for each connection of a sender
    std::uint64_t sequence = 0;   // rises by one with each call on a connection
};

/// @brief Lets calls that different threads handle take effect in the order in which they were sent.
///
/// Messages that overtake others do no harm, but a heartbeat in front of the entries that it refers to is
/// rejected, and the entries are sent again.
/// @note Thread-safe.
class call_order
{
  public:
    /// @param max_wait how long a call waits for earlier ones, which may be lost
    /// @param max_senders remembered at once
    call_order(duration max_wait, std::size_t max_senders) noexcept;

    /// @brief Waits until the earlier calls of the sender on this connection have ended, or for the limit.
    /// @note The first call that arrives on a connection doesn't wait.
    void begin(const std::string& sender, call_number which);

    /// @brief Lets the next call begin.
    void end(const std::string& sender, call_number which);

  private:
    struct position
    {
        std::uint64_t connection = 0;
        std::uint64_t next = 0; // sequence number
    };

    duration max_wait_;
    std::size_t max_senders_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, position> positions_; // by sender
};

} // namespace plumspoke::replica
