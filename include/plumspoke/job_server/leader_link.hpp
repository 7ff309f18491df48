#pragma once

/// @file
/// @brief Finds the acting leader among the control VMs and calls it.

#include "plumspoke/job_server/leader_wait.hpp"
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
enum class call_end : std::uint8_t
{
    answered,
    not_done, // surely nothing was done
    unknown,  // it may have been done, or may be done yet
};

/// @brief Where a control VM's process is reached; a new connection after each doubt.
class control_channel;

/// @brief Keeps the addresses of the control VMs and knows who leads.
class leader_link
{
  public:
    /// @name construction
    /// @{

    /// @param self this process's internal address, left out of the search; empty for an entry
    /// @param seeds read anew whenever nobody answers
    leader_link(std::string self, std::function<std::vector<std::string>()> seeds);
    leader_link(const leader_link&) = delete;
    leader_link& operator=(const leader_link&) = delete;
    ~leader_link();
    void start();
    void stop();
    /// @}

    /// @name calls
    /// @{

    /// @brief Calls the leader, and the next one when it changes, until there is an answer.
    /// @param deadline when to give up
    /// @param attempt makes one call on a channel with a limit; says how it ended
    /// @param timeout how long to wait where nobody leads; by default until the deadline
    [[nodiscard]] call_end call(time_point deadline,
                                const std::function<call_end(control_channel&, duration)>& attempt,
                                const leader_timeout& timeout = {});

    /// @brief Bounds the deadlines of all calls, also of those that are being made.
    void end_calls_by(time_point limit);

    /// @brief A reply has named another leader.
    void hint(const std::string& address);
    /// @}

    /// @name access
    /// @{

    /// @brief When a leader last answered; nothing where none has.
    [[nodiscard]] std::optional<time_point> last_contact() const;
    [[nodiscard]] std::string leader() const;
    [[nodiscard]] std::uint64_t leader_term() const;
    [[nodiscard]] std::vector<std::string> known() const;

    /// @brief Calls that ran into their limit on a connection that had carried an answer before.
    [[nodiscard]] std::uint64_t silent_calls() const noexcept
    {
        return silent_calls_;
    }
    /// @}

    /// @brief Adds addresses of control VMs, as the membership names them.
    void learn(const std::vector<std::string>& addresses);

  private:
    struct question;
    struct gathering;

    void watch();
    void search();
    [[nodiscard]] std::shared_ptr<question> ask(const std::string& address,
                                                const std::shared_ptr<gathering>& all);
    void take_answer(const question& ended);
    void forget_questions(time_point asked_before);
    void cancel_questions();
    [[nodiscard]] bool ask_leader();
    [[nodiscard]] std::shared_ptr<control_channel> channel(const std::string& address);
    [[nodiscard]] time_point bounded(time_point deadline) const;
    [[nodiscard]] std::optional<std::string> wait_for_leader(time_point deadline,
                                                             const leader_timeout& timeout);
    void doubt(const control_channel& over, bool silent);
    void replace_channel(const control_channel& over);
    [[nodiscard]] duration next_search_pause();
    void note_leader(const std::string& address, std::uint64_t term);
    void note_ended(control_channel& over, bool answered, bool timed_out) noexcept;

    std::string self_;
    std::function<std::vector<std::string>()> seeds_;
    std::atomic<std::uint64_t> silent_calls_{0};

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::condition_variable search_wanted_;
    std::map<std::string, std::shared_ptr<control_channel>> channels_;
    std::vector<std::string> known_;
    std::string leader_;
    std::uint64_t term_ = 0;
    std::optional<time_point> last_contact_;
    time_point leaderless_since_; // where nobody leads
    std::map<std::string, channel_pace> channel_paces_;
    search_pace search_pace_;
    std::minstd_rand random_{std::random_device{}()}; // on the searching thread
    bool searching_wanted_ = true;
    std::atomic<bool> stopping_{false};
    time_point calls_end_by_ = time_point::max();
    std::vector<std::shared_ptr<question>> questions_; // on the searching thread
    std::thread thread_;
};

} // namespace plumspoke::job_server
