#pragma once

/// @file
/// @brief Polls the platform's VM list on a separate thread.

#include "plumspoke/time/time.hpp"
#include "plumspoke/vm_list/list.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace plumspoke::vm_list
{

/// @brief Number of polls by result.
struct poll_counts
{
    std::atomic<std::uint64_t> taken{0};
    std::atomic<std::uint64_t> unreachable{0};
    std::atomic<std::uint64_t> garbled{0};
    std::atomic<std::uint64_t> empty{0};
    std::atomic<std::uint64_t> older{0};
};

/// @brief Polls one address and passes each valid list to a listener.
class poller
{
  public:
    using listener = std::function<void(const vm_list&)>;

    /// @param address IP:PORT of the platform; polling is disabled if empty
    poller(std::string address, duration interval, listener on_list);
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;
    ~poller();

    void start();
    void stop();

    [[nodiscard]] const poll_counts& counts() const noexcept
    {
        return counts_;
    }

  private:
    void run();
    void poll_once();
    void count(std::error_code error);

    std::string address_;
    duration interval_;
    listener on_list_;
    list_cache cache_;
    poll_counts counts_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace plumspoke::vm_list
