// gRPC service for entries: reports and claims. An error of the layers below is answered as `leader = false`;
// an outdated report with status ABORTED.

#include "api.hpp"
#include "plumspoke/plumspoke.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace plumspoke::control
{

namespace
{

entry_report from_wire(const wire::EntryReport& value)
{
    entry_report out;
    out.entry = value.entry();
    out.incarnation = value.incarnation();
    out.sequence = value.sequence();
    out.version_in_force = value.version_in_force();
    out.leaving = value.leaving();
    for (const wire::SlotShare& share : value.held())
    {
        out.held.push_back({share.worker(), share.slots()});
    }
    for (const wire::ServiceDemand& demand : value.demand())
    {
        out.demand.push_back({demand.service(), demand.wanted_slots()});
    }
    return out;
}

/// @brief Handles the requests of entries for one control process.
class entry_service final : public wire::EntryControl::Service
{
  public:
    explicit entry_service(server& self) : self_(self)
    {
    }

    grpc::Status Report(grpc::ServerContext* /*context*/,
                        const wire::EntryReport* request,
                        wire::EntryOrders* reply) override
    {
        std::error_code error;
        const entry_orders orders = self_.receive(from_wire(*request), error);
        if (error)
        {
            reply->set_leader(false);
            reply->set_leader_address(self_.leader().grpc);
            return grpc::Status::OK;
        }
        if (!orders.accepted)
        {
            return {grpc::StatusCode::ABORTED, "a newer report was answered before"};
        }
        reply->set_leader(true);
        // Read after the lease was granted, so that a lease never comes with a configuration older than the
        // grant.
        std::uint64_t version = 0;
        reply->set_configuration(self_.configuration_after(request->version_in_force(), version));
        reply->set_version(version);
        reply->set_lease_ms(static_cast<std::uint32_t>(self_.process().entry_lease_ms));
        for (const slot_share& share : orders.granted)
        {
            wire::SlotShare* granted = reply->add_granted();
            granted->set_worker(share.worker);
            granted->set_slots(static_cast<std::uint32_t>(share.slots));
        }
        return grpc::Status::OK;
    }

    grpc::Status Claim(grpc::ServerContext* /*context*/,
                       const wire::ClaimRequest* request,
                       wire::ClaimReply* reply) override
    {
        begin_claim value;
        value.service = request->service();
        value.key = request->key();
        value.digest = request->digest();
        value.entry = request->entry();
        value.deadline_ms = request->deadline_ms();
        std::error_code error;
        const command_answer answer = self_.submit(value, error);
        if (error)
        {
            reply->set_leader(false);
            reply->set_leader_address(self_.leader().grpc);
            return grpc::Status::OK;
        }
        const claim outcome = answer.detail.get<claim>();
        reply->set_leader(true);
        reply->set_state(static_cast<std::uint32_t>(outcome.state));
        reply->set_status(static_cast<std::uint32_t>(outcome.status));
        reply->set_content_type(outcome.content_type);
        reply->set_body(outcome.body);
        reply->set_claim(outcome.id);
        return grpc::Status::OK;
    }

    grpc::Status RecordOutcome(grpc::ServerContext* /*context*/,
                               const wire::ClaimOutcome* request,
                               wire::ClaimOutcomeReply* reply) override
    {
        finish_claim value;
        value.service = request->service();
        value.key = request->key();
        value.id = request->claim();
        value.state = static_cast<claim_state>(request->outcome());
        value.status = request->status();
        value.content_type = request->content_type();
        value.body = request->body();
        std::error_code error;
        const command_answer answer = self_.submit(value, error);
        reply->set_leader(!error);
        reply->set_leader_address(self_.leader().grpc);
        reply->set_recorded(!error && answer.accepted());
        return grpc::Status::OK;
    }

  private:
    server& self_;
};

} // namespace

std::unique_ptr<grpc::Service> make_entry_service(server& self)
{
    return std::make_unique<entry_service>(self);
}

} // namespace plumspoke::control
