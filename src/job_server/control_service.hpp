#pragma once

/// @file
/// @brief The gRPC service for entries and other control VMs.

#include "control_channel.hpp"
#include "plumspoke/job_server/control_server.hpp"
#include "plumspoke/job_server/job_path.hpp"

namespace plumspoke::job_server
{

/// @brief Answers as the leader, or names the leader.
class control_server::service final : public wire::JobControl::Service
{
  public:
    explicit service(control_server& owner) : owner_(owner)
    {
    }

    grpc::Status Leader(grpc::ServerContext* context,
                        const wire::LeaderQuery* request,
                        wire::LeaderAnswer* reply) override;
    grpc::Status
    Submit(grpc::ServerContext* context, const wire::SubmitRequest* request, wire::JobReply* reply) override;
    grpc::Status
    State(grpc::ServerContext* context, const wire::JobRequest* request, wire::JobReply* reply) override;
    grpc::Status
    Cancel(grpc::ServerContext* context, const wire::JobRequest* request, wire::JobReply* reply) override;
    grpc::Status Configure(grpc::ServerContext* context,
                           const wire::ConfigureRequest* request,
                           wire::OrderReply* reply) override;
    grpc::Status ReadZoneVersion(grpc::ServerContext* context,
                                 const wire::ReadZoneVersionRequest* request,
                                 wire::ReadZoneVersionReply* reply) override;
    grpc::Status SetEvacuation(grpc::ServerContext* context,
                               const wire::SetEvacuationRequest* request,
                               wire::OrderReply* reply) override;
    grpc::Status ReadConfiguration(grpc::ServerContext* context,
                                   const wire::ReadConfigurationRequest* request,
                                   wire::ReadConfigurationReply* reply) override;
    grpc::Status
    Relay(grpc::ServerContext* context, const wire::RelayRequest* request, wire::RelayReply* reply) override;

  private:
    /// @brief Performs a linearizable read of the state for an answer.
    /// @return false if this process may no longer lead; the reply then only names the leader
    template <typename Reader> [[nodiscard]] bool read(wire::JobReply& reply, const Reader& reader) const;
    void
    describe_state(const jobs::store& state, const wire::JobRequest& request, wire::JobReply& reply) const;
    /// @param registration made when the path was resolved
    void accept_submit(const wire::SubmitRequest& request,
                       const job_path& to,
                       const std::shared_ptr<const in_flight_submits::entry>& registration,
                       wire::JobReply& reply);

    control_server& owner_;
};

/// @brief The members that need grpcpp, kept out of the public header.
struct control_server::grpc_members
{
    std::unique_ptr<grpc::Service> replicas;
    std::unique_ptr<grpc::Service> control;
    std::unique_ptr<grpc::Server> server;
};

/// @brief A response to an operator or a worker.
[[nodiscard]] http::response json_response(int status, std::string text = {});

constexpr auto operator_order_timeout = milliseconds(1500); // until the leader has committed an order

/// @brief Maps the status of a gRPC call to the result that leader_client expects.
[[nodiscard]] call_result to_call_result(const grpc::Status& status, bool acting);

/// @brief Whether an operator's order with this outcome is committed and may be acknowledged.
[[nodiscard]] constexpr bool is_durable(jobs::outcome result) noexcept
{
    return result == jobs::outcome::accepted || result == jobs::outcome::known;
}

[[nodiscard]] wire::WorkerAnnouncement to_wire(const fleet::announcement& value);
[[nodiscard]] fleet::announcement from_wire(const wire::WorkerAnnouncement& value);

} // namespace plumspoke::job_server
