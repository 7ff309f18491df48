#include "plumspoke/entry/control_client.hpp"

#include "plumspoke/plumspoke.grpc.pb.h"

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <thread>

namespace plumspoke::entry
{

namespace
{

constexpr auto pause_between_rounds = milliseconds(20);
constexpr int max_message_bytes = 64 << 20;

using control_stub = wire::EntryControl::Stub;

std::chrono::system_clock::time_point grpc_deadline(duration limit)
{
    return std::chrono::system_clock::now() + limit;
}

} // namespace

/// @brief One channel per peer, and the peer believed to lead.
class control_client::channels
{
  public:
    explicit channels(std::vector<settings::control_peer> peers) : peers_(std::move(peers))
    {
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(max_message_bytes);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
        for (const settings::control_peer& peer : peers_)
        {
            stubs_.push_back(wire::EntryControl::NewStub(
                grpc::CreateCustomChannel(peer.grpc, grpc::InsecureChannelCredentials(), arguments)));
        }
    }

    [[nodiscard]] std::size_t count() const noexcept
    {
        return peers_.size();
    }
    [[nodiscard]] std::size_t current() const noexcept
    {
        return current_ % peers_.size();
    }
    [[nodiscard]] control_stub& stub(std::size_t position) const
    {
        return *stubs_[position];
    }

    /// @brief Switches to the peer named as the leader, or else to the next one.
    void switch_peer(std::size_t from, const std::string& hint)
    {
        for (std::size_t i = 0; i < peers_.size(); ++i)
        {
            if (peers_[i].grpc == hint && i != from)
            {
                current_ = i;
                return;
            }
        }
        current_ = (from + 1) % peers_.size();
    }

  private:
    std::vector<settings::control_peer> peers_;
    std::vector<std::unique_ptr<control_stub>> stubs_;
    std::atomic<std::size_t> current_{0};
};

control_client::control_client(std::vector<settings::control_peer> peers)
    : channels_(std::make_unique<channels>(std::move(peers)))
{
}

control_client::~control_client() = default;

std::optional<report_reply> control_client::report(const control::entry_report& sent, duration limit)
{
    wire::EntryReport request;
    request.set_entry(sent.entry);
    request.set_incarnation(sent.incarnation);
    request.set_sequence(sent.sequence);
    request.set_version_in_force(sent.version_in_force);
    request.set_leaving(sent.leaving);
    for (const control::slot_share& share : sent.held)
    {
        wire::SlotShare* held = request.add_held();
        held->set_worker(share.worker);
        held->set_slots(static_cast<std::uint32_t>(share.slots));
    }
    for (const control::service_demand& demand : sent.demand)
    {
        wire::ServiceDemand* wanted = request.add_demand();
        wanted->set_service(demand.service);
        wanted->set_wanted_slots(static_cast<std::uint32_t>(demand.wanted_slots));
    }
    const std::size_t position = channels_->current();
    grpc::ClientContext context;
    context.set_deadline(grpc_deadline(limit));
    wire::EntryOrders orders;
    const grpc::Status status = channels_->stub(position).Report(&context, request, &orders);
    if (!status.ok() || !orders.leader())
    {
        channels_->switch_peer(position, orders.leader_address());
        return std::nullopt;
    }
    report_reply reply;
    reply.version = orders.version();
    reply.configuration = orders.configuration();
    reply.lease = milliseconds(orders.lease_ms());
    for (const wire::SlotShare& share : orders.granted())
    {
        reply.granted.push_back({share.worker(), share.slots()});
    }
    return reply;
}

std::optional<claim_reply> control_client::claim(const claim_request& asked, time_point deadline)
{
    wire::ClaimRequest request;
    request.set_service(asked.service);
    request.set_key(asked.key);
    request.set_digest(asked.digest);
    request.set_entry(asked.requester);
    request.set_deadline_ms(
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(asked.deadline).count()));
    for (time_point now = boot_clock::now(); now < deadline; now = boot_clock::now())
    {
        const std::size_t position = channels_->current();
        grpc::ClientContext context;
        context.set_deadline(grpc_deadline(std::chrono::duration_cast<duration>(deadline - now)));
        wire::ClaimReply answer;
        const grpc::Status status = channels_->stub(position).Claim(&context, request, &answer);
        if (status.ok() && answer.leader())
        {
            return claim_reply{static_cast<control::claim_state>(answer.state()),
                               answer.claim(),
                               static_cast<int>(answer.status()),
                               answer.content_type(),
                               answer.body()};
        }
        channels_->switch_peer(position, answer.leader_address());
        std::this_thread::sleep_for(pause_between_rounds);
    }
    return std::nullopt;
}

bool control_client::record(const claim_outcome& ended, time_point deadline)
{
    wire::ClaimOutcome request;
    request.set_service(ended.service);
    request.set_key(ended.key);
    request.set_claim(ended.claim);
    request.set_outcome(static_cast<std::uint32_t>(ended.state));
    request.set_status(static_cast<std::uint32_t>(ended.status));
    request.set_content_type(ended.content_type);
    request.set_body(ended.body);
    for (time_point now = boot_clock::now(); now < deadline; now = boot_clock::now())
    {
        const std::size_t position = channels_->current();
        grpc::ClientContext context;
        context.set_deadline(grpc_deadline(std::chrono::duration_cast<duration>(deadline - now)));
        wire::ClaimOutcomeReply answer;
        const grpc::Status status = channels_->stub(position).RecordOutcome(&context, request, &answer);
        if (status.ok() && answer.leader())
        {
            return answer.recorded();
        }
        channels_->switch_peer(position, answer.leader_address());
        std::this_thread::sleep_for(pause_between_rounds);
    }
    return false;
}

} // namespace plumspoke::entry
