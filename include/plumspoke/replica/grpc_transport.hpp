#pragma once

/// @file
/// @brief Messages between replicas over gRPC: a bounded queue and a thread for each peer, and a connection
/// and
///        a thread of their own for snapshots to it.

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

/// @brief Sends to each address from a thread of its own, so that a silent peer holds nobody else up.
class grpc_transport final : public transport
{
  public:
    /// @param own_address where answers to what is sent are to go
    explicit grpc_transport(std::string own_address);
    grpc_transport(const grpc_transport&) = delete;
    grpc_transport& operator=(const grpc_transport&) = delete;
    ~grpc_transport() override;

    void send(const std::string& address, const message& sent) override;

    /// @brief Bytes handed to gRPC so far.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept;

    /// @brief Calls that ran into their limit on a connection that had carried an answer before.
    [[nodiscard]] std::uint64_t timed_out_calls() const noexcept;

  private:
    struct transport_counts;
    class peer;
    class snapshot_sender;
    class peers;
    std::unique_ptr<peers> peers_;
};

/// @brief Prepares a server for messages as large as a snapshot.
void allow_large_messages(grpc::ServerBuilder& builder);

/// @brief Receives for a driver; owned by the caller, registered with its gRPC server.
[[nodiscard]] std::unique_ptr<grpc::Service> make_replica_service(driver& target);

/// @brief Asks a replica to take this one in.
/// @param address where to ask; replaced by the leader's address where the answer names one
/// @return whether it was accepted
[[nodiscard]] bool request_join(std::string& address, const member& joining);

} // namespace plumspoke::replica
