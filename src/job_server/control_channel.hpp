#pragma once

/// @file
/// @brief A gRPC connection to one control VM.

#include "plumspoke/jobs.grpc.pb.h"

#include <atomic>
#include <grpcpp/grpcpp.h>

namespace plumspoke::job_server
{

/// @brief Largest gRPC message between processes of the system, in bytes: a relay of all workers, or a
///        configuration.
constexpr int max_message_bytes = 64 << 20;

/// @brief One connection to a control process. It is replaced after calls on it time out.
class control_channel
{
  public:
    explicit control_channel(const std::string& address);

    [[nodiscard]] wire::JobControl::Stub& stub() noexcept
    {
        return *stub_;
    }
    [[nodiscard]] const std::string& address() const noexcept
    {
        return address_;
    }

    /// @brief Waits until the connection is established.
    /// @return false if it is not established in time; nothing was sent then
    [[nodiscard]] bool connect(std::chrono::microseconds limit);

    /// @brief Records that a call was answered over this connection.
    void note_answered() noexcept
    {
        answered_ = true;
    }
    [[nodiscard]] bool answered() const noexcept
    {
        return answered_;
    }

  private:
    std::string address_;
    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<wire::JobControl::Stub> stub_;
    std::atomic<bool> answered_{false};
};

/// @brief Sets the timeout of one call.
void set_timeout(grpc::ClientContext& context, std::chrono::microseconds limit);

} // namespace plumspoke::job_server
