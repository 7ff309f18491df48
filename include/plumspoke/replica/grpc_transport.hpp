#pragma once

/// @file
/// @brief Messages between replicas over gRPC. Each peer has a bounded queue and a thread, with several calls
///        in flight, and a separate connection and thread for snapshots.

#include "plumspoke/replica/driver.hpp"

#include <memory>
#include <string>

namespace grpc
{
class ServerBuilder;
class Service;
} // namespace grpc

namespace plumspoke::replica
{

/// @brief Sends to each address on a separate thread, so that an unresponsive peer does not delay others.
class grpc_transport final : public transport
{
  public:
    /// @param own_address address that peers send their replies to
    explicit grpc_transport(std::string own_address);
    grpc_transport(const grpc_transport&) = delete;
    grpc_transport& operator=(const grpc_transport&) = delete;
    ~grpc_transport() override;

    void send(const std::string& address, const message& sent) override;
    void reconnect(const std::string& address) override;

    /// @brief Total number of bytes passed to gRPC.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept;

    /// @brief Number of calls that timed out on a connection that had carried a reply before.
    [[nodiscard]] std::uint64_t timed_out_calls() const noexcept;

  private:
    class snapshot_sender;
    class peers;
    std::unique_ptr<peers> peers_;
};

/// @brief Configures a server to receive messages as large as a snapshot.
void allow_large_messages(grpc::ServerBuilder& builder);

/// @brief Creates the service that passes received messages to a driver. The caller registers it with its
/// gRPC
///        server.
[[nodiscard]] std::unique_ptr<grpc::Service> make_replica_service(driver& target);

/// @brief Requests to be added to a group.
/// @param address the replica to ask; set to the leader's address if the reply rejects the request and names
///        one
/// @param joining the member to add
/// @return whether the request was accepted
[[nodiscard]] bool request_join(std::string& address, const member& joining);

} // namespace plumspoke::replica
