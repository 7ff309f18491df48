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
    not_executed, // surely nothing was done
    unknown,      // it may have been done, or may be done yet
};

/// @brief Where a control VM's process is reached; a new connection after each report_failure.
class control_channel;

/// @brief Keeps the addresses of the control VMs and knows who leads.
class leader_client
{
  public:
    /// @name construction
    /// @{

    /// @param self this process's internal address, left out of the search; empty for an entry
    /// @param seeds read anew whenever nobody answers
    leader_client(std::string self, std::function<std::vector<std::string>()> seeds);
    leader_client(const leader_client&) = delete;
    leader_client& operator=(const leader_client&) = delete;
    ~leader_client();
    void start();
    void stop();
    /// @}

    /// @name calls
    /// @{

    /// @brief Calls the leader, and the next one when it changes, until there is an answer.
    /// @param deadline when to give up
    /// @param attempt makes one call on a channel with a limit; says how it ended
    /// @param timeout how long to wait where nobody leads; by default until the deadline
    [[nodiscard]] call_result call(time_point deadline,
                                   const std::function<call_result(control_channel&, duration)>& attempt,
                                   const leader_timeout& timeout = {});

    /// @brief Bounds the deadlines of all calls, also of those that are being made.
    void limit_deadlines(time_point limit);

    /// @brief A reply has named another leader.
    void hint(const std::string& address);
    /// @}

    /// @name access
    /// @{

    /// @brief When a leader last answered; nothing where none has.
    [[nodiscard]] std::optional<time_point> last_contact() const;
    [[nodiscard]] std::string leader() const;
    [[nodiscard]] std::uint64_t leader_term() const;
    [[nodiscard]] std::vector<std::string> known_addresses() const;

    /// @brief Calls that ran into their limit on a connection that had carried an answer before.
    [[nodiscard]] std::uint64_t silent_calls() const noexcept
    {
        return silent_calls_;
    }
    /// @}

    /// @brief Adds addresses of control VMs, as the membership names them.
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
    void report_failure(const control_channel& over, bool silent);
    void replace_channel(const control_channel& over);
    [[nodiscard]] duration next_search_pause();
    void set_leader(const std::string& address, std::uint64_t term);
    void record_call(control_channel& over, bool answered, bool timed_out) noexcept;

    std::string self_;
    std::function<std::vector<std::string>()> seeds_;
    std::atomic<std::uint64_t> silent_calls_{0};

    mutable std::mutex mutex_;
    std::condition_variable leader_changed_;
    std::condition_variable search_signal_;
    std::map<std::string, std::shared_ptr<control_channel>> channels_;
    std::vector<std::string> addresses_;
    std::string leader_;
    std::uint64_t term_ = 0;
    std::optional<time_point> last_contact_;
    time_point leaderless_since_; // where nobody leads
    std::map<std::string, reconnect_backoff> reconnect_backoffs_;
    search_backoff search_backoff_;
    std::minstd_rand random_{std::random_device{}()}; // on the searching thread
    bool search_requested_ = true;
    std::atomic<bool> stopping_{false};
    time_point deadline_limit_ = time_point::max();
    std::vector<std::shared_ptr<leader_query>> queries_; // on the searching thread
    std::thread thread_;
};

} // namespace plumspoke::job_server
