#pragma once

/// @file
/// @brief A client that submits jobs while leaders fail and the queue comes and goes.

#include "kept_connection.hpp"
#include "plumspoke/time/time.hpp"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace plumspoke::test
{

/// @brief Submits one job after the other through an entry, cancels some, and repeats what is not answered
///        clearly. A job whose submits were all rejected must not exist.
class job_client
{
  public:
    /// @brief The queues that a client uses.
    struct queue_paths
    {
        std::string submitted_to; // not in all configurations
        std::string read_from;    // in all configurations
    };

    /// @param number of the client, unique in a run
    job_client(kept_connection entry, queue_paths queues, std::uint64_t number, std::uint64_t seed);

    void run(const std::atomic<bool>& ended);

    /// @brief Looks up all rejected jobs, after run() has returned and the group has recovered.
    void check();

    /// @name access, after run() has returned
    /// @{
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept
    {
        return violations_;
    }
    [[nodiscard]] std::size_t submitted() const noexcept
    {
        return submitted_;
    }
    [[nodiscard]] std::size_t accepted() const noexcept
    {
        return accepted_;
    }
    [[nodiscard]] std::size_t rejected() const noexcept
    {
        return rejected_.size();
    }
    /// @}

  private:
    [[nodiscard]] std::string make_id() const;
    void submit(const std::string& id, const std::atomic<bool>& ended);

    kept_connection entry_;
    queue_paths queues_;
    std::uint64_t number_;
    std::mt19937_64 random_;
    std::size_t submitted_ = 0;
    std::size_t accepted_ = 0;
    std::vector<std::string> rejected_;
    std::vector<std::string> violations_;
};

} // namespace plumspoke::test
