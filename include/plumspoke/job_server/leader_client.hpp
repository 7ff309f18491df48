#pragma once

/// @file
/// @brief Finds the acting leader among the control VMs and calls it.

#include "plumspoke/job_server/leader_backoff.hpp"
#include "plumspoke/time/time.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace plumspoke::wire
{
class JobControl;
}

namespace plumspoke::job_server
{

/// @brief How a call to the leader ended.
enum class call_result : std::uint8_t
{
    answered,
    not_executed, // certainly had no effect
    unknown,      // may have had an effect, or may still have one
};

/// @brief A connection to one control process; see control_channel.hpp.
class control_channel;

/// @brief Tracks the addresses of the control VMs and the current leader, and sends calls to the leader.
class leader_client
{
  public:
    /// @name construction
    /// @{

    /// @param self this process's internal address, excluded from the search; empty for an entry
    /// @param seeds returns configured control addresses; called again before each search
    leader_client(std::string self, std::function<std::vector<std::string>()> seeds);
    leader_client(const leader_client&) = delete;
    leader_client& operator=(const leader_client&) = delete;
    ~leader_client();
    void start();

    /// @brief Ends the waits of all callers, without waiting for the search to end.
    void begin_stop();
    void stop();
    /// @}

    /// @name calls
    /// @{

    /// @brief Calls the leader and retries, also when the leader changes, until there is an answer.
    /// @param deadline when to stop retrying
    /// @param attempt makes one call on a channel within a timeout and returns its result
    /// @param timeout how long to wait while there is no leader; by default until the deadline
    [[nodiscard]] call_result call(time_point deadline,
                                   const std::function<call_result(control_channel&, duration)>& attempt,
                                   const leader_timeout& timeout = {});

    /// @brief Sets an upper bound on the deadlines of all calls, including calls in progress.
    void limit_deadlines(time_point limit);

    /// @brief Adds the address of a leader that a reply named; empty: none.
    void hint(const std::string& address);
    /// @}

    /// @name access
    /// @{

    /// @brief When a leader last answered, if ever.
    [[nodiscard]] std::optional<time_point> last_contact() const;
    [[nodiscard]] std::string leader() const;
    [[nodiscard]] std::uint64_t leader_term() const;
    [[nodiscard]] std::vector<std::string> known_addresses() const;

    /// @brief Calls that timed out on a connection that had carried an answer before.
    [[nodiscard]] std::uint64_t timed_out_calls() const noexcept
    {
        return timed_out_calls_;
    }
    /// @}

    /// @brief Adds addresses of control VMs, such as those of the members; known ones are ignored.
    void add_addresses(const std::vector<std::string>& addresses);

  private:
    struct leader_query;
    struct query_batch;

    void run_poll_loop();
    void search();
    [[nodiscard]] std::shared_ptr<leader_query> send_query(const std::string& address,
                                                           const std::shared_ptr<query_batch>& all);
    void process_answer(const leader_query& ended);
    void drop_queries(time_point asked_before);
    void cancel_queries();
    [[nodiscard]] bool poll_leader();
    [[nodiscard]] std::shared_ptr<control_channel> channel(const std::string& address);
    [[nodiscard]] time_point effective_deadline(time_point deadline) const;
    [[nodiscard]] std::optional<std::string> wait_for_leader(time_point deadline,
                                                             const leader_timeout& timeout);
    void report_failure(const control_channel& used_channel, bool unresponsive);
    void replace_channel(const control_channel& used_channel);
    [[nodiscard]] duration next_search_pause();
    void set_leader(const std::string& address, std::uint64_t term);
    void record_call(control_channel& used_channel, bool answered, bool timed_out) noexcept;

    std::string self_;
    std::function<std::vector<std::string>()> seeds_;
    std::atomic<std::uint64_t> timed_out_calls_{0};

    mutable std::mutex mutex_;
    std::condition_variable leader_changed_;
    std::condition_variable search_signal_;
    std::map<std::string, std::shared_ptr<control_channel>> channels_;
    std::vector<std::string> addresses_;
    std::string leader_;
    std::uint64_t term_ = 0;
    std::optional<time_point> last_contact_;
    time_point leaderless_since_; // valid while there is no leader
    std::map<std::string, reconnect_backoff> reconnect_backoffs_;
    search_backoff search_backoff_;
    std::minstd_rand random_{std::random_device{}()}; // search thread only
    bool search_requested_ = true;
    std::atomic<bool> stopping_{false};
    time_point deadline_limit_ = time_point::max();
    std::vector<std::shared_ptr<leader_query>> queries_; // search thread only
    std::thread thread_;
};

} // namespace plumspoke::job_server
