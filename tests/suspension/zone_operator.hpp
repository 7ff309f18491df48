#pragma once

/// @file
/// @brief An operator that evacuates an availability zone and takes that back while control VMs fail.

#include "kept_connection.hpp"
#include "plumspoke/time/time.hpp"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace plumspoke::test
{

/// @brief The ports of a control VM.
struct control_ports
{
    int operators = 0;
    int metrics = 0;
};

/// @brief Sends one order after the other, each until it is acknowledged, and checks that the zone stays as
///        acknowledged last. After a second without an answer it goes on to another control VM; half of the
///        connections that it leaves stay open, as if their end had been lost.
class zone_operator
{
  public:
    /// @param ips addresses of the control VMs
    zone_operator(std::vector<std::string> ips, control_ports ports, std::uint64_t seed);

    void run(const std::atomic<bool>& ended);

    /// @brief Checks the zone once more, after run() has returned and the group has recovered.
    void check();

    /// @name access, after run() has returned
    /// @{
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept
    {
        return violations_;
    }
    [[nodiscard]] std::string summary() const;
    /// @}

  private:
    [[nodiscard]] int order(bool evacuated);
    [[nodiscard]] bool is_as_acknowledged() const;
    void pause(milliseconds longest, const std::atomic<bool>& ended);

    std::vector<std::string> ips_;
    control_ports ports_;
    std::mt19937_64 random_;
    std::vector<kept_connection> connections_; // of the control VMs
    std::vector<kept_connection> left_open_;
    bool evacuated_ = false; // as acknowledged last
    bool uncertain_ = false; // an order was not acknowledged before the end
    std::size_t acknowledged_ = 0;
    std::size_t given_up_ = 0;
    std::size_t checks_ = 0;
    std::vector<std::string> violations_;
};

} // namespace plumspoke::test
